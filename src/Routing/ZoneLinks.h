#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace firefly {

/// Dense number of a zone within one ZoneLinks.
using ZoneIndex = std::uint16_t;

/// Round-trip distance and observed quality of the links between zones.
///
/// The configured distance is the start; calls that end teach what each link adds and how often
/// calls over it go unanswered.
class ZoneLinks
{
public:
    /// Number of \a zone, which is added when new.
    ZoneIndex index(const ZoneId &zone);
    std::size_t size() const { return m_zones.size(); }
    const ZoneId &zone(ZoneIndex zone) const { return m_zones[zone]; }

    /// Sets the configured round trip between two zones, both ways.
    void setDistance(const ZoneId &a, const ZoneId &b, Duration roundTrip);
    /// Learns from a call: \a excess over the latency expected of the worker alone.
    void record(ZoneIndex from, ZoneIndex to, Duration excess, bool answered);

    /// Learned round trip from \a from to \a to.
    Duration roundTrip(ZoneIndex from, ZoneIndex to) const;
    /// Share of recent calls over the link that went unanswered, 0..1.
    double lossShare(ZoneIndex from, ZoneIndex to) const;
    nlohmann::json dump() const;

private:
    struct Link
    {
        Duration configured{};
        double learnedUs = 0;
        double lossShare = 0;
    };

    Link &at(ZoneIndex from, ZoneIndex to);
    const Link *find(ZoneIndex from, ZoneIndex to) const;

    std::vector<ZoneId> m_zones;
    std::map<ZoneId, ZoneIndex> m_indexOfZone;
    std::vector<std::vector<Link>> m_links;
};

} // namespace firefly
