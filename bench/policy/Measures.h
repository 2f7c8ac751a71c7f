#pragma once

#include "Core/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace firefly::bench {

constexpr std::size_t PlanCount = 4;

/// Part of something.
struct Part
{
    std::uint64_t some = 0;
    std::uint64_t all = 0;

    void add(bool isSome)
    {
        some += isSome ? 1 : 0;
        ++all;
    }
    double share() const { return all == 0 ? 0 : double(some) / double(all); }
};

/// What one run of one policy, or several with different seeds, came to.
struct Measures
{
    std::vector<std::uint32_t> latenciesUs; ///< Of answered calls, as seen at the entry.
    Part late;                              ///< Of admitted calls: answered late or never.
    Part refused;                           ///< Of all requests.
    Duration slowestRefusal{};              ///< From arrival at the entry to the refusal.
    std::uint64_t refusedWithoutTime = 0;   ///< Refusals without a time to come back.
    Part crossZone;                         ///< Of dispatches.
    std::array<std::uint64_t, PlanCount> planAnswered{}; ///< In time.
    double callCapacity = 0;     ///< Calls that the workers could have answered in all.
    double batchWorkSeconds = 0; ///< Processor-seconds of batch work that was kept.
    double wastedSeconds = 0;    ///< Processor-seconds lost to eviction, guards and failures.
    double lostToEviction = 0;   ///< The part of wastedSeconds lost to eviction.
    std::uint64_t jobsFinished = 0;
    std::uint64_t evictions = 0;
    std::uint64_t throttles = 0;
    std::uint64_t guardStops = 0;
    std::uint64_t neverRun = 0;  ///< Jobs refused because no worker could ever run them.
    std::uint64_t overruns = 0;  ///< Times a worker was given more than it holds.
    Part faultyShare;            ///< Dispatches to the failing worker from 5 s after it began.
    Part shareBefore;            ///< Dispatches to it before it failed.
    Part shareAfter;             ///< Dispatches to it from 30 s after it recovered.
    Part lateAfterLoss;          ///< Late calls from 5 s after a zone was lost, for 30 s.
    double extraWorstMinute = 0; ///< Retries and hedges over requests, in the worst minute.

    void add(const Measures &other);
    /// Latency below which \a share of the answered calls stay, in milliseconds.
    double quantileMs(double share);
    double lateShare() const { return late.share(); }
    double wastedShare() const;
};

} // namespace firefly::bench
