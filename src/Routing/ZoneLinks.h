#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace firefly {

/// Dense number of a zone within one ZoneLinks.
using ZoneIndex = std::uint16_t;

/// Round-trip distance and observed quality of the links between zones.
///
/// The configured distance is the start; calls that end teach what each link adds and how often
/// calls over it go unanswered.  What was learned fades, so that an avoided link is tried again.
class ZoneLinks
{
public:
    /// Number of \a zone, which is added when new.
    ZoneIndex index(const ZoneId &zone);
    std::size_t size() const { return m_zones.size(); }
    const ZoneId &zone(ZoneIndex zone) const { return m_zones[zone]; }

    /// Sets the configured round trip between two zones, both ways.
    void setDistance(const ZoneId &a, const ZoneId &b, Duration roundTrip);
    /// Learns from an answered call that took \a sample longer than the worker alone takes.
    void recordAnswer(ZoneIndex from, ZoneIndex to, Duration sample, TimePoint now);
    /// Learns from a call that went unanswered.
    void recordLoss(ZoneIndex from, ZoneIndex to, TimePoint now);

    /// Learned round trip from \a from to \a to.
    Duration roundTrip(ZoneIndex from, ZoneIndex to, TimePoint now) const;
    /// Share of recent calls over the link that went unanswered, 0..1.
    double lossShare(ZoneIndex from, ZoneIndex to, TimePoint now) const;
    nlohmann::json dump(TimePoint now) const;

private:
    struct Link
    {
        double configuredUs = 0;
        double excessUs = 0; ///< Learned, on top of configuredUs.
        double lossShare = 0;
        TimePoint updated{};
    };

    void fade(Link &link, TimePoint now) const;

    std::vector<ZoneId> m_zones;
    std::map<ZoneId, ZoneIndex> m_indexOfZone;
    std::vector<std::vector<Link>> m_links;
};

} // namespace firefly
