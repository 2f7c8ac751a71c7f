#include "fakes/LongRunningTasks.h"
#include "Workload/JobRecords.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 50;
constexpr std::int64_t LargeDemand = 7000; ///< Fits a worker only alone.
constexpr Duration LongWork = 30s;

/// A job of \a count batch tasks, each on a worker of its own.
JobSpec makeLargeBatch(std::uint32_t count)
{
    JobSpec spec = makeChain(1, count);
    spec.policy.maxAttempts = 1;
    spec.steps.front().demand.milliCpu = LargeDemand;
    return spec;
}

/// Replaces the owner as soon as the store holds \a state of \a job.
void replaceOwnerOnceStored(CellWorld &world, const JobId &job, JobState state)
{
    const auto isStored = [&] {
        const auto it = world.store.find(JobRecords::progressKey(job));
        return it != world.store.end() && JobRecords::decodeProgress(it->second).state == state;
    };
    for (const TimePoint end = world.now + 5s; !isStored();) {
        ASSERT_LT(world.now, end);
        world.step();
    }
    world.replaceOwner(world.now + 9s);
}

TEST(EndedJobAfterOwnerChange, ARunOfACancelledScheduledJobOccupiesItsWorker)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 1);
        world.workers.at("w0")->workTime = LongWork;
        world.run(500ms);
        JobSpec spec = makeLargeBatch(1);
        spec.repetitions = 2;
        spec.startAtUnixMs = world.unixMs();
        spec.intervalMs = 60'000;
        const JobId job("scheduled");
        world.submit(job, spec);
        world.run(2s);
        ASSERT_TRUE(isRunning(world, {job, 0, 0, 0}));
        world.submit(JobId("next"), makeLongRunning(1, LargeDemand));
        world.run(200ms);
        ASSERT_TRUE(world.owner->cancel(job, world.now, world.unixMs(), [](auto) {}));
        replaceOwnerOnceStored(world, job, JobState::Canceled);
        world.run(3s);
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
        EXPECT_FALSE(isRunning(world, {job, 0, 0, 0})) << "seed " << seed;
        EXPECT_TRUE(isRunning(world, {JobId("next"), 0, 0, 0})) << "seed " << seed;
    }
}

TEST(EndedJobAfterOwnerChange, ARunOfAFailedJobOccupiesItsWorker)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 2);
        world.workers.at("w0")->hasFailingRuns = true;
        world.workers.at("w1")->workTime = LongWork;
        world.run(500ms);
        const JobId job("failing");
        world.submit(job, makeLargeBatch(2));
        world.run(200ms);
        ASSERT_EQ(world.workers.at("w1")->runningTasks().size(), 1U);
        world.submit(JobId("next"), makeLongRunning(2, LargeDemand));
        replaceOwnerOnceStored(world, job, JobState::Failed);
        world.run(3s);
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
        EXPECT_TRUE(isRunning(world, {JobId("next"), 0, 0, 0})) << "seed " << seed;
        EXPECT_TRUE(isRunning(world, {JobId("next"), 0, 0, 1})) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
