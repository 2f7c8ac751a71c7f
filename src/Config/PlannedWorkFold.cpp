#include "Config/PlannedWorkFold.h"

#include "Config/Name.h"
#include "Records/IdJson.h"

#include <nlohmann/json.hpp>

namespace firefly {

FoldResult PlannedWorkFold::apply(Offset offset, const PlannedWorkSwitched &record)
{
    if (!isValidName(record.customer.value()) || !isValidName(record.kind)) {
        return FoldResult::Invalid;
    }
    if (offset <= m_newestOffset || isRunning(record.customer, record.kind) == record.running) {
        return FoldResult::Duplicate;
    }
    m_newestOffset = offset;
    if (record.running) {
        m_stops.erase({record.customer, record.kind});
    } else {
        m_stops[{record.customer, record.kind}] = Stop{offset, record.author};
    }
    return FoldResult::Accepted;
}

bool PlannedWorkFold::isRunning(const CustomerId &customer, const std::string &kind) const
{
    return !m_stops.contains({customer, kind});
}

nlohmann::json PlannedWorkFold::save() const
{
    nlohmann::json stops = nlohmann::json::array();
    for (const auto &[key, stop] : m_stops) {
        stops.push_back({{"customer", key.first},
                         {"kind", key.second},
                         {"since", stop.since},
                         {"author", stop.author}});
    }
    return {{"newest", m_newestOffset}, {"stops", stops}};
}

void PlannedWorkFold::load(const nlohmann::json &saved)
{
    PlannedWorkFold loaded;
    saved.at("newest").get_to(loaded.m_newestOffset);
    for (const nlohmann::json &it : saved.at("stops")) {
        Stop &stop =
            loaded.m_stops[{it.at("customer").get<CustomerId>(), it.at("kind").get<std::string>()}];
        it.at("since").get_to(stop.since);
        it.at("author").get_to(stop.author);
    }
    *this = std::move(loaded);
}

nlohmann::json PlannedWorkFold::dump() const
{
    return save();
}

} // namespace firefly
