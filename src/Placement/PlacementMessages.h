#pragma once

#include "Core/Id.h"
#include "Core/Resources.h"
#include "Interference/SlowdownModel.h"
#include "Routing/WorkerIndex.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace firefly {

/// A batch job that asks for a worker.
struct PlacementRequest
{
    JobId job;
    WorkloadIndex kind = 0;
    Resources resources;                    ///< Corrected by SizeEstimator.
    std::span<const std::string> zones{};   ///< Zones its plan may use; empty means all.
    std::span<const WorkerIndex> exclude{}; ///< Workers that it just failed on.
};

/// Why a placement chose a worker or none.
enum class PlacementReason : std::uint8_t {
    LowestSlowdown, ///< The candidate with the lowest cost by predicted slowdown.
    FirstFit,       ///< The first worker with enough free capacity.
    Random,         ///< A random worker with enough free capacity.
    NoRoom,         ///< No candidate has enough free capacity now.
    UrgentRoomKept, ///< It fits only into capacity that is reserved for urgent calls.
};

/// Name of \a reason in dumps.
std::string_view toString(PlacementReason reason);

/// The job may start on \a worker; the caller reserves its resources at once.
struct Placed
{
    WorkerIndex worker{};
    PlacementReason reason = PlacementReason::LowestSlowdown;
    float cost = 0; ///< Cost in the unit of the policy, lower is better; 0 for baselines.
};

/// The job has to wait: no worker can take it now.
struct Deferred
{
    PlacementReason reason = PlacementReason::NoRoom;
};

/// No worker could ever run the job.
struct Infeasible
{
    std::string reason;
};

/// Answer to a PlacementRequest.
using Placement = std::variant<Placed, Deferred, Infeasible>;

} // namespace firefly
