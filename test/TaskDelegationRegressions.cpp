#include "fakes/FleetWorld.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr int Home = 0;
constexpr int WorkerCount = 4; ///< Of each cell.
constexpr std::uint32_t SeedCount = 5;
constexpr std::int64_t LargeDemand = 7000; ///< Fits a worker only alone.

void relistWorkers(CellWorld &cell)
{
    for (const auto &[id, worker] : cell.workers) {
        cell.owner->onWorkerListed(worker->describe(), cell.now);
    }
}

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

/// The task of the job \a id that runs on \a worker of \a cell.
TaskName taskOn(const CellWorld &cell, const std::string &id, const std::string &worker)
{
    TaskName task{JobId(id), 0, 0, 0};
    while (!isRunningOn(cell, task, worker) && task.index < WorkerCount) {
        ++task.index;
    }
    return task;
}

TEST(TaskDelegationRegressions, ACellWhoseWorkersAreTooSmallGetsNothing)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 3, WorkerCount);
        for (const auto &[id, worker] : world.cell(1).workers) {
            worker->capacity.memoryMb = 50; // The tasks ask for 100.
        }
        relistWorkers(world.cell(1));
        world.run(500ms);
        submitLarge(world, Home, "long", WorkerCount);
        submitLarge(world, 2, "other", 2);
        world.run(1s);
        ASSERT_EQ(countRuns(world, "long", WorkerCount), WorkerCount);
        drain(world.cell(Home), "w0");
        world.run(3 * MaxDowntime);
        EXPECT_EQ(countRuns(world, "long", WorkerCount), WorkerCount)
            << "cell 2 has two workers without any task, seed " << seed;
    }
}

TEST(TaskDelegationRegressions, IdleWorkersOfAnotherServiceDoNotCountAsRoom)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 3, WorkerCount);
        for (const char *id : {"w2", "w3"}) {
            WorkerDescription worker = world.cell(1).workers.at(id)->describe();
            worker.service = "another";
            world.cell(1).owner->onWorkerListed(worker, world.now());
        }
        world.run(500ms);
        submitLarge(world, Home, "long", WorkerCount);
        submitLarge(world, 1, "other1", 2);
        submitLarge(world, 2, "other2", 3);
        world.run(1s);
        ASSERT_EQ(countRuns(world, "other1", 2), 2U);
        ASSERT_EQ(countRuns(world, "long", WorkerCount), WorkerCount);
        drain(world.cell(Home), "w0");
        world.run(3 * MaxDowntime);
        EXPECT_EQ(countRuns(world, "long", WorkerCount), WorkerCount)
            << "cell 2 has a worker without any task, seed " << seed;
    }
}

TEST(TaskDelegationRegressions, ACellWithoutALargeEnoughPieceGetsNothing)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 3, WorkerCount);
        world.run(500ms);
        submitLarge(world, Home, "long", WorkerCount);
        // One task on each worker, none of which may move beside another.
        world.cell(1).submit(JobId("spread"), makeSpreadLongRunning(WorkerCount, 3000));
        submitLarge(world, 2, "other", 3);
        world.run(1s);
        ASSERT_EQ(countRuns(world, "long", WorkerCount), WorkerCount);
        drain(world.cell(Home), "w0");
        world.run(3 * MaxDowntime);
        EXPECT_EQ(countRuns(world, "long", WorkerCount), WorkerCount)
            << "cell 2 has a worker without any task, seed " << seed;
    }
}

TEST(TaskDelegationRegressions, ATaskThatItsGuestCannotStartRunsWhereRoomAppears)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, WorkerCount);
        world.run(500ms);
        submitLarge(world, Home, "long", WorkerCount);
        world.cell(1).submit(JobId("spread"), makeSpreadLongRunning(WorkerCount, 3000));
        world.run(1s);
        ASSERT_EQ(countRuns(world, "long", WorkerCount), WorkerCount);
        drain(world.cell(Home), "w0");
        world.run(MaxDowntime);
        // The home has the room again that the task ran in.
        world.cell(Home).workers.at("w0")->isDraining = false;
        relistWorkers(world.cell(Home));
        world.run(3 * MaxDowntime);
        EXPECT_EQ(countRuns(world, "long", WorkerCount), WorkerCount) << "seed " << seed;
    }
}

