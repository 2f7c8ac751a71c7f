#include "fakes/FleetWorld.h"
#include "fakes/SingleTaskJobs.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 5;
constexpr std::int64_t Demand = 5000; ///< Fits a worker only alone.
/// Time within which a task has to start in another cell that has room.
constexpr Duration MaxCrossing = 3s;

void submit(CellWorld &cell, const std::string &id)
{
    cell.submit(JobId(id), makeLongRunning(1, Demand));
}

// Guards against a long-running task that stays down while another cell gives its free room to
// tasks that were displaced later.
TEST(LongRunningTaskOrderOverCells, ThePieceOfAnotherCellGoesToTheTaskThatHasWaitedLongest)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, 2);
        world.run(500ms);
        submit(world.cell(0), "first");
        submit(world.cell(0), "beside");
        submit(world.cell(1), "second");
        submit(world.cell(1), "blocker");
        world.run(1s);
        displace(world.cell(0), "first");
        world.run(4s);
        displace(world.cell(1), "second");
        world.run(1s);
        ASSERT_EQ(world.countRuns(taskOf("first")), 0U);
        ASSERT_EQ(world.countRuns(taskOf("second")), 0U);
        cancel(world.cell(1), "blocker");
        world.run(MaxCrossing);
        EXPECT_EQ(world.countRuns(taskOf("first")), 1U) << "seed " << seed;
        EXPECT_EQ(world.countRuns(taskOf("second")), 0U) << "seed " << seed;
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
