#pragma once

#include "Cell/CellState.h"

namespace firefly {

/// State transitions of tasks, which keep the derived counts and reservations consistent.
///
/// Each function is O(tasks on the worker).
namespace TaskLedger {

/// Delay of the next report of a worker that stops a long-running task: others may wait for the
/// capacity.
constexpr Duration AwaitedEndDelay = std::chrono::milliseconds(25);

/// Assigns \a ref to \a worker and reserves its capacity there; \a state must satisfy isPlaced().
void place(const TaskRef &ref, CellWorker &worker, TaskState state, std::uint32_t run);
/// Queues a stop order for a placed task; its worker's reports decide when it is released.
void orderStop(CellState &state, const TaskRef &ref, TimePoint now);
/// Removes a placed task from its worker and makes it Pending.
void release(const TaskRef &ref);
/// Makes a task Done, and with it all other members of its gang.
void finish(const TaskRef &ref);
/// Makes a Pending task Unlocated, so that it waits for all workers that may list runs of it.
void unlocate(const TaskRef &ref);
/// Makes an Unlocated task Pending.
void resolveUnlocated(const TaskRef &ref);
/// Leaves a Pending or Unlocated task to another cell.
void moveElsewhere(const TaskRef &ref);
/// Makes a task Pending that was Elsewhere.
void moveBack(const TaskRef &ref);
/// Adds the next occurrence of \a job, with all tasks in \a state.
void addOccurrence(CellJob &job, std::int64_t dueUnixMs, TaskState state);
/// True when all steps that \a step depends on are done.
bool isReady(const CellJob &job, std::uint32_t occurrence, std::uint32_t step);
/// Run number for the next start of \a task by the owner of \a epoch; increases across owners.
std::uint32_t nextRun(const CellTask &task, Epoch epoch);

} // namespace TaskLedger
} // namespace firefly
