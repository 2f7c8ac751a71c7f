#pragma once

#include "Cell/CellState.h"

namespace firefly {

/// Moves tasks between states and keeps the counts and reservations that follow from them.
///
/// Each function is O(tasks on the worker).
namespace TaskLedger {

/// Room that \a ref takes while it is placed.
void place(const TaskRef &ref, CellWorker &worker, TaskState state, std::uint32_t run);
/// Takes a placed task off its worker; it becomes Pending.
void release(const TaskRef &ref);
/// Ends a task for good; the others of its gang end with it.
void finish(const TaskRef &ref);
/// Makes an Unlocated task Pending.
void settle(const TaskRef &ref);
/// Creates the tasks of the next occurrence of \a job.
void openOccurrence(CellJob &job, std::int64_t dueUnixMs, TaskState state);
/// True when all steps that \a step waits for are done.
bool isOpen(const CellJob &job, std::uint32_t occurrence, std::uint32_t step);
/// Run number for the next start of \a task by the owner with \a epoch; rises across owners.
std::uint32_t nextRun(const CellTask &task, Epoch epoch);

} // namespace TaskLedger
} // namespace firefly
