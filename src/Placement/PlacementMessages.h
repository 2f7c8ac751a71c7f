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
    Resources resources;                    ///< As corrected by SizeEstimator.
    std::span<const std::string> zones{};   ///< Zones its plan may use; empty means all.
    std::span<const WorkerIndex> exclude{}; ///< Workers it just failed on.
};

/// Why a placement took a worker or none.
enum class PlacementReason : std::uint8_t {
    LowestSlowdown, ///< The candidate with the least predicted slowdown.
    FirstFit,       ///< The first worker with room.
    Random,         ///< Any worker with room.
    NoRoom,         ///< Nothing fits now.
    UrgentRoomKept, ///< It would fit, but only into the room kept for urgent calls.
};

/// Short name of \a reason for dumps.
std::string_view toString(PlacementReason reason);

/// The job may start on \a worker; the caller reserves it at once.
struct Placed
{
    WorkerIndex worker{};
    PlacementReason reason = PlacementReason::LowestSlowdown;
    float cost = 0; ///< Expected harm, in the policy's own unit; 0 for baselines.
};

/// The job has to wait.
struct NotNow
{
    PlacementReason reason = PlacementReason::NoRoom;
};

/// No worker could ever run the job.
struct NeverRuns
{
    std::string reason;
};

/// Answer to a PlacementRequest.
using Placement = std::variant<Placed, NotNow, NeverRuns>;

} // namespace firefly
