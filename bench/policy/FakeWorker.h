#pragma once

#include "bench/policy/HiddenEffects.h"
#include "Core/Clock.h"
#include "Core/Resources.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace firefly::bench {

/// A batch task on a simulated worker.
struct FakeTask
{
    std::size_t kind = 0;
    Resources granted;
    std::int64_t neededMilliProcessors = 0; ///< What it would use without limits.
    double workSeconds = 0;                 ///< Total run time without interference.
    double doneSeconds = 0;
    double throttle = 1; ///< Share of its processors that it may use.
    double speed = 1;    ///< Seconds of work per second of time.
    /// Increases with each update of the speed; events of older versions are ignored.
    std::uint64_t version = 0;
    TimePoint updated{};
    TimePoint started{};
};

/// Slowdown and load of the urgent calls that a worker began within a time window.
struct SlowdownWindow
{
    TimePoint from{};
    TimePoint to{};
    double slowdownSum = 0; ///< Sum of the slowdowns of the calls.
    double loadSum = 0;     ///< Sum, over the calls, of the share of slots in use at their start.
    std::uint64_t calls = 0;
};

/// A simulated worker that runs calls and tasks under interference.
///
/// It counts each start that exceeds its capacity, and its reports lag.
class FakeWorker
{
public:
    explicit FakeWorker(const Resources &capacity)
        : m_capacity(capacity)
    {}

    /// Begins an urgent call and returns its slowdown.
    double beginCall(const Resources &call, const HiddenEffects &effects, TimePoint now);
    void endCall(const Resources &call);
    void beginTask(std::size_t job, const FakeTask &task);
    FakeTask endTask(std::size_t job);
    void throttleTask(std::size_t job, double share) { m_tasks.at(job).throttle = share; }
    /// Updates the progress and speed of every task to \a now.
    void advance(const HiddenEffects &effects, TimePoint now);

    std::map<std::size_t, FakeTask> &tasks() { return m_tasks; }
    /// Removes all windows that ended by \a before and returns the newest of them.
    std::optional<SlowdownWindow> popReport(TimePoint before);
    /// Number of starts that exceeded the capacity.
    std::uint64_t overruns() const { return m_overruns; }

private:
    KindShares shares() const;
    double urgentLoad() const;
    void checkCapacity();

    Resources m_capacity;
    Resources m_inUse;
    std::int64_t m_calls = 0;
    std::map<std::size_t, FakeTask> m_tasks;
    std::deque<SlowdownWindow> m_windows;
    std::uint64_t m_overruns = 0;
};

} // namespace firefly::bench
