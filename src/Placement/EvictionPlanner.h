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

/// A batch task as the eviction planner sees it.
struct EvictionCandidate
{
    JobId job;
    std::uint64_t attempt = 0;
    TimePoint started{};
    Duration unsavedWork{};    ///< Lost if the task stops without a checkpoint.
    bool canCheckpoint = true; ///< The task's kind saves its progress when stopped.
    double urgentSlowdown = 0; ///< Part of the urgent slowdown put down to this task.
    double share = 1;          ///< Throttled share now.
    std::int64_t milliProcessors = 0;
};

/// Lower a task's share of its processors, or restore it.
struct ThrottleAction
{
    JobId job;
    std::uint64_t attempt = 0;
    double share = 1;
};

/// Stop a task, keeping its progress if \a checkpoint.
struct EvictAction
{
    JobId job;
    std::uint64_t attempt = 0;
    bool checkpoint = true;
};

using EvictionAction = std::variant<ThrottleAction, EvictAction>;

/// Relieves workers whose urgent calls are slowed: throttles first, then evicts, with a checkpoint
/// where the task can make one, the task that loses the least work for the relief it gives.
///
/// Damped: acts above one mark and restores below a lower one, each after a dwell time; waits for
/// the effect of each action; leaves a task alone that just started; bounds the evictions per
/// worker and window.
class EvictionPlanner
{
public:
    explicit EvictionPlanner(const EvictionSettings &settings = {})
        : m_settings(settings)
    {}

    /// Takes one reading of a worker's urgent slowdown and returns what to do there, if anything.
    /// \a urgentLoad is the share of its urgent slots in use: a slow worker that calls avoid is
    /// under little pressure.
    std::optional<EvictionAction> plan(WorkerIndex worker, double urgentSlowdown,
                                       std::span<const EvictionCandidate> tasks, TimePoint now,
                                       double urgentLoad = 1);
    /// Forgets a worker.
    void remove(WorkerIndex worker);
    /// Urgent slowdown that counts as pressure.
    double highPressure() const;
    nlohmann::json dump(WorkerIndex worker) const;

private:
    struct Row
    {
        std::optional<TimePoint> pressedSince;
        std::optional<TimePoint> calmSince;
        std::optional<TimePoint> lastAction;
        std::deque<TimePoint> evictions; ///< Within the window, oldest first.
    };

    Row &at(WorkerIndex worker);
    void updatePressure(Row &row, double urgentSlowdown, TimePoint now) const;
    bool isSettling(const Row &row, TimePoint now) const;
    bool mayEvict(Row &row, TimePoint now) const;
    std::optional<EvictionAction> relieve(Row &row, std::span<const EvictionCandidate> tasks,
                                          TimePoint now);
    std::optional<ThrottleAction> throttle(std::span<const EvictionCandidate> tasks) const;
    std::optional<EvictAction> evict(std::span<const EvictionCandidate> tasks, TimePoint now) const;
    std::optional<ThrottleAction> restore(std::span<const EvictionCandidate> tasks) const;

    EvictionSettings m_settings;
    std::vector<Row> m_rows;
};

} // namespace firefly
