/// \file Referrals of jobs to other cells and the cell's load, as part of CellScheduler.

#include "Cell/CellScheduler.h"
#include "Workload/JobRecords.h"

#include <algorithm>

namespace firefly {
namespace {

/// Covers repeated submissions, which come within minutes; afterwards a query has to ask all cells
/// for a referred job.
constexpr Duration ReferralRetention = std::chrono::hours(1);

} // namespace

void CellScheduler::refer(const JobId &id, int cell, std::int64_t nowUnixMs,
                          const OnVerdict &onVerdict)
{
    const std::string key = JobRecords::referralKey(id);
    if (m_state.referrals.contains(id.value())) {
        const bool isWaiting = m_state.journal.addCallbacks(
            key, [onVerdict] { onVerdict(Verdict::Accepted); }, verdictOnLoss(onVerdict));
        if (!isWaiting) {
            onVerdict(Verdict::Accepted);
        }
        return;
    }
    m_state.referrals[id.value()] = {std::nullopt, nowUnixMs};
    m_state.journal.putRefusable(
        {key, JobRecords::encodeReferral({cell, nowUnixMs})},
        [this, id, cell, onVerdict] {
            m_state.referrals[id.value()].cell = cell;
            onVerdict(Verdict::Accepted);
        },
        [this, id, onLost = verdictOnLoss(onVerdict)](bool isDefinitelyLost) {
            const auto it = m_state.referrals.find(id.value());
            if (it != m_state.referrals.end() && !it->second.cell) {
                m_state.referrals.erase(it);
            }
            onLost(isDefinitelyLost);
        });
}

double CellScheduler::usableMilliCpu() const
{
    std::int64_t milliCpu = 0;
    for (const auto &[id, worker] : m_state.workers) {
        milliCpu += worker->acceptsTasks() ? worker->info.capacity.milliCpu : 0;
    }
    return std::max(1.0, static_cast<double>(milliCpu));
}

bool CellScheduler::hasUsableWorkers() const
{
    return std::ranges::any_of(m_state.workers, [](const auto &it) {
        return it.second->isRegistered && it.second->acceptsTasks();
    });
}

CellLoad CellScheduler::load() const
{
    return hasUsableWorkers() ? outstandingLoad() : CellLoad{1.0, 1.0, 1.0};
}

CellLoad CellScheduler::outstandingLoad() const
{
    const double milliCpu = usableMilliCpu();
    CellLoad sum;
    sum.milliCpu = milliCpu;
    for (const auto &[id, job] : m_state.jobs) {
        if (!isFinal(job->state)) {
            sum += job->outstandingDemand(milliCpu);
        }
    }
    return sum;
}

CellLoad CellScheduler::loadOf(const JobSpec &spec) const
{
    // A job that leaves an evacuated cell is measured by that cell's size, since no usable capacity
    // is left to measure it by.
    const double milliCpu =
        hasUsableWorkers() ? usableMilliCpu() : std::max(usableMilliCpu(), evacuatedMilliCpu());
    CellLoad sum;
    for (const StepSpec &it : spec.steps) {
        const double share = it.taskCount * static_cast<double>(it.demand.milliCpu) / milliCpu;
        (it.isFiller ? sum.fillers : sum.reserved) += share;
        sum.longRunning += it.isLongRunning && !it.isFiller ? share : 0.0;
    }
    return sum;
}

std::optional<int> CellScheduler::referralOf(const JobId &id) const
{
    const auto it = m_state.referrals.find(id.value());
    return it == m_state.referrals.end() ? std::nullopt : it->second.cell;
}

void CellScheduler::dropOldReferrals(std::int64_t nowUnixMs)
{
    const auto keptMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(ReferralRetention).count();
    for (auto it = m_state.referrals.begin(); it != m_state.referrals.end();) {
        if (!it->second.cell || nowUnixMs - it->second.atUnixMs < keptMs) {
            ++it;
            continue;
        }
        m_state.journal.put({JobRecords::referralKey(JobId(it->first)), std::nullopt});
        it = m_state.referrals.erase(it);
    }
}

} // namespace firefly
