#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// Longest time that the platform tolerates without a run of a long-running task.
constexpr Duration MaxDowntime = 6s;

/// A job of \a count long-running tasks, each on a worker of its own.
JobSpec makeLongRunning(std::uint32_t count, std::int64_t milliCpu)
{
    JobSpec spec = makeChain(1, count);
    spec.steps.front().demand = {milliCpu, 100, 0};
    spec.steps.front().isLongRunning = true;
    spec.steps.front().maxPerWorker = 1;
    return spec;
}

bool isRunning(const CellWorld &world, const TaskName &task)
{
    const auto it = world.audit.runningOn.find(task);
    return it != world.audit.runningOn.end() && !it->second.empty();
}

void drain(CellWorld &world, const std::string &worker)
{
    world.workers.at(worker)->isDraining = true;
    world.owner->onWorkerListed(world.workers.at(worker)->describe(), world.now);
}

/// Leaves 3000 free on each of w1, w2 and w3, beside a large and a small long-running task.
void fillEvenly(CellWorld &world)
{
    world.submit(JobId("large"), makeLongRunning(3, 3000));
    // Batch tasks that take the room of a second small task on each worker, for two seconds.
    JobSpec blocker = makeChain(1, 3);
    blocker.steps.front().demand.milliCpu = 3000;
    blocker.steps.front().maxPerWorker = 1;
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 2s;
    }
    world.submit(JobId("blocker"), blocker);
    world.run(500ms);
    for (int i = 0; i < 3; ++i) {
        world.submit(JobId("small" + std::to_string(i)), makeLongRunning(1, 2000));
    }
    world.run(3s);
    ASSERT_TRUE(world.isFinished(JobId("blocker")));
}

/// Advances the simulated time by \a span; batch tasks that start meanwhile end one by one.
void runWithVariedWork(CellWorld &world, Duration span)
{
    constexpr Duration Slice = 20ms;
    std::uniform_int_distribution<int> workMs(500, 1500);
    for (const TimePoint end = world.now + span; world.now < end;) {
        for (auto &[id, worker] : world.workers) {
            worker->workTime = std::chrono::milliseconds(workMs(world.random));
        }
        world.run(Slice);
    }
}

// A task whose worker drains must run again although each other worker has only a part of its
// demand free: all workers together have room, so other tasks have to move.
TEST(LongRunningTaskRestart, ATaskOfADrainedWorkerRunsAgainInAFragmentedCell)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        CellWorld world(seed, 4);
        world.workers.at("w0")->capacity = {5000, 64000, 0};
        world.replaceOwner(world.now);
        world.run(500ms);
        world.submit(JobId("displaced"), makeLongRunning(1, 5000));
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
        world.submit(JobId("displaced"), makeLongRunning(1, 6000));
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
