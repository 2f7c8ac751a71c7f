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
    void add(WorkerIndex worker, WorkloadIndex kind, double share);
    void remove(WorkerIndex worker, WorkloadIndex kind, double share);
    std::span<const WorkloadShare> of(WorkerIndex worker) const;

private:
    std::vector<std::vector<WorkloadShare>> m_mixes;
};

} // namespace firefly
