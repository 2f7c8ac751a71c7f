#pragma once

#include "Core/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace firefly::bench {

/// Number of plans that customers hold.
constexpr std::size_t PlanCount = 4;

/// Counts events and how many of them meet a condition.
struct Proportion
{
    std::uint64_t matches = 0;
    std::uint64_t total = 0;

    void add(bool isMatch)
    {
        matches += isMatch ? 1 : 0;
        ++total;
    }
    double share() const { return total == 0 ? 0 : double(matches) / double(total); }
};

/// Results of one policy in one run, or summed over several seeds.
struct Measures
{
    std::vector<std::uint32_t> latenciesUs; ///< Of answered calls, measured at the entry.
    Proportion late;                        ///< Admitted calls that were answered late or never.
    Proportion refused;                     ///< Refused requests, of all requests.
    Duration slowestRefusal{}; ///< Longest time from the arrival at the entry to the refusal.
    std::uint64_t refusedWithoutRetryAfter = 0; ///< Refusals without a retry-after time.
    Proportion crossZone;                       ///< Dispatches to another zone, of all dispatches.
    std::array<std::uint64_t, PlanCount> planAnswered{}; ///< Calls answered in time, by plan.
    double callCapacity = 0;     ///< Calls that all workers together could have answered.
    double batchWorkSeconds = 0; ///< Processor-seconds of batch work that was not lost.
    double wastedSeconds = 0; ///< Processor-seconds lost to evictions, memory guards and failures.
    double evictionLossSeconds = 0; ///< Part of wastedSeconds that evictions lost.
    std::uint64_t jobsFinished = 0;
    std::uint64_t evictions = 0;
    std::uint64_t throttles = 0;
    std::uint64_t guardStops = 0;     ///< Tasks stopped because they exceeded their memory.
    std::uint64_t infeasibleJobs = 0; ///< Jobs refused because no worker can ever run them.
    std::uint64_t overruns = 0;       ///< Starts that exceeded the capacity of their worker.
    /// Dispatches to the failing worker from 5 s after its failure began.
    Proportion failingWorkerShare;
    Proportion shareBeforeFailure; ///< Dispatches to the failing worker before its failure.
    Proportion shareAfterRecovery; ///< Dispatches to it from 30 s after its recovery.
    Proportion lateAfterZoneLoss;  ///< Late calls from 5 s after the loss of a zone, for 30 s.
    /// Largest ratio of retries and hedges to requests in a minute.
    double worstMinuteExtraRatio = 0;

    /// Adds the results of another run; maxima are kept.
    void add(const Measures &other);
    /// Latency quantile \a share of the answered calls, in milliseconds; reorders latenciesUs.
    double quantileMs(double share);
    double lateShare() const { return late.share(); }
    /// Share of the batch work that was lost.
    double wastedShare() const;
};

} // namespace firefly::bench
