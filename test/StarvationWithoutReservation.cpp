#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

// The members of a long-running gang are long-running tasks as well.
TEST(StarvationWithoutReservation, AGangOfADrainedWorkerRunsAgainBesideABacklogOfSmallTasks)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        CellWorld world(seed, 3);
        world.workers.at("w0")->capacity = {12000, 64000, 0};
        world.replaceOwner(world.now);
        world.run(500ms);
        JobSpec gang = makeLongRunning(2, 6000);
        gang.steps.front().isGang = true;
        world.submit(JobId("gang"), gang);
        world.run(1s);
        JobSpec batch = makeChain(1, 200);
        batch.steps.front().demand.milliCpu = 2000;
        world.submit(JobId("batch"), batch);
        runWithVariedWork(world, 2s);
        ASSERT_TRUE(isRunning(world, {JobId("gang"), 0, 0, 0}));
        ASSERT_TRUE(isRunning(world, {JobId("gang"), 0, 0, 1}));
        for (auto &[id, worker] : world.workers) {
            if (!isRunningOn(world, {JobId("gang"), 0, 0, 0}, id)) {
                continue;
            }
            drain(world, id);
        }
        runWithVariedWork(world, MaxDowntime);
        EXPECT_FALSE(world.isFinished(JobId("batch")));
        EXPECT_TRUE(isRunning(world, {JobId("gang"), 0, 0, 0})) << "seed " << seed;
    }
}

// A large batch task of the first priority must not starve beside smaller ones of the next.
TEST(StarvationWithoutReservation, ALargeBatchTaskRunsBesideABacklogOfSmallTasks)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        CellWorld world(seed, 3);
        world.run(500ms);
        JobSpec backlog = makeChain(1, 400);
        backlog.steps.front().demand.milliCpu = 2000;
        world.submit(JobId("backlog"), backlog);
        runWithVariedWork(world, 2s);
        JobSpec large = makeChain(1, 1);
        large.steps.front().demand.milliCpu = 8000;
        large.policy.priority = 0;
        world.submit(JobId("big"), large);
        runWithVariedWork(world, 15s);
        EXPECT_FALSE(world.isFinished(JobId("backlog")));
        EXPECT_TRUE(world.isFinished(JobId("big"))) << "seed " << seed;
    }
}

// Best-effort tasks must not keep the memory that a displaced long-running task needs.
TEST(StarvationWithoutReservation, FillersMakeWayForATaskOfADrainedWorker)
{
    CellWorld world(1, 3);
    world.run(500ms);
    JobSpec displaced = makeLongRunning(1, 3000);
    displaced.steps.front().demand.memoryMb = 40000;
    world.submit(JobId("displaced"), displaced);
    world.run(500ms);
    JobSpec fillers = makeChain(1, 6);
    fillers.steps.front().demand = {500, 30000, 0};
    fillers.steps.front().isFiller = true;
    fillers.steps.front().estimateMs = 60000;
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 60s;
    }
    world.submit(JobId("fillers"), fillers);
    world.run(1s);
    for (auto &[id, worker] : world.workers) {
        ASSERT_FALSE(worker->isIdle());
    }
    for (auto &[id, worker] : world.workers) {
        if (isRunningOn(world, {JobId("displaced"), 0, 0, 0}, id)) {
            drain(world, id);
        }
    }
    world.run(MaxDowntime);
    EXPECT_TRUE(isRunning(world, {JobId("displaced"), 0, 0, 0}));
}

} // namespace
} // namespace firefly
