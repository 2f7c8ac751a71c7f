#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

#include <functional>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;

void cancel(CellWorld &world, const JobId &job)
{
    ASSERT_TRUE(world.owner->cancel(job, world.now, world.unixMs(), [](auto) {}));
}

bool runWhile(CellWorld &world, Duration limit, const std::function<bool()> &isPending)
{
    for (const TimePoint end = world.now + limit; world.now < end && isPending();) {
        world.step();
    }
    return !isPending();
}

// The next owner reads of a job that has not ended and would restart what was stopped.
TEST(FinalStateBeforeDurable, TheOtherTasksRunUntilAFailureIsStored)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 2);
        world.run(500ms);
        JobSpec spec = makeChain(1, 2);
        spec.policy.maxAttempts = 1;
        spec.steps.front().maxPerWorker = 1;
        world.workers.at("w0")->hasFailingRuns = true;
        world.workers.at("w1")->workTime = 30s;
        const JobId job("job");
        world.submit(job, spec);
        const auto runningTasks = [&world] { return world.workers.at("w1")->runningTasks(); };
        ASSERT_TRUE(runWhile(world, 400ms, [&] { return runningTasks().empty(); }));
        world.isStoreDown = true;
        world.run(5s);
        EXPECT_EQ(runningTasks().size(), 1U) << "seed " << seed;
        EXPECT_NE(world.owner->stateOf(job), JobState::Failed) << "seed " << seed;
        world.isStoreDown = false;
        world.run(1s);
        EXPECT_TRUE(runningTasks().empty()) << "seed " << seed;
        EXPECT_EQ(world.owner->stateOf(job), JobState::Failed) << "seed " << seed;
    }
}

TEST(FinalStateBeforeDurable, ARunThatIsReportedAfterTheCancelGoesOnUntilItIsStored)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 4);
        world.run(500ms);
        const TaskName task{JobId("long"), 0, 0, 0};
        world.submit(task.job, makeLongRunning(1, 3000));
        world.run(1s);
        ASSERT_TRUE(isRunning(world, task));
        world.isStoreDown = true;
        world.replaceOwner(world.now + 9s);
        cancel(world, task.job);
        world.run(3s);
        EXPECT_TRUE(isRunning(world, task)) << "seed " << seed;
        world.isStoreDown = false;
        world.run(1s);
        EXPECT_FALSE(isRunning(world, task)) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// A task whose start is accepted after the cancel neither starts again nor outlives its storing.
TEST(FinalStateBeforeDurable, ACancelBesideAStartStopsTheRunOnceItIsStored)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 4);
        world.run(500ms);
        const TaskName task{JobId("long"), 0, 0, 0};
        world.submit(task.job, makeLongRunning(1, 3000));
        ASSERT_TRUE(runWhile(world, 1s, [&world] { return world.starts == 0; }));
        world.isStoreDown = true;
        cancel(world, task.job);
        world.run(3s);
        EXPECT_TRUE(isRunning(world, task)) << "seed " << seed;
        world.isStoreDown = false;
        world.run(1s);
        EXPECT_FALSE(isRunning(world, task)) << "seed " << seed;
        EXPECT_EQ(world.starts, 1U) << "seed " << seed;
    }
}

TEST(FinalStateBeforeDurable, AJobWithARunIsShownAsRunningUntilItsEndIsStored)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 4);
        world.run(500ms);
        const JobId canceled("canceled");
        const JobId completed("completed");
        world.submit(canceled, makeLongRunning(1, 3000));
        world.submit(completed, makeChain(1, 1));
        world.run(200ms);
        EXPECT_EQ(world.owner->stateOf(canceled), JobState::Running) << "seed " << seed;
        EXPECT_EQ(world.owner->stateOf(completed), JobState::Running) << "seed " << seed;
        world.isStoreDown = true;
        cancel(world, canceled);
        world.run(2s);
        EXPECT_EQ(world.owner->stateOf(canceled), JobState::Running) << "seed " << seed;
        EXPECT_EQ(world.owner->stateOf(completed), JobState::Running) << "seed " << seed;
        world.isStoreDown = false;
        world.run(1s);
        EXPECT_EQ(world.owner->stateOf(canceled), JobState::Canceled) << "seed " << seed;
        EXPECT_EQ(world.owner->stateOf(completed), JobState::Completed) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
