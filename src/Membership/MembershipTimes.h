#pragma once

#include "Core/Clock.h"

#include <cstdint>

namespace firefly {

/// Timeouts by which an entry detects failed peers and stale VM lists.
struct MembershipTimes
{
    /// Time without a reply after which no work is forwarded to a peer.
    Duration suspectAfter = std::chrono::seconds(2);
    /// Time without a reply after which a peer's shards may be claimed.
    Duration deadAfter = std::chrono::seconds(4);
    /// Failed heartbeats that are needed in addition to \a deadAfter.
    std::int64_t deadAfterFailures = 3;
    /// Upper bound on the delay of the VM list on any entry, including its polling interval.
    Duration listLag = std::chrono::seconds(5);
    /// Age at which a copy of the VM list is too old to decide which entries may claim shards.
    Duration listMaxAge = std::chrono::seconds(3);
};

} // namespace firefly
