#include "Config/ListsFold.h"

#include "Config/Lists.h"
#include "Records/Codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace firefly {
namespace {

/// True when at least one version of \a lists is newer than in \a other, and neither is older.
bool isNewer(const OperatorLists &lists, const OperatorLists &other)
{
    const Offset plans = lists.plans.version;
    const Offset limits = lists.limits.version;
    const bool isBehind = plans < other.plans.version || limits < other.limits.version;
    const bool isAhead = plans > other.plans.version || limits > other.limits.version;
    return isAhead && !isBehind;
}

bool isValid(const OperatorLists &lists)
{
    return validate(lists.plans.list, lists.limits.list).empty()
           && validate(lists.limits.list, lists.plans.list).empty();
}

template <typename List, typename Other, typename Edited>
FoldResult applyEdit(VersionedList<List> &current, const VersionedList<Other> &other, Offset offset,
                     const Edited &record)
{
    // A refused record that is read again must not be accepted by a later state of the lists.
    if (offset <= std::max(current.version, other.version)) {
        return FoldResult::Duplicate;
    }
    if (record.baseVersion != current.version) {
        return FoldResult::Conflict;
    }
    if (!validate(record.list, other.list).empty()) {
        return FoldResult::Invalid;
    }
    current = VersionedList<List>{offset, record.author, record.list};
    return FoldResult::Accepted;
}

template <typename List>
nlohmann::json versionToJson(const VersionedList<List> &value)
{
    return {{"version", value.version}, {"author", value.author}, {"list", value.list}};
}

template <typename List>
void versionFromJson(const nlohmann::json &json, VersionedList<List> &value)
{
    json.at("version").get_to(value.version);
    json.at("author").get_to(value.author);
    json.at("list").get_to(value.list);
}

} // namespace

void to_json(nlohmann::json &json, const OperatorLists &value)
{
    json = {{"plans", versionToJson(value.plans)}, {"limits", versionToJson(value.limits)}};
}

void from_json(const nlohmann::json &json, OperatorLists &value)
{
    versionFromJson(json.at("plans"), value.plans);
    versionFromJson(json.at("limits"), value.limits);
}

FoldResult ListsFold::apply(Offset offset, const PlansEdited &record)
{
    return applyEdit(m_logged.plans, m_logged.limits, offset, record);
}

FoldResult ListsFold::apply(Offset offset, const LimitsEdited &record)
{
    return applyEdit(m_logged.limits, m_logged.plans, offset, record);
}

bool ListsFold::adopt(const OperatorLists &peerLists)
{
    if (!isNewer(peerLists, inForce()) || !isValid(peerLists)) {
        return false;
    }
    m_adopted = peerLists;
    return true;
}

const OperatorLists &ListsFold::inForce() const
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
    auto loaded = saved.get<OperatorLists>();
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
