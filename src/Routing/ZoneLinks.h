#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace firefly {

/// Dense index of a zone within one ZoneLinks.
using ZoneIndex = std::uint16_t;

/// Round-trip times and observed loss of the links between zones.
///
/// Starts from the configured round trips and learns from calls how much each link adds and how
/// often calls over it go unanswered.  Learned values decay, so that an avoided link is tried
/// again.
class ZoneLinks
{
public:
    /// Index of \a zone, which is added when new.
    ZoneIndex index(const ZoneId &zone);
    std::size_t size() const { return m_zones.size(); }
    const ZoneId &zone(ZoneIndex zone) const { return m_zones[zone]; }

    /// Sets the configured round trip between two zones, in both directions.
    void setConfiguredRoundTrip(const ZoneId &a, const ZoneId &b, Duration roundTrip);
    /// Records an answered call; \a linkTime is its latency minus that of the worker.
    void recordAnswer(ZoneIndex from, ZoneIndex to, Duration linkTime, TimePoint now);
    /// Records a call that went unanswered.
    void recordLoss(ZoneIndex from, ZoneIndex to, TimePoint now);

    /// Configured round trip from \a from to \a to plus the learned excess.
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

    void decay(Link &link, TimePoint now) const;

    std::vector<ZoneId> m_zones;
    std::map<ZoneId, ZoneIndex> m_indexOfZone;
    std::vector<std::vector<Link>> m_links;
};

} // namespace firefly
