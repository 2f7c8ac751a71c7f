#include "Placement/EvictionPlanner.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace firefly {
namespace {

/// Work lost by stopping and resuming a task, even with a checkpoint.
constexpr double RestartCostSeconds = 5;

double lostWorkSeconds(const EvictionCandidate &task)
{
    if (task.canCheckpoint) {
        return RestartCostSeconds;
    }
    return RestartCostSeconds + std::chrono::duration<double>(task.unsavedWork).count();
}

} // namespace

std::optional<EvictionAction> EvictionPlanner::plan(WorkerIndex worker, double urgentSlowdown,
                                                    std::span<const EvictionCandidate> tasks,
                                                    TimePoint now, double urgentLoad)
{
    WorkerState &state = at(worker);
    const double weight = std::min(1.0, urgentLoad / m_settings.fullPressureLoad);
    updatePressure(state, 1 + weight * (urgentSlowdown - 1), now);
    if (isSettling(state, now)) {
        return std::nullopt;
    }
    if (state.highPressureSince) {
        return reducePressure(state, tasks, now);
    }
    if (!state.lowPressureSince || now - *state.lowPressureSince < m_settings.restoreAfter) {
        return std::nullopt;
    }
    const auto action = chooseRestore(tasks);
    if (!action) {
        return std::nullopt;
    }
    state.lastAction = now;
    return *action;
}

void EvictionPlanner::remove(WorkerIndex worker)
{
    at(worker) = {};
}

double EvictionPlanner::highPressure() const
{
    const double w = m_settings.urgentWeight;
    return w * m_settings.highPressureAtOne + (1 - w) * m_settings.highPressureAtZero;
}

EvictionPlanner::WorkerState &EvictionPlanner::at(WorkerIndex worker)
{
    if (m_states.size() <= toPosition(worker)) {
        m_states.resize(toPosition(worker) + 1);
    }
    return m_states[toPosition(worker)];
}

void EvictionPlanner::updatePressure(WorkerState &state, double urgentSlowdown, TimePoint now) const
{
    if (urgentSlowdown > highPressure()) {
        state.lowPressureSince.reset();
        state.highPressureSince = state.highPressureSince.value_or(now);
        return;
    }
    if (urgentSlowdown < highPressure() * m_settings.lowPressureShare) {
        state.highPressureSince.reset();
        state.lowPressureSince = state.lowPressureSince.value_or(now);
    }
}

bool EvictionPlanner::isSettling(const WorkerState &state, TimePoint now) const
{
    return state.lastAction && now - *state.lastAction < m_settings.settleTime;
}

bool EvictionPlanner::mayEvict(WorkerState &state, TimePoint now) const
{
    while (!state.evictions.empty() && now - state.evictions.front() >= m_settings.evictionWindow) {
        state.evictions.pop_front();
    }
    return state.evictions.size() < m_settings.maxEvictionsPerWindow;
}

std::optional<EvictionAction>
EvictionPlanner::reducePressure(WorkerState &state, std::span<const EvictionCandidate> tasks,
                                TimePoint now)
{
    const Duration pressureDuration = now - *state.highPressureSince;
    if (pressureDuration < m_settings.throttleAfter) {
        return std::nullopt;
    }
    if (const auto action = chooseThrottle(tasks)) {
        state.lastAction = now;
        return *action;
    }
    if (pressureDuration < m_settings.evictAfter || !mayEvict(state, now)) {
        return std::nullopt;
    }
    const auto action = chooseEviction(tasks, now);
    if (!action) {
        return std::nullopt;
    }
    state.lastAction = now;
    state.evictions.push_back(now);
    return *action;
}

std::optional<ThrottleAction>
EvictionPlanner::chooseThrottle(std::span<const EvictionCandidate> tasks) const
{
    const EvictionCandidate *mostDisturbing = nullptr;
    for (const EvictionCandidate &it : tasks) {
        if (it.share <= m_settings.throttledShare
            || it.urgentSlowdown < m_settings.minTaskSlowdown) {
            continue;
        }
        if (mostDisturbing == nullptr || it.urgentSlowdown > mostDisturbing->urgentSlowdown) {
            mostDisturbing = &it;
        }
    }
    if (mostDisturbing == nullptr) {
        return std::nullopt;
    }
    return ThrottleAction{mostDisturbing->job, mostDisturbing->attempt, m_settings.throttledShare};
}

std::optional<EvictAction> EvictionPlanner::chooseEviction(std::span<const EvictionCandidate> tasks,
                                                           TimePoint now) const
{
    const EvictionCandidate *best = nullptr;
    const auto reliefPerLostSecond = [](const EvictionCandidate &it) {
        return it.urgentSlowdown / lostWorkSeconds(it);
    };
    for (const EvictionCandidate &it : tasks) {
        if (now - it.started < m_settings.minRunTime
            || it.urgentSlowdown < m_settings.minTaskSlowdown) {
            continue;
        }
        if (best == nullptr || reliefPerLostSecond(it) > reliefPerLostSecond(*best)) {
            best = &it;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return EvictAction{best->job, best->attempt, best->canCheckpoint};
}

std::optional<ThrottleAction>
EvictionPlanner::chooseRestore(std::span<const EvictionCandidate> tasks) const
{
    const EvictionCandidate *leastDisturbing = nullptr;
    for (const EvictionCandidate &it : tasks) {
        if (it.share >= 1) {
            continue;
        }
        if (leastDisturbing == nullptr || it.urgentSlowdown < leastDisturbing->urgentSlowdown) {
            leastDisturbing = &it;
        }
    }
    if (leastDisturbing == nullptr) {
        return std::nullopt;
    }
    return ThrottleAction{leastDisturbing->job, leastDisturbing->attempt, 1};
}

nlohmann::json EvictionPlanner::dump(WorkerIndex worker) const
{
    if (m_states.size() <= toPosition(worker)) {
        return {{"underPressure", false}, {"evictionsInWindow", 0}};
    }
    const WorkerState &state = m_states[toPosition(worker)];
    return {{"underPressure", state.highPressureSince.has_value()},
            {"highPressure", highPressure()},
            {"evictionsInWindow", state.evictions.size()}};
}

} // namespace firefly
