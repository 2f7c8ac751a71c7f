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

/// A batch task on a fake worker.
struct FakeTask
{
    std::size_t kind = 0;
    Resources granted;
    std::int64_t neededMilliProcessors = 0; ///< What it would use undisturbed.
    double workSeconds = 0;                 ///< Undisturbed run time in all.
    double doneSeconds = 0;
    double throttle = 1;
    double speed = 1;
    std::uint64_t version = 0; ///< Changes with the speed; older end events are void.
    TimePoint updated{};
    TimePoint started{};
};

/// Slowdown and load of the urgent calls that a worker began within a span of time.
struct SlowdownWindow
{
    TimePoint from{};
    TimePoint to{};
    double sum = 0;     ///< Of the calls' slowdowns.
    double loadSum = 0; ///< Of the shares of the slots in use when each began.
    std::uint64_t calls = 0;
};

/// A worker written by hand: runs calls and tasks under the hidden effects, checks for itself that
/// it is never given more than it holds, and reports late.
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
    /// Brings every task's progress and speed up to \a now.
    void advance(const HiddenEffects &effects, TimePoint now);

    std::map<std::size_t, FakeTask> &tasks() { return m_tasks; }
    /// The newest window that ended before \a before, once.
    std::optional<SlowdownWindow> takeReport(TimePoint before);
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
