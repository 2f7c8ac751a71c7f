#pragma once

#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

#include <string>

namespace firefly {

// Helpers for jobs of one long-running task, by the id of the job.

inline TaskName taskOf(const std::string &id)
{
    return {JobId(id), 0, 0, 0};
}

/// The worker that runs the task of the job \a id; empty if none does.
inline std::string workerOf(const CellWorld &cell, const std::string &id)
{
    const auto it = cell.audit.runningOn.find(taskOf(id));
    return it != cell.audit.runningOn.end() && !it->second.empty() ? *it->second.begin() : "";
}

inline void cancel(CellWorld &cell, const std::string &id)
{
    cell.owner->cancel(JobId(id), cell.now, cell.unixMs(), [](CellScheduler::Verdict) {});
}

/// Drains the worker that runs the task of the job \a id.
inline void displace(CellWorld &cell, const std::string &id)
{
    const std::string worker = workerOf(cell, id);
    ASSERT_FALSE(worker.empty()) << id;
    drain(cell, worker);
}

} // namespace firefly
