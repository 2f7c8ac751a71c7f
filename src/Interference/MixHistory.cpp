#include "Interference/MixHistory.h"

#include <algorithm>

namespace firefly {

void MixHistory::record(std::span<const WorkloadShare> mix, TimePoint now)
{
    if (!m_entries.empty() && std::ranges::equal(m_entries.back().mix, mix)) {
        return;
    }
    m_entries.push_back({now, {mix.begin(), mix.end()}});
    while (m_entries.size() > 1 && m_entries[1].since < now - m_retention) {
        m_entries.pop_front();
    }
}

std::span<const WorkloadShare> MixHistory::at(TimePoint at) const
{
    std::span<const WorkloadShare> found;
    for (const Entry &it : m_entries) {
        if (it.since > at) {
            break;
        }
        found = it.mix;
    }
    return found;
}

bool MixHistory::isUnchanged(TimePoint from, TimePoint to) const
{
    for (const Entry &it : m_entries) {
        if (it.since > from && it.since <= to) {
            return false;
        }
    }
    return true;
}

} // namespace firefly
