#include "Config/ListsFold.h"

#include "Config/Lists.h"
#include "Records/Codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace firefly {
namespace {

/// True when \a pair is \a other at a later point of the log.
bool isNewer(const ListsVersion &pair, const ListsVersion &other)
{
    const Offset plans = pair.plans.version;
    const Offset limits = pair.limits.version;
    const bool isBehind = plans < other.plans.version || limits < other.limits.version;
    const bool isAhead = plans > other.plans.version || limits > other.limits.version;
    return isAhead && !isBehind;
}

bool isValid(const ListsVersion &pair)
{
    return validate(pair.plans.list, pair.limits.list).empty()
           && validate(pair.limits.list, pair.plans.list).empty();
}

template <typename List, typename Other, typename Edited>
FoldVerdict applyEdit(ListVersion<List> &current, const ListVersion<Other> &other, Offset offset,
                      const Edited &record)
{
    // A record that was refused once must not be judged again by a later state of either list.
    if (offset <= std::max(current.version, other.version)) {
        return FoldVerdict::Duplicate;
    }
    if (record.baseVersion != current.version) {
        return FoldVerdict::Conflict;
    }
    if (!validate(record.list, other.list).empty()) {
        return FoldVerdict::Invalid;
    }
    current = ListVersion<List>{offset, record.author, record.list};
    return FoldVerdict::Accepted;
}

template <typename List>
nlohmann::json versionToJson(const ListVersion<List> &value)
{
    return {{"version", value.version}, {"author", value.author}, {"list", value.list}};
}

template <typename List>
void versionFromJson(const nlohmann::json &json, ListVersion<List> &value)
{
    json.at("version").get_to(value.version);
    json.at("author").get_to(value.author);
    json.at("list").get_to(value.list);
}

} // namespace

void to_json(nlohmann::json &json, const ListsVersion &value)
{
    json = {{"plans", versionToJson(value.plans)}, {"limits", versionToJson(value.limits)}};
}

void from_json(const nlohmann::json &json, ListsVersion &value)
{
    versionFromJson(json.at("plans"), value.plans);
    versionFromJson(json.at("limits"), value.limits);
}

FoldVerdict ListsFold::apply(Offset offset, const PlansEdited &record)
{
    return applyEdit(m_logged.plans, m_logged.limits, offset, record);
}

FoldVerdict ListsFold::apply(Offset offset, const LimitsEdited &record)
{
    return applyEdit(m_logged.limits, m_logged.plans, offset, record);
}

bool ListsFold::adopt(const ListsVersion &peers)
{
    if (!isNewer(peers, inForce()) || !isValid(peers)) {
        return false;
    }
    m_adopted = peers;
    return true;
}

const ListsVersion &ListsFold::inForce() const
{
    return isNewer(m_adopted, m_logged) ? m_adopted : m_logged;
}

const std::string *ListsFold::planOf(const CustomerId &customer) const
{
    const auto &planOfCustomer = plans().planOfCustomer;
    const auto it = planOfCustomer.find(customer.value());
    return it == planOfCustomer.end() ? nullptr : &it->second;
}

const PlanLimits *ListsFold::limitsOf(const CustomerId &customer) const
{
    const std::string *plan = planOf(customer);
    if (plan == nullptr) {
        return nullptr;
    }
    const auto it = limits().limitsOfPlan.find(*plan);
    return it == limits().limitsOfPlan.end() ? nullptr : &it->second;
}

EditConflict<PlansList> ListsFold::conflict(const PlansEdited &refused) const
{
    return {refused.baseVersion, refused.list, inForce().plans};
}

EditConflict<LimitsList> ListsFold::conflict(const LimitsEdited &refused) const
{
    return {refused.baseVersion, refused.list, inForce().limits};
}

nlohmann::json ListsFold::save() const
{
    return m_logged;
}

void ListsFold::load(const nlohmann::json &saved)
{
    auto loaded = saved.get<ListsVersion>();
    if (isNewer(inForce(), loaded)) {
        m_adopted = inForce();
    }
    m_logged = std::move(loaded);
}

nlohmann::json ListsFold::dump() const
{
    nlohmann::json json;
    json["inForce"] = inForce();
    json["inForceFrom"] = isNewer(m_adopted, m_logged) ? "peer" : "log";
    json["logged"] = {{"plans", m_logged.plans.version}, {"limits", m_logged.limits.version}};
    return json;
}

} // namespace firefly
