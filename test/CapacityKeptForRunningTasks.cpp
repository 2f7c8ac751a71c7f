#include "fakes/FleetWorld.h"
#include "fakes/RoomAudit.h"
#include "fakes/SingleTaskJobs.h"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 5;
constexpr Duration Slice = 20ms;
constexpr std::int64_t Demand = 5000; ///< Fits a worker only alone.
constexpr int LeavingCount = 2;
constexpr Duration StopTime = 900ms;

/// A cell of workers with one task each: "down", and \a count tasks "leaving0" and so on, and as
/// many "blocker0" and so on.
void fill(CellWorld &world, int count)
{
    for (auto &[id, worker] : world.workers) {
        worker->capacity = {Demand, 64000, 0};
    }
    world.replaceOwner(world.now);
    world.run(500ms);
    world.submit(JobId("down"), makeLongRunning(1, Demand));
    for (int i = 0; i < count; ++i) {
        world.submit(JobId("leaving" + std::to_string(i)), makeLongRunning(1, Demand));
        world.submit(JobId("blocker" + std::to_string(i)), makeLongRunning(1, Demand));
    }
    world.run(1s);
}

/// Frees the worker of the blocker \a number, while the worker of the leaving task \a number drains
/// and takes a while to end its run.
void freeOneAndDrainOne(CellWorld &world, const std::string &number)
{
    cancel(world, "blocker" + number);
    const std::string leaving = workerOf(world, "leaving" + number);
    world.workers.at(leaving)->stopTime = StopTime;
    drain(world, leaving);
}

// Guards against a displaced task that stays down while free capacity is kept for tasks that still
// run on workers that leave.
TEST(CapacityKeptForRunningTasks, FreeCapacityGoesToATaskThatIsDownFirst)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 1 + 2 * LeavingCount);
        fill(world, LeavingCount);
        displace(world, "down");
        world.run(3s);
        ASSERT_FALSE(isRunning(world, taskOf("down"))) << "seed " << seed;
        for (int i = 0; i < LeavingCount; ++i) {
            freeOneAndDrainOne(world, std::to_string(i));
        }
        world.run(MaxDowntime - 3s);
        EXPECT_TRUE(isRunning(world, taskOf("down"))) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// Guards against capacity that stands idle beside a displaced task, as each piece that becomes free
// is kept for a task that still runs on a worker that leaves.
TEST(CapacityKeptForRunningTasks, CapacityDoesNotStandIdleWhileWorkersLeaveInTurn)
{
    constexpr int RoundCount = 5;
    constexpr int PiecesPerRound = 2;
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 1 + 2 * PiecesPerRound * RoundCount);
        const std::array<const CellWorld *, 1> cells{&world};
        fill(world, PiecesPerRound * RoundCount);
        displace(world, "down");
        world.run(1s);
        RoomAudit audit;
        for (int round = 0; round < RoundCount; ++round) {
            for (int i = 0; i < PiecesPerRound; ++i) {
                freeOneAndDrainOne(world, std::to_string(PiecesPerRound * round + i));
            }
            for (const TimePoint end = world.now + 800ms; world.now < end;) {
                world.run(Slice);
                audit.observe(cells, world.now);
            }
        }
        EXPECT_LT(audit.longestIdle, RoomAudit::MaxIdleTime) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// Guards against free capacity that is kept for a task that still runs beside a displaced task that
// it doesn't fit, while it would fit a displaced task of another cell.
TEST(CapacityKeptForRunningTasks, FreeCapacityGoesToATaskOfAnotherCellThatIsDown)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, 3);
        CellWorld &home = world.cell(0);
        CellWorld &guest = world.cell(1);
        guest.workers.at("w2")->capacity = {2 * Demand, 64000, 0};
        guest.replaceOwner(guest.now);
        world.run(500ms);
        for (const std::string id : {"down", "beside0", "beside1"}) {
            home.submit(JobId(id), makeLongRunning(1, Demand));
        }
        guest.submit(JobId("large"), makeLongRunning(1, 2 * Demand));
        world.run(500ms);
        guest.submit(JobId("leaving0"), makeLongRunning(1, Demand));
        guest.submit(JobId("blocker0"), makeLongRunning(1, Demand));
        world.run(1s);
        displace(guest, "large");
        displace(home, "down");
        world.run(3s);
        ASSERT_EQ(world.countRuns(taskOf("down")), 0U) << "seed " << seed;
        freeOneAndDrainOne(guest, "0");
        world.run(1s);
        EXPECT_EQ(world.countRuns(taskOf("down")), 1U) << "seed " << seed;
        EXPECT_EQ(world.countRuns(taskOf("leaving0")), 0U) << "seed " << seed;
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

// Guards against capacity that other cells don't know of, though their displaced tasks may take it.
TEST(CapacityKeptForRunningTasks, KeptCapacityIsOfferedToOtherCells)
{
    CellWorld world(1, 3);
    fill(world, 1);
    freeOneAndDrainOne(world, "0");
    world.run(200ms);
    EXPECT_EQ(world.owner->roomByService().at("svc").largestFree.milliCpu, Demand);
}

// Guards against a task that is down after its run on a worker that leaves, as batch tasks have
// taken the free capacity meanwhile.
TEST(CapacityKeptForRunningTasks, ATaskRestartsBesideABacklogIfNoneIsDown)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 3);
        fill(world, 1);
        JobSpec batch = makeChain(1, 20);
        batch.steps.front().demand.milliCpu = Demand;
        for (auto &[id, worker] : world.workers) {
            worker->workTime = 3s;
        }
        freeOneAndDrainOne(world, "0");
        world.run(500ms);
        world.submit(JobId("batch"), batch);
        world.run(StopTime);
        EXPECT_TRUE(isRunning(world, taskOf("leaving0"))) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// Guards against moves of other tasks for one that still runs, which keep capacity that displaced
// tasks can't take.
TEST(CapacityKeptForRunningTasks, NothingMovesForATaskThatStillRunsBesideOneThatIsDown)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed);
        world.run(500ms);
        fillEvenly(world);
        world.submit(JobId("leaving"), makeLongRunning(1, Demand));
        world.run(500ms);
        // No other worker has what the displaced task needs.
        const std::string joined = world.joinWorker(0ms);
        world.workers.at(joined)->capacity.gpus = 1;
        world.run(500ms);
        JobSpec down = makeLongRunning(1, Demand);
        down.steps.front().demand.gpus = 1;
        world.submit(JobId("down"), down);
        world.run(500ms);
        ASSERT_EQ(workerOf(world, "down"), joined) << "seed " << seed;
        drain(world, joined);
        world.run(200ms);
        const std::string leaving = workerOf(world, "leaving");
        ASSERT_FALSE(leaving.empty()) << "seed " << seed;
        world.workers.at(leaving)->stopTime = StopTime;
        drain(world, leaving);
        world.run(StopTime - 200ms);
        EXPECT_EQ(countMoves(world), 0) << "seed " << seed;
        world.run(2s);
        EXPECT_TRUE(isRunning(world, taskOf("leaving"))) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
