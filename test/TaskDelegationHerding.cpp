#include "fakes/FleetWorld.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr int WorkerCount = 4; ///< Of each cell.
constexpr std::uint32_t SeedCount = 5;
constexpr std::int64_t LargeDemand = 7000; ///< Fits a worker only alone.

/// Submits \a count large tasks to \a cell, each on a worker of its own.
void submitLarge(FleetWorld &world, int cell, const std::string &id, std::uint32_t count)
{
    world.cell(cell).submit(JobId(id), makeSpreadLongRunning(count, LargeDemand));
}

/// Number of tasks of the job \a id that run, in all cells.
std::size_t countRuns(const FleetWorld &world, const std::string &id, std::uint32_t taskCount)
{
    std::size_t count = 0;
    for (std::uint32_t i = 0; i < taskCount; ++i) {
        count += world.countRuns({JobId(id), 0, 0, i});
    }
    return count;
}

// Two homes that are displaced at once choose the same guest, and one task stays there without
// room.
TEST(TaskDelegationHerding, TwoHomesDoNotGiveTheSamePieceAway)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 4, WorkerCount);
        world.run(500ms);
        submitLarge(world, 0, "long0", WorkerCount);
        submitLarge(world, 1, "long1", WorkerCount);
        submitLarge(world, 2, "other2", 3);
        submitLarge(world, 3, "other3", 3);
        world.cell(3).submit(JobId("small3"), makeLongRunning(1, 500));
        world.run(1s);
        drain(world.cell(0), "w0");
        drain(world.cell(1), "w0");
        world.run(3 * MaxDowntime);
        EXPECT_EQ(countRuns(world, "long0", WorkerCount) + countRuns(world, "long1", WorkerCount),
                  2U * WorkerCount)
            << "cells 2 and 3 had a worker each, seed " << seed;
    }
}

} // namespace
} // namespace firefly
