#pragma once

#include "Core/Id.h"
#include "Routing/WorkerIndex.h"
#include "Routing/ZoneLinks.h"

#include <algorithm>
#include <cstdint>
#include <span>

namespace firefly {

/// Input of a routing decision for one urgent call.
struct RoutingRequest
{
    ZoneIndex callerZone = 0;
    bool idempotent = false;                ///< The call may be used as a probe.
    std::span<const WorkerIndex> exclude{}; ///< Workers that this request already tried.
    std::span<const ZoneIndex> zones{};     ///< Zones its plan may use; empty means all.

    bool allows(ZoneIndex zone) const
    {
        return zones.empty() || std::ranges::find(zones, zone) != zones.end();
    }
};

/// Why a worker was chosen.
enum class RoutingReason : std::uint8_t { Policy, Probe };

/// A routing decision; small, since it is kept per call for `explain`.
struct RoutingDecision
{
    WorkerIndex worker{};
    RoutingReason reason = RoutingReason::Policy;
    float costUs = 0;            ///< Cost of the chosen worker, in microseconds.
    float runnerUpCostUs = 0;    ///< Cost of the second-best candidate; 0 when there was none.
    std::uint8_t candidates = 0; ///< Number of workers compared.
};

} // namespace firefly
