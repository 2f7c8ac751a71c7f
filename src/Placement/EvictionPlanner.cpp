#include "Placement/EvictionPlanner.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace firefly {
namespace {

/// Work that stopping and resuming costs even with a checkpoint.
constexpr double RestartCostSeconds = 5;

double lostSeconds(const EvictionCandidate &task)
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
    Row &row = at(worker);
    const double weight = std::min(1.0, urgentLoad / m_settings.fullPressureLoad);
    updatePressure(row, 1 + weight * (urgentSlowdown - 1), now);
    if (isSettling(row, now)) {
        return std::nullopt;
    }
    if (row.pressedSince) {
        return relieve(row, tasks, now);
    }
    if (!row.calmSince || now - *row.calmSince < m_settings.restoreAfter) {
        return std::nullopt;
    }
    const auto action = restore(tasks);
    if (!action) {
        return std::nullopt;
    }
    row.lastAction = now;
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

EvictionPlanner::Row &EvictionPlanner::at(WorkerIndex worker)
{
    if (m_rows.size() <= toPosition(worker)) {
        m_rows.resize(toPosition(worker) + 1);
    }
    return m_rows[toPosition(worker)];
}

void EvictionPlanner::updatePressure(Row &row, double urgentSlowdown, TimePoint now) const
{
    if (urgentSlowdown > highPressure()) {
        row.calmSince.reset();
        row.pressedSince = row.pressedSince.value_or(now);
        return;
    }
    if (urgentSlowdown < highPressure() * m_settings.lowPressureShare) {
        row.pressedSince.reset();
        row.calmSince = row.calmSince.value_or(now);
    }
}

bool EvictionPlanner::isSettling(const Row &row, TimePoint now) const
{
    return row.lastAction && now - *row.lastAction < m_settings.settleTime;
}

bool EvictionPlanner::mayEvict(Row &row, TimePoint now) const
{
    while (!row.evictions.empty() && now - row.evictions.front() >= m_settings.evictionWindow) {
        row.evictions.pop_front();
    }
    return row.evictions.size() < m_settings.maxEvictionsPerWindow;
}

std::optional<EvictionAction>
EvictionPlanner::relieve(Row &row, std::span<const EvictionCandidate> tasks, TimePoint now)
{
    const Duration pressed = now - *row.pressedSince;
    if (pressed < m_settings.throttleAfter) {
        return std::nullopt;
    }
    if (const auto action = throttle(tasks)) {
        row.lastAction = now;
        return *action;
    }
    if (pressed < m_settings.evictAfter || !mayEvict(row, now)) {
        return std::nullopt;
    }
    const auto action = evict(tasks, now);
    if (!action) {
        return std::nullopt;
    }
    row.lastAction = now;
    row.evictions.push_back(now);
    return *action;
}

std::optional<ThrottleAction>
EvictionPlanner::throttle(std::span<const EvictionCandidate> tasks) const
{
    const EvictionCandidate *worst = nullptr;
    for (const EvictionCandidate &it : tasks) {
        if (it.share <= m_settings.throttledShare || it.urgentSlowdown < m_settings.minRelief) {
            continue;
        }
        if (worst == nullptr || it.urgentSlowdown > worst->urgentSlowdown) {
            worst = &it;
        }
    }
    if (worst == nullptr) {
        return std::nullopt;
    }
    return ThrottleAction{worst->job, worst->attempt, m_settings.throttledShare};
}

std::optional<EvictAction> EvictionPlanner::evict(std::span<const EvictionCandidate> tasks,
                                                  TimePoint now) const
{
    const EvictionCandidate *best = nullptr;
    const auto relief = [](const EvictionCandidate &it) {
        return it.urgentSlowdown / lostSeconds(it);
    };
    for (const EvictionCandidate &it : tasks) {
        if (now - it.started < m_settings.minRunTime || it.urgentSlowdown < m_settings.minRelief) {
            continue;
        }
        if (best == nullptr || relief(it) > relief(*best)) {
            best = &it;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return EvictAction{best->job, best->attempt, best->canCheckpoint};
}

std::optional<ThrottleAction>
EvictionPlanner::restore(std::span<const EvictionCandidate> tasks) const
{
    const EvictionCandidate *mildest = nullptr;
    for (const EvictionCandidate &it : tasks) {
        if (it.share >= 1) {
            continue;
        }
        if (mildest == nullptr || it.urgentSlowdown < mildest->urgentSlowdown) {
            mildest = &it;
        }
    }
    if (mildest == nullptr) {
        return std::nullopt;
    }
    return ThrottleAction{mildest->job, mildest->attempt, 1};
}

nlohmann::json EvictionPlanner::dump(WorkerIndex worker) const
{
    if (m_rows.size() <= toPosition(worker)) {
        return {{"underPressure", false}, {"evictionsInWindow", 0}};
    }
    const Row &row = m_rows[toPosition(worker)];
    return {{"underPressure", row.pressedSince.has_value()},
            {"highPressure", highPressure()},
            {"evictionsInWindow", row.evictions.size()}};
}

} // namespace firefly
