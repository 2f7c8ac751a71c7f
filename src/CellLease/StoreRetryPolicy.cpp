#include "CellLease/StoreRetryPolicy.h"

#include <algorithm>

namespace firefly {
namespace {

struct KindLimits
{
    Duration perVm;   ///< Longest mean delay for each VM of the fleet.
    Duration longest; ///< Upper limit, which holds in the largest fleets.
};

KindLimits limitsOf(StoreReadKind kind)
{
    using std::chrono::milliseconds;
    switch (kind) {
    case StoreReadKind::Configuration:
    case StoreReadKind::Ownership:
        return {milliseconds(2), milliseconds(800)};
    case StoreReadKind::Directory:
        return {milliseconds(4), milliseconds(1600)};
    case StoreReadKind::Workers:
    case StoreReadKind::Layout:
        break;
    }
    return {milliseconds(8), milliseconds(3200)};
}

} // namespace

Duration StoreRetryPolicy::longestDelay(StoreReadKind kind) const
{
    const KindLimits limits = limitsOf(kind);
    if (!m_isFleetComplete) {
        return limits.longest;
    }
    return std::clamp<Duration>(limits.perVm * m_fleetSize, FirstDelay, limits.longest);
}

Duration StoreRetryPolicy::delayAfter(StoreReadKind kind, int failures)
{
    ++m_failedReads;
    const Duration longest = longestDelay(kind);
    Duration mean = FirstDelay;
    for (int i = 1; i < failures && mean < longest; ++i) {
        mean *= 2;
    }
    mean = std::min(mean, longest);
    // Not std::uniform_real_distribution, whose sequence depends on the standard library.
    constexpr int UnusedBits = 11;
    const double unit = static_cast<double>(m_random() >> UnusedBits) * 0x1p-53;
    const double factor = 1 + (Jitter * ((2 * unit) - 1));
    return std::chrono::duration_cast<Duration>(mean * factor);
}

Duration StoreRetryPolicy::pauseBetweenReads(Duration usual) const
{
    const Duration share = std::chrono::duration_cast<Duration>(std::chrono::seconds(1))
                           * m_fleetSize / FleetReadsPerSecond;
    return std::max(usual, std::min(share, MaxPause));
}

} // namespace firefly
