#include "Fleet/ReferralPolicy.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

namespace firefly {
namespace {

/// Below this load a cell has capacity for new jobs, and referrals would only add latency.
constexpr double MinLoadToRefer = 0.4;
/// Longest time until an owner publishes a load that includes a job referred to it.
constexpr Duration MaxLoadReportDelay = std::chrono::milliseconds(600);
/// The same while the owners read nearly without pause.
constexpr Duration FastReportDelay = std::chrono::milliseconds(150);
/// Smallest difference of load that justifies the referral of a batch job.
constexpr double MinLoadDifference = 0.04;
/// Difference of load from which on every batch job is referred.
constexpr double FullReferralDifference = 0.25;
/// Load of a cell that can't take a job at all, above the load of the fullest other one.  Recent
/// referrals, which count towards the others, must not use it up.
constexpr double UnusableLoadMargin = 2.0;

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

/// Index that \a draw, in [0, 1), hits if each has a share by its weight; -1 without weights.
int pick(std::span<const double> weights, double draw)
{
    double left = draw * std::accumulate(weights.begin(), weights.end(), 0.0);
    int index = -1;
    for (std::size_t i = 0; i < weights.size() && left >= 0.0; ++i) {
        index = weights[i] > 0.0 ? static_cast<int>(i) : index;
        left -= weights[i];
    }
    return index;
}

} // namespace

void ReferralPolicy::dropReferralsBefore(TimePoint time)
{
    while (!m_recent.empty() && m_recent.front().at < time) {
        m_recent.pop_front();
    }
}

std::optional<int> ReferralPolicy::chooseForBatch(const Job &job, const CellLoad &own,
                                                  std::span<const std::optional<CellLoad>> others,
                                                  TimePoint now)
{
    const double ownLoad = competingLoad(own, job.load);
    if (ownLoad < MinLoadToRefer) {
        return std::nullopt;
    }
    dropReferralsBefore(now - MaxLoadReportDelay);
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
        gains[i] = gain > MinLoadDifference ? gain : 0.0;
        totalGain += gains[i];
        maxGain = std::max(maxGain, gain);
    }
    const double draw = hashFraction(job.id);
    if (totalGain <= 0.0 || draw >= maxGain / FullReferralDifference) {
        return std::nullopt;
    }
    const int target = pick(gains, draw / std::min(1.0, maxGain / FullReferralDifference));
    m_recent.push_back({now, target, job.load});
    return target;
}

std::optional<int>
ReferralPolicy::chooseForLongRunning(const Job &job, std::size_t home, bool isHeld,
                                     std::span<const std::optional<CellLoad>> loads, TimePoint now)
{
    if (home >= loads.size() || !loads[home]) {
        return std::nullopt;
    }
    dropReferralsBefore(now - FastReportDelay);
    std::vector<double> reserved(loads.size(), 0.0);
    double sum = 0.0;
    int count = 0;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        if (!loads[i]) {
            continue;
        }
        reserved[i] = loads[i]->reserved + (i == home && !isHeld ? job.load.reserved : 0.0);
        for (const RecentReferral &it : m_recent) {
            reserved[i] += it.cell == static_cast<int>(i) ? it.load.reserved : 0.0;
            reserved[i] -= i == home ? it.load.reserved : 0.0;
        }
        sum += reserved[i];
        ++count;
    }
    const double mean = sum / count;
    if (reserved[home] - mean <= job.load.reserved / 2) {
        return std::nullopt;
    }
    std::vector<double> lacks(loads.size(), 0.0);
    for (std::size_t i = 0; i < loads.size(); ++i) {
        lacks[i] = loads[i] ? std::max(0.0, mean - reserved[i]) : 0.0;
    }
    const int target = pick(lacks, hashFraction(job.id));
    if (target < 0) {
        return std::nullopt;
    }
    m_recent.push_back({now, target, job.load});
    return target;
}

CellLoad ReferralPolicy::loadAbove(std::span<const std::optional<CellLoad>> others)
{
    CellLoad load;
    for (const auto &it : others) {
        load.reserved = std::max(load.reserved, it ? it->reserved + it->fillers : 0.0);
    }
    load.reserved += UnusableLoadMargin;
    return load;
}

bool ReferralPolicy::shouldHold(TimePoint now)
{
    const auto last = std::exchange(m_lastLongRunningAt, now);
    return last && now - *last < HoldWindow;
}

} // namespace firefly
