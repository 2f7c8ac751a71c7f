#pragma once

#include "Interference/SlowdownModel.h"
#include "Routing/WorkerIndex.h"

#include <span>
#include <vector>

namespace firefly {

/// The batch workloads placed on each worker, as shares of its processors.
class WorkerMixes
{
public:
    /// Adds \a share of \a kind, as a share of the worker's processors.
    void add(WorkerIndex worker, WorkloadIndex kind, double share);
    void remove(WorkerIndex worker, WorkloadIndex kind, double share);
    /// Workloads on \a worker; empty when there are none.
    std::span<const WorkloadShare> of(WorkerIndex worker) const;

private:
    std::vector<std::vector<WorkloadShare>> m_mixes;
};

} // namespace firefly
