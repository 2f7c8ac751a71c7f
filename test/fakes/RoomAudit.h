#pragma once

#include "fakes/CellWorld.h"

#include <algorithm>
#include <map>
#include <span>

namespace firefly {

/// Measures how long long-running tasks that have lost their run stay down beside free capacity, by
/// what runs on the workers of one or more cells.
class RoomAudit
{
public:
    /// Time for which the platform tolerates a task without a run beside room for it twice.
    static constexpr Duration MaxIdleTime = std::chrono::seconds(3);

    /// Call it in short steps.
    void observe(std::span<const CellWorld *const> cells, TimePoint now)
    {
        for (const CellWorld *cell : cells) {
            for (const auto &[task, runs] : cell->audit.runs) {
                const StepSpec *step = cell->audit.stepOf(task);
                if (!step || !step->isLongRunning) {
                    continue;
                }
                TimePoint &since = m_roomSince[task];
                if (!isDown(cells, task) || countRooms(cells, step->reservation()) < 2) {
                    since = {};
                    continue;
                }
                since = since == TimePoint{} ? now : since;
                longestIdle = std::max(longestIdle, now - since);
            }
        }
    }

    /// Longest time for which one task was down beside room for it twice.
    Duration longestIdle{};

private:
    static bool isDown(std::span<const CellWorld *const> cells, const TaskName &task)
    {
        return std::ranges::none_of(cells, [&task](const CellWorld *cell) {
            const auto it = cell->audit.runningOn.find(task);
            const bool isRunning = it != cell->audit.runningOn.end() && !it->second.empty();
            return isRunning || cell->isFinished(task.job);
        });
    }

    /// How often \a demand fits the free capacity of single workers; at most 2.
    static int countRooms(std::span<const CellWorld *const> cells, const ResourceVector &demand)
    {
        int rooms = 0;
        for (const CellWorld *cell : cells) {
            for (const auto &[id, worker] : cell->workers) {
                if (worker->state != FakeCellWorker::State::Up || worker->isDraining) {
                    continue;
                }
                ResourceVector free = worker->capacity;
                if (const auto used = cell->audit.used.find(id); used != cell->audit.used.end()) {
                    free.subtract(used->second);
                }
                for (; rooms < 2 && free.fits(demand); ++rooms) {
                    free.subtract(demand);
                }
            }
        }
        return rooms;
    }

    std::map<TaskName, TimePoint> m_roomSince; ///< Zero for a task that runs or has no such room.
};

} // namespace firefly
