#include "fakes/SingleTaskJobs.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 5;
constexpr std::int64_t WholeWorker = 8000;
/// Time for orders, their answers and a report.
constexpr Duration StartTime = 300ms;

JobSpec makeBatch(std::int64_t milliCpu, std::uint32_t maxAttempts, std::uint32_t width = 1)
{
    JobSpec spec = makeChain(1, width);
    spec.steps.front().demand.milliCpu = milliCpu;
    spec.policy.maxAttempts = maxAttempts;
    return spec;
}

/// Submits a job of one task that fails on every worker.
void submitFailing(CellWorld &world, const std::string &id, std::uint32_t maxAttempts)
{
    for (auto &[name, worker] : world.workers) {
        worker->failingJobs.insert(id);
    }
    world.submit(JobId(id), makeBatch(1000, maxAttempts));
}

void setWorkTime(CellWorld &world, Duration workTime)
{
    for (auto &[id, worker] : world.workers) {
        worker->workTime = workTime;
    }
}

std::ptrdiff_t countStartsOn(const CellWorld &world, const std::string &worker)
{
    std::ptrdiff_t count = 0;
    for (const auto &[task, workers] : world.audit.startedOn) {
        count += std::ranges::count(workers, worker);
    }
    return count;
}

// Guards against a worker that takes no tasks as one task fails there again and again.
TEST(FailingTasks, TheWorkerOfATaskThatFailsAgainTakesOtherTasks)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 1);
        setWorkTime(world, 30ms);
        world.run(500ms);
        submitFailing(world, "failing", 10);
        world.run(1s);
        ASSERT_GE(countStartsOn(world, "w0"), 2) << "seed " << seed;
        world.submit(JobId("sound"), makeLongRunning(1, 5000));
        world.run(StartTime);
        EXPECT_TRUE(isRunning(world, taskOf("sound"))) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// Guards against workers that take no tasks as jobs that fail everywhere have passed by.
TEST(FailingTasks, WorkersOfJobsThatFailEverywhereTakeOtherTasks)
{
    constexpr int WorkerCount = 4;
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, WorkerCount);
        setWorkTime(world, 30ms);
        world.run(500ms);
        for (int i = 0; i < 2 * WorkerCount; ++i) {
            submitFailing(world, "failing" + std::to_string(i), 6);
        }
        world.run(600ms);
        world.submit(JobId("sound"), makeSpreadLongRunning(WorkerCount, 5000));
        world.run(StartTime);
        for (std::uint32_t i = 0; i < WorkerCount; ++i) {
            EXPECT_TRUE(isRunning(world, {JobId("sound"), 0, 0, i})) << "seed " << seed;
        }
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// Guards against a job that fails though another worker would run it.
TEST(FailingTasks, ATaskPrefersAWorkerOnWhichItHasNotFailed)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 2);
        setWorkTime(world, 30ms);
        world.workers.at("w0")->hasFailingRuns = true;
        world.run(500ms);
        world.submit(JobId("single"), makeBatch(1000, 2));
        world.run(1s);
        ASSERT_EQ(countStartsOn(world, "w0"), 1) << "seed " << seed;
        EXPECT_EQ(world.owner->stateOf(JobId("single")), JobState::Completed) << "seed " << seed;
        world.submit(JobId("wide"), makeBatch(1000, 2, 40));
        world.run(5s);
        EXPECT_EQ(world.owner->stateOf(JobId("wide")), JobState::Completed) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// Guards against a task that uses up its attempts on a failing worker, the only one with room.
TEST(FailingTasks, RepeatedFailuresOnOneWorkerAreSpacedOut)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 2);
        setWorkTime(world, 30ms);
        world.run(500ms);
        world.submit(JobId("blocker0"), makeLongRunning(1, WholeWorker));
        world.submit(JobId("blocker1"), makeLongRunning(1, WholeWorker));
        world.run(1s);
        const std::string failing = workerOf(world, "blocker0");
        world.workers.at(failing)->hasFailingRuns = true;
        world.submit(JobId("task"), makeBatch(WholeWorker, 4));
        cancel(world, "blocker0");
        world.run(2s);
        ASSERT_GE(countStartsOn(world, failing), 2) << "seed " << seed;
        cancel(world, "blocker1");
        world.run(2s);
        EXPECT_EQ(world.owner->stateOf(JobId("task")), JobState::Completed) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// Guards against a worker that gets one task after another though it fails all of them.
TEST(FailingTasks, AWorkerThatFailsTheTasksOfDifferentJobsIsPaused)
{
    constexpr int JobCount = 10;
    // After the second, third and fourth failure a pause of 1, 2 and 4 s.
    constexpr std::ptrdiff_t MaxStarts = 4;
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 2);
        setWorkTime(world, 30ms);
        world.run(500ms);
        world.submit(JobId("blocker0"), makeLongRunning(1, WholeWorker));
        world.submit(JobId("blocker1"), makeLongRunning(1, WholeWorker));
        world.run(1s);
        const std::string failing = workerOf(world, "blocker0");
        world.workers.at(failing)->hasFailingRuns = true;
        for (int i = 0; i < JobCount; ++i) {
            world.submit(JobId("task" + std::to_string(i)), makeBatch(WholeWorker, 4));
        }
        const std::ptrdiff_t before = countStartsOn(world, failing);
        cancel(world, "blocker0");
        world.run(5s);
        EXPECT_GE(countStartsOn(world, failing) - before, 2) << "seed " << seed;
        EXPECT_LE(countStartsOn(world, failing) - before, MaxStarts) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// Guards against tasks of other cells that are sent to a worker that takes none.
TEST(FailingTasks, APausedWorkerIsNotOfferedToOtherCells)
{
    CellWorld world(1, 1);
    setWorkTime(world, 30ms);
    world.run(500ms);
    ASSERT_TRUE(world.owner->roomByService().contains("svc"));
    submitFailing(world, "failing0", 4);
    submitFailing(world, "failing1", 4);
    world.run(StartTime);
    EXPECT_FALSE(world.owner->roomByService().contains("svc"));
}

} // namespace
} // namespace firefly
