#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

// A task whose worker drains must run again although each other worker has only a part of its
// demand free: all workers together have room, so other tasks have to move.
TEST(LongRunningTaskRestart, ATaskOfADrainedWorkerRunsAgainInAFragmentedCell)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        CellWorld world(seed, 4);
        world.workers.at("w0")->capacity = {5000, 64000, 0};
        world.replaceOwner(world.now);
        world.run(500ms);
        world.submit(JobId("displaced"), makeSpreadLongRunning(1, 5000));
        world.run(1s);
        fillEvenly(world);
        ASSERT_FALSE(world.workers.at("w0")->isIdle());
        drain(world, "w0");
        world.run(MaxDowntime);
        EXPECT_TRUE(isRunning(world, {JobId("displaced"), 0, 0, 0})) << "seed " << seed;
        for (std::uint32_t i = 0; i < 3; ++i) {
            EXPECT_TRUE(isRunning(world, {JobId("large"), 0, 0, i})) << "seed " << seed;
            EXPECT_TRUE(isRunning(world, {JobId("small" + std::to_string(i)), 0, 0, 0}))
                << "seed " << seed;
        }
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
    }
}

// A task whose worker drains must run again although smaller batch tasks wait for every piece of
// capacity that becomes free.
TEST(LongRunningTaskRestart, ATaskOfADrainedWorkerRunsAgainBesideABacklogOfSmallTasks)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        CellWorld world(seed, 3);
        world.workers.at("w0")->capacity = {6000, 64000, 0};
        world.replaceOwner(world.now);
        world.run(500ms);
        world.submit(JobId("displaced"), makeSpreadLongRunning(1, 6000));
        world.run(1s);
        JobSpec batch = makeChain(1, 100);
        batch.steps.front().demand.milliCpu = 2000;
        world.submit(JobId("batch"), batch);
        runWithVariedWork(world, 2s);
        ASSERT_FALSE(world.workers.at("w0")->isIdle());
        drain(world, "w0");
        runWithVariedWork(world, MaxDowntime);
        EXPECT_FALSE(world.isFinished(JobId("batch")));
        EXPECT_TRUE(isRunning(world, {JobId("displaced"), 0, 0, 0})) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
    }
}

} // namespace
} // namespace firefly
