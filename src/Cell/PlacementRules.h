#pragma once

#include "Cell/CellState.h"

#include <optional>

namespace firefly {

/// Conditions that a worker must meet to take a task.
namespace PlacementRules {

/// Why a worker can't take a task.
enum class Obstacle {
    Unavailable,  ///< Not registered, not contacted yet, draining, or of another service.
    Unrecorded,   ///< Its record isn't stored yet: a next owner wouldn't ask it for its runs.
    Restarted,    ///< It may still accept orders that were meant for an earlier incarnation.
    Evacuated,    ///< Its zone is evacuated.
    Unresponsive, ///< Its last renewal failed.
    Acknowledged, ///< An acknowledgement is under way, which the start could overtake.
    OpenStart,    ///< Another worker may still carry out an unanswered start of the task.
    Avoided,      ///< It refused a start, or failed runs of this task or of several jobs lately.
    Capacity,
    MissedTarget, ///< A serving task missed its target there a short time ago: no fillers.
    IdleCpu,      ///< It has too little idle processor time for this filler.
    FillersKept,  ///< FillerSharing keeps it for the fillers of another job.
    Label,
    Observed,  ///< A suspect of CrashDetector could not be told from the other fresh tasks there.
    TaskLimit, ///< It runs as many tasks of the step as the step allows.
};

/// The first obstacle that keeps \a ref off \a worker, of which it may use \a available; none if it
/// can run there.  O(tasks on the worker).
/// \param expectedOfStep other tasks of the step that hold a reservation there.
std::optional<Obstacle> findObstacle(const CellWorker &worker, const ResourceVector &available,
                                     std::size_t expectedOfStep, const TaskRef &ref, TimePoint now);

/// True if \a unusedCpu, in thousandths of a core, is enough for a filler of \a spec.
bool isEnoughUnusedCpu(double unusedCpu, const StepSpec &spec);

/// True if enough of the processor time of \a worker is expected to stay unused for a filler of
/// \a spec.
bool hasUnusedCpuFor(const CellWorker &worker, const StepSpec &spec);

/// Processor capacity of \a worker that is expected to stay unused, in thousandths of a core.
double expectedUnusedCpu(const CellWorker &worker);

} // namespace PlacementRules
} // namespace firefly
