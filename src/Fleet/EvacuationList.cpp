#include "Fleet/EvacuationList.h"

namespace firefly {

std::optional<EvacuationList::Change> EvacuationList::apply(const std::string &zone,
                                                            bool isRequested, TimePoint now)
{
    const auto it = m_begins.find(zone);
    const bool isEvacuated = it != m_begins.end();
    if (isEvacuated == isRequested) {
        return std::nullopt;
    }
    if (isRequested) {
        m_begins.emplace(zone, now);
        return Change{zone, true, now};
    }
    const Change change{zone, false, it->second};
    m_begins.erase(it);
    return change;
}

std::vector<EvacuationList::Change> EvacuationList::retain(const std::set<std::string> &requested)
{
    std::vector<Change> changes;
    for (auto it = m_begins.begin(); it != m_begins.end();) {
        if (requested.contains(it->first)) {
            ++it;
            continue;
        }
        changes.push_back({it->first, false, it->second});
        it = m_begins.erase(it);
    }
    return changes;
}

std::set<std::string> EvacuationList::zones() const
{
    std::set<std::string> zones;
    for (const auto &[zone, since] : m_begins) {
        zones.insert(zone);
    }
    return zones;
}

} // namespace firefly
