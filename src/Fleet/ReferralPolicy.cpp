#include "Fleet/ReferralPolicy.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace firefly {
namespace {

/// Below this load a cell has capacity for new jobs, and referrals would only add latency.
constexpr double MinLoadToRefer = 0.4;
/// Longest time until an owner publishes a load that includes a job referred to it.
constexpr Duration MaxLoadReportDelay = std::chrono::milliseconds(600);

/// Load that competes with \a job: all tasks for a filler, only reserving tasks for other jobs.
double competingLoad(const CellLoad &cell, const CellLoad &job)
{
    return job.fillers > job.reserved ? cell.reserved + cell.fillers : cell.reserved;
}

/// Hash of \a id in [0, 1), so that a repeated submission draws the same number.
double hashFraction(const JobId &id)
{
    constexpr std::size_t Buckets = 1000;
    return static_cast<double>(std::hash<std::string>()(id.value()) % Buckets) / Buckets;
}

} // namespace

std::optional<int> ReferralPolicy::choose(const Job &job, const CellLoad &own,
                                          std::span<const std::optional<CellLoad>> others,
                                          TimePoint now)
{
    const double ownLoad = competingLoad(own, job.load);
    if (ownLoad < MinLoadToRefer) {
        return std::nullopt;
    }
    while (!m_recent.empty() && now - m_recent.front().at > MaxLoadReportDelay) {
        m_recent.pop_front();
    }
    const Range range = job.isLongRunning ? LongRunningRange : BatchRange;
    std::vector<double> gains(others.size(), 0.0);
    double totalGain = 0.0;
    double maxGain = 0.0;
    for (std::size_t i = 0; i < others.size(); ++i) {
        if (!others[i]) {
            continue;
        }
        CellLoad load = *others[i];
        for (const RecentReferral &it : m_recent) {
            load += it.cell == static_cast<int>(i) ? it.load : CellLoad{};
        }
        const double gain = ownLoad - competingLoad(load, job.load);
        gains[i] = gain > range.min ? gain : 0.0;
        totalGain += gains[i];
        maxGain = std::max(maxGain, gain);
    }
    double draw = hashFraction(job.id);
    if (totalGain <= 0.0 || draw >= maxGain / range.full) {
        return std::nullopt;
    }
    draw *= totalGain / std::min(1.0, maxGain / range.full);
    int target = -1;
    for (std::size_t i = 0; i < gains.size() && draw >= 0.0; ++i) {
        target = gains[i] > 0.0 ? static_cast<int>(i) : target;
        draw -= gains[i];
    }
    m_recent.push_back({now, target, job.load});
    return target;
}

} // namespace firefly
