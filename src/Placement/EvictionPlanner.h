#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"
#include "Placement/EvictionSettings.h"
#include "Routing/WorkerIndex.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace firefly {

/// A batch task on a worker, as input of EvictionPlanner.
struct EvictionCandidate
{
    JobId job;
    std::uint64_t attempt = 0;
    TimePoint started{};
    Duration unsavedWork{};    ///< Work lost if the task stops without a checkpoint.
    bool canCheckpoint = true; ///< The task can save its progress when stopped.
    double urgentSlowdown = 0; ///< Part of the urgent slowdown attributed to this task.
    double share = 1;          ///< Current share of its processors; below 1 when throttled.
    std::int64_t milliProcessors = 0;
};

/// Sets a task's share of its processors: lower to throttle it, 1 to restore it.
struct ThrottleAction
{
    JobId job;
    std::uint64_t attempt = 0;
    double share = 1;
};

/// Stops a task; \a checkpoint asks it to save its progress first.
struct EvictAction
{
    JobId job;
    std::uint64_t attempt = 0;
    bool checkpoint = true;
};

/// Action of EvictionPlanner on one task.
using EvictionAction = std::variant<ThrottleAction, EvictAction>;

/// Decides which batch tasks to throttle or evict on workers whose urgent calls are slowed down.
/// Throttles first, then evicts the task with the least lost work per slowdown removed, with a
/// checkpoint where the task supports it.
///
/// Hysteresis avoids oscillation: it acts above a high threshold and restores below a lower one,
/// each after a dwell time, and waits for the effect of an action before the next.  Tasks that just
/// started are not evicted, and the evictions per worker and time window are bounded.
class EvictionPlanner
{
public:
    explicit EvictionPlanner(const EvictionSettings &settings = {})
        : m_settings(settings)
    {}

    /// Records a measurement of a worker's urgent slowdown and returns the action to take there, if
    /// any.  \a urgentLoad is the share of its urgent slots in use; it scales the slowdown, because
    /// a slow worker that gets few calls needs little relief.
    std::optional<EvictionAction> plan(WorkerIndex worker, double urgentSlowdown,
                                       std::span<const EvictionCandidate> tasks, TimePoint now,
                                       double urgentLoad = 1);
    /// Removes the state of a worker.
    void remove(WorkerIndex worker);
    /// Urgent slowdown above which a worker is under pressure.
    double highPressure() const;
    nlohmann::json dump(WorkerIndex worker) const;

private:
    struct WorkerState
    {
        std::optional<TimePoint> highPressureSince;
        std::optional<TimePoint> lowPressureSince;
        std::optional<TimePoint> lastAction;
        std::deque<TimePoint> evictions; ///< Times of evictions within the window, oldest first.
    };

    WorkerState &at(WorkerIndex worker);
    void updatePressure(WorkerState &state, double urgentSlowdown, TimePoint now) const;
    /// True while the effect of the last action is awaited.
    bool isSettling(const WorkerState &state, TimePoint now) const;
    /// False when the evictions of the window are used up.
    bool mayEvict(WorkerState &state, TimePoint now) const;
    std::optional<EvictionAction>
    reducePressure(WorkerState &state, std::span<const EvictionCandidate> tasks, TimePoint now);
    std::optional<ThrottleAction> chooseThrottle(std::span<const EvictionCandidate> tasks) const;
    std::optional<EvictAction> chooseEviction(std::span<const EvictionCandidate> tasks,
                                              TimePoint now) const;
    std::optional<ThrottleAction> chooseRestore(std::span<const EvictionCandidate> tasks) const;

    EvictionSettings m_settings;
    std::vector<WorkerState> m_states;
};

} // namespace firefly
