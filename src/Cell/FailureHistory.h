#pragma once

#include "Core/Clock.h"
#include "Workload/JobSpec.h"

#include <cstdint>
#include <vector>

namespace firefly {

/// Failed and stuck runs of one task, or of one gang, by the workers that had them.
///
/// Kept by one owner only; old failures are forgotten at the next one.
class FailureHistory
{
public:
    /// Failures further apart than this tell nothing of each other.
    static constexpr Duration Memory = std::chrono::seconds(20);

    /// Pause of a worker after \a failures failures in a row; none after the first.
    static Duration pauseAfter(std::size_t failures);

    /// Counts the run once on each of its workers.
    void record(const WorkerId &worker, std::uint32_t run, TimePoint now);
    bool hasFailedOn(const WorkerId &worker) const { return find(worker); }
    /// True if some run has failed without \a worker, so that the task may be at fault.
    bool hasFailedWithout(const WorkerId &worker) const;
    /// True during the pause after a failure on \a worker, the longer the more there were.
    bool isPausedOn(const WorkerId &worker, TimePoint now) const;
    /// The same for any worker.
    bool isPaused(TimePoint now) const;
    /// Workers with failures, in the order of their first ones.
    std::vector<WorkerId> workers() const;

private:
    struct OnWorker
    {
        WorkerId worker;
        std::uint32_t runCount = 0;
        std::uint32_t latestRun = 0;
        TimePoint pausedUntil{};
    };

    const OnWorker *find(const WorkerId &worker) const;

    std::vector<OnWorker> m_workers;
    std::uint32_t m_runCount = 0;
    std::uint32_t m_latestRun = 0;
    TimePoint m_latest{};
};

} // namespace firefly
