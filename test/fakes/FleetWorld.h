#pragma once

#include "fakes/CellWorld.h"
#include "fakes/LongRunningTasks.h"

#include <memory>
#include <vector>

namespace firefly {

/// Simulation of several cells that advance together, each with workers and a store of its own.
class FleetWorld
{
public:
    FleetWorld(std::uint32_t seed, int cellCount, int workersPerCell)
    {
        for (int i = 0; i < cellCount; ++i) {
            cells.push_back(std::make_unique<CellWorld>(seed * static_cast<std::uint32_t>(cellCount)
                                                            + static_cast<std::uint32_t>(i),
                                                        workersPerCell));
        }
    }

    CellWorld &cell(int i) { return *cells.at(static_cast<std::size_t>(i)); }

    /// Advances the simulated time of all cells by \a span.
    void run(Duration span)
    {
        const TimePoint end = cell(0).now + span;
        while (cell(0).now < end) {
            for (const auto &it : cells) {
                it->step();
            }
        }
    }

    /// Number of workers, of all cells, on which \a task runs.
    std::size_t countRuns(const TaskName &task) const
    {
        std::size_t count = 0;
        for (const auto &it : cells) {
            const auto found = it->audit.runningOn.find(task);
            count += found == it->audit.runningOn.end() ? 0 : found->second.size();
        }
        return count;
    }

    std::vector<std::unique_ptr<CellWorld>> cells;
};

} // namespace firefly
