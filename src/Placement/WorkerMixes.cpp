#include "Placement/WorkerMixes.h"

#include "Core/Assert.h"

#include <algorithm>

namespace firefly {
namespace {

/// Below this, a share is a rounding error and the workload is removed.
constexpr double NegligibleShare = 1e-9;

} // namespace

void WorkerMixes::add(WorkerIndex worker, WorkloadIndex kind, double share)
{
    if (m_mixes.size() <= toPosition(worker)) {
        m_mixes.resize(toPosition(worker) + 1);
    }
    for (WorkloadShare &it : m_mixes[toPosition(worker)]) {
        if (it.workload == kind) {
            it.share += share;
            return;
        }
    }
    m_mixes[toPosition(worker)].push_back({kind, share});
}

void WorkerMixes::remove(WorkerIndex worker, WorkloadIndex kind, double share)
{
    auto &mix = m_mixes.at(toPosition(worker));
    const auto it = std::find_if(mix.begin(), mix.end(), [&](const WorkloadShare &candidate) {
        return candidate.workload == kind;
    });
    FIREFLY_ASSERT(it != mix.end(), "a workload is removed from a worker that does not run it");
    it->share -= share;
    if (it->share < NegligibleShare) {
        mix.erase(it);
    }
}

std::span<const WorkloadShare> WorkerMixes::of(WorkerIndex worker) const
{
    if (m_mixes.size() <= toPosition(worker)) {
        return {};
    }
    return m_mixes[toPosition(worker)];
}

} // namespace firefly
