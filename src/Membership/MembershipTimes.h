#pragma once

#include "Core/Clock.h"

#include <cstdint>

namespace firefly {

/// Durations by which an entry judges its peers.
struct MembershipTimes
{
    Duration suspectAfter = std::chrono::seconds(2); ///< Silence after which no work is forwarded.
    Duration deadAfter = std::chrono::seconds(4);    ///< Silence after which shards are claimed.
    std::int64_t deadAfterFailures = 3;              ///< Failed exchanges needed besides silence.
    /// Bound on how late the VM list is on any entry, its reading interval included.
    Duration listLag = std::chrono::seconds(5);
    /// Age at which a reading of the VM list no longer tells who may claim.
    Duration listMaxAge = std::chrono::seconds(3);
};

} // namespace firefly