// LOST counts free capacity on any worker of the service, however full its cell is as a whole.
TEST(TaskDelegationRegressions, ATaskOfAFragmentedCellRunsInAFullerCellWithAFreeWorker)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, WorkerCount);
        world.run(500ms);
        submitLarge(world, Home, "long", 1);
        submitLarge(world, 1, "other", 3);
        world.run(500ms);
        world.cell(Home).submit(JobId("spread"), makeSpreadLongRunning(3, 3000));
        world.run(1s);
        const TaskName task{JobId("long"), 0, 0, 0};
        ASSERT_TRUE(isRunning(world.cell(Home), task));
        const std::string worker = *world.cell(Home).audit.runningOn.at(task).begin();
        drain(world.cell(Home), worker);
        world.run(3 * MaxDowntime);
        EXPECT_EQ(world.countRuns(task), 1U)
            << "cell 1 has a worker without any task, seed " << seed;
    }
}

// The client has the acknowledgement, and the home's owner is cut off or replaced before the guest
// hears of it.
TEST(TaskDelegationRegressions, NoTaskStartsSecondsAfterTheCancelWasAcknowledged)
{
    constexpr Duration CancelBound = 3s;
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, WorkerCount);
        world.run(500ms);
        submitLarge(world, Home, "long", WorkerCount);
        world.run(1s);
        const TaskName task = taskOn(world.cell(Home), "long", "w0");
        drain(world.cell(Home), "w0");
        CellWorld &guest = world.cell(1);
        ASSERT_TRUE(world.runUntil([&] { return isRunning(guest, task); }, MaxDowntime));
        world.lostFraction = 1.0;
        bool isAcknowledged = false;
        CellWorld &home = world.cell(Home);
        ASSERT_TRUE(
            home.owner->cancel(task.job, home.now, home.unixMs(), [&](CellScheduler::Verdict it) {
                isAcknowledged = it == CellScheduler::Verdict::Accepted;
            }));
        world.run(CancelBound + 500ms);
        if (!isAcknowledged) {
            continue;
        }
        const std::size_t startCount = guest.audit.runs.at(task).size();
        if (isRunning(guest, task)) {
            drain(guest, *guest.audit.runningOn.at(task).begin());
        }
        world.run(2s);
        EXPECT_EQ(guest.audit.runs.at(task).size(), startCount) << "seed " << seed;
    }
}

// From its second owner on, the home gives a task that has never run a run number above zero.
TEST(TaskDelegationRegressions, AFirstStartInTheGuestHoldsNoOtherFirstStartBack)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, WorkerCount);
        world.run(500ms);
        world.cell(Home).replaceOwner(world.now() + 200ms);
        world.run(1s);
        // Batch tasks of the guest are in the way of the delegated task.
        JobSpec batch = makeChain(1, WorkerCount);
        batch.steps.front().demand.milliCpu = 3000;
        batch.steps.front().maxPerWorker = 1;
        for (const auto &[id, worker] : world.cell(1).workers) {
            worker->workTime = 60s;
        }
        world.cell(1).submit(JobId("batch"), batch);
        world.cell(Home).submit(JobId("long"), makeLongRunning(WorkerCount + 1, LargeDemand));
        ASSERT_TRUE(world.runUntil(
            [&] { return world.cell(1).store.contains(JobRecords::delegationKey(JobId("long"))); },
            10s));
        world.run(100ms);
        world.cell(1).submit(JobId("small"), makeLongRunning(1, 2000));
        world.run(2s);
        EXPECT_TRUE(isRunning(world.cell(1), {JobId("small"), 0, 0, 0})) << "seed " << seed;
    }
}

/// Hands \a delegation to a guest and exits with 0 unless that ends the process.
[[noreturn]] void acceptAndExit(const TaskDelegation &delegation)
{
    CellWorld guest(1, WorkerCount);
    guest.run(500ms);
    try {
        guest.owner->acceptTasks(JobId("long"), JobRecords::encodeDelegation(delegation), guest.now,
                                 guest.unixMs(), [](auto) {});
        guest.run(500ms);
    } catch (const JobRecordError &) { // NOLINT(bugprone-empty-catch): a rejection is fine.
    }
    std::exit(0); // NOLINT(concurrency-mt-unsafe)
}

TEST(TaskDelegationRegressions, ARecordThatNamesATaskTwiceDoesNotEndTheGuest)
{
    TaskDelegation delegation;
    delegation.spec = makeLongRunning(1, 1000);
    TaskProgress row;
    row.guest = 1;
    delegation.tasks = {row, row};
    EXPECT_EXIT(acceptAndExit(delegation), testing::ExitedWithCode(0), "");
}

} // namespace
} // namespace firefly
