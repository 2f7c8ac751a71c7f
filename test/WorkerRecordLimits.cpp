#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

#include <string>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;

/// Longest validity of the leases of an owner that has resigned.
constexpr Duration LeasesAfterResignation = 5600ms;

const TaskName Standing{JobId("standing"), 0, 0, 0};

std::string startTask(CellWorld &world)
{
    world.run(500ms);
    world.submit(Standing.job, makeLongRunning(1, 3000));
    world.run(1s);
    return *world.audit.runningOn.at(Standing).begin();
}

// A short silence during a store outage must not end the tasks of a worker that answers again: its
// lease was not extended as long as the limit, which never left the owner, couldn't be lifted.
TEST(WorkerRecordLimits, ATaskOutlivesAShortSilenceDuringAStoreOutage)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed);
        const std::string worker = startTask(world);
        world.isStoreDown = true;
        world.workers.at(worker)->isReachable = false;
        world.run(2500ms);
        world.workers.at(worker)->isReachable = true;
        world.run(4s);
        EXPECT_TRUE(isRunning(world, Standing)) << "seed " << seed;
        world.isStoreDown = false;
        world.run(3s);
        EXPECT_EQ(world.audit.runs.at(Standing).size(), 1U) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// A short silence of an idle worker during a store outage must not make it unusable until the store
// is back: its record, whose deletion never left the owner, still tells the next owner of it.
TEST(WorkerRecordLimits, AnIdleWorkerStaysUsableAfterAShortSilenceDuringAStoreOutage)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed);
        const std::string idle = startTask(world) == "w0" ? "w1" : "w0";
        world.isStoreDown = true;
        world.workers.at(idle)->isReachable = false;
        world.run(4s);
        world.workers.at(idle)->isReachable = true;
        world.run(2s);
        ASSERT_EQ(world.owner->state().workers.at(idle)->renewFailures, 0U) << "seed " << seed;
        EXPECT_TRUE(world.owner->state().workers.at(idle)->isUsable()) << "seed " << seed;
    }
}

// Renewals of a worker whose limit can't be lifted carry no long poll and followed each other
// closely.
TEST(WorkerRecordLimits, AWorkerIsNotPolledContinuouslyDuringAStoreOutage)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 20);
        world.run(500ms);
        world.submit(Standing.job, makeSpreadLongRunning(20, 3000));
        world.run(1s);
        world.isStoreDown = true;
        for (auto &[id, it] : world.workers) {
            it->isReachable = false;
        }
        world.run(2500ms);
        for (auto &[id, it] : world.workers) {
            it->isReachable = true;
        }
        world.run(500ms);
        const std::uint64_t before = world.reports;
        world.run(1s);
        // An occupied worker is asked once a second.
        EXPECT_LE(world.reports - before, 2 * world.workers.size()) << "seed " << seed;
    }
}

// Owners that are lost 3.8 s after one another, each replaced 2.5 s later: the lease of a dark
// worker must be waited for once, not by each of them.
TEST(WorkerRecordLimits, ALeaseIsWaitedForOnceOverLostOwners)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed);
        const std::string worker = startTask(world);
        FakeCellWorker &lost = *world.workers.at(worker);
        lost.crash(world.now);
        lost.isReachable = false;
        world.run(2500ms); // The record says how much of the lease is left.
        for (int i = 0; i < 5; ++i) {
            world.loseOwner(2500ms);
            world.run(3800ms);
        }
        EXPECT_TRUE(isRunning(world, Standing)) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// The same over planned changes of owner.
TEST(WorkerRecordLimits, ALeaseIsWaitedForOnceOverResigningOwners)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed);
        const std::string worker = startTask(world);
        FakeCellWorker &lost = *world.workers.at(worker);
        lost.crash(world.now);
        lost.isReachable = false;
        world.run(2500ms);
        for (int i = 0; i < 8; ++i) {
            world.replaceOwner(world.now + LeasesAfterResignation);
            world.run(1400ms);
        }
        EXPECT_TRUE(isRunning(world, Standing)) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// A dark worker that is still listed runs nothing, as its record says.  The record that each new
// owner puts for it before the first answer let the next owner wait with all tasks of the cell.
TEST(WorkerRecordLimits, AListedWorkerThatNeverAnsweredHoldsBackNothing)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed);
        const std::string worker = startTask(world);
        const std::string dark = worker == "w0" ? "w1" : "w0";
        world.workers.at(dark)->crash(world.now);
        world.workers.at(dark)->isReachable = false;
        world.run(9s);
        ASSERT_FALSE(world.store.contains(JobRecords::workerKey(dark))) << "seed " << seed;
        world.replaceOwner(world.now + LeasesAfterResignation);
        world.run(500ms);
        drain(world, worker);
        while (isRunning(world, Standing)) {
            world.step();
        }
        world.replaceOwner(world.now + LeasesAfterResignation);
        world.run(500ms);
        EXPECT_TRUE(isRunning(world, Standing)) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// The record of a draining worker without a task that has ended there was stored before the end of
// the task, if it took the place of one that waited in front of a full batch.  The next owner then
// starts the task again though the worker lists the end.
TEST(WorkerRecordLimits, ARecordIsNotStoredBeforeTheEndOfATaskThatItNoLongerLists)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed);
        const JobId batch("batch");
        const TaskName ended{batch, 0, 0, 0};
        const std::string worker = startTask(world);
        // The other task keeps the record of the worker.
        for (auto &[id, it] : world.workers) {
            it->isDraining = id != worker;
            world.owner->onWorkerListed(it->describe(), world.now);
        }
        world.run(500ms);
        world.workers.at(worker)->workTime = 1500ms;
        world.submit(batch, makeChain(1, 1));
        world.run(500ms);
        ASSERT_TRUE(isRunningOn(world, ended, worker)) << "seed " << seed;

        world.storeFaults.minDelay = world.storeFaults.maxDelay = 1200ms;
        JobSpec large = makeChain(1, 1);
        large.payload.assign(CellJournal::MaxBatchBytes, 'x');
        world.submit(JobId("first"), large); // In flight until the end of the task is reported.
        world.run(50ms);
        FakeCellWorker &draining = *world.workers.at(worker);
        draining.isDraining = true;
        WorkerDescription info = draining.describe();
        info.remaining = 120s;
        world.owner->onWorkerListed(info, world.now);
        world.submit(JobId("second"), large);
        while (world.audit.done[ended].empty()) {
            world.step();
        }
        // The owner is lost with the end of the task in its next batch.
        while (!world.store.contains(JobRecords::specKey(JobId("second")))) {
            world.step();
        }
        draining.isReachable = false;
        world.storeFaults = {};
        for (auto &[id, it] : world.workers) {
            it->isDraining = id == worker;
        }
        world.replaceOwner(world.now + LeasesAfterResignation);
        world.run(1s);
        draining.isReachable = true;
        world.run(10s);
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// An idle worker that left the platform's list during a change of owner held back all tasks of the
// cell at the next change, though the owner between had heard that it runs nothing.
TEST(WorkerRecordLimits, AnIdleWorkerThatTheOwnerNeverSawListedHoldsBackNothing)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed);
        const std::string worker = startTask(world);
        const std::string leaving = worker == "w0" ? "w1" : "w0";
        world.workers.at(leaving)->isRegistered = false;
        world.replaceOwner(world.now + LeasesAfterResignation);
        world.run(1s);
        ASSERT_TRUE(world.owner->state().workers.at(leaving)->hasListedAllEnds) << "seed " << seed;
        world.workers.at(leaving)->crash(world.now);
        world.workers.at(leaving)->isReachable = false;
        drain(world, worker);
        while (isRunning(world, Standing)) {
            world.step();
        }
        world.replaceOwner(world.now + LeasesAfterResignation);
        world.run(500ms);
        EXPECT_TRUE(isRunning(world, Standing)) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

/// Leaves \a worker as the only one that takes tasks until the start of another job is sent to it,
/// which is lost.
void startUnanswered(CellWorld &world, const std::string &worker)
{
    const auto setOthersDraining = [&](bool isDraining) {
        for (auto &[id, it] : world.workers) {
            it->isDraining = isDraining && id != worker;
            world.owner->onWorkerListed(it->describe(), world.now);
        }
    };
    setOthersDraining(true);
    world.submit(JobId("other"), makeChain(1, 1));
    const auto starts = world.starts;
    while (world.starts == starts) {
        world.lateOrderFraction = world.accepted.contains("other") ? 1.0 : 0.0;
        world.step();
    }
    world.lateOrderFraction = 0.0;
    setOthersDraining(false);
}

// A running task must not wait, over a change of owner, for the unanswered start of another one on
// its crashed worker: the record named one end for both.
TEST(WorkerRecordLimits, ALostTaskDoesNotWaitForTheUnansweredStartOfAnother)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 2);
        const std::string worker = startTask(world);
        startUnanswered(world, worker);
        world.workers.at(worker)->crash(world.now);
        world.workers.at(worker)->isReachable = false;
        const TimePoint crashedAt = world.now;
        world.run(2800ms);
        world.replaceOwner(world.now + LeasesAfterResignation);
        world.run(1700ms);
        world.workers.at(worker)->isRegistered = false;
        world.owner->onWorkerGone(WorkerId(worker), world.now);
        world.run(crashedAt + MaxDowntime - world.now);
        EXPECT_TRUE(isRunning(world, Standing)) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// An owner must not end with a crash when a silent worker with an unanswered start of an earlier
// owner is listed again: its record had been dropped with its lease, as it wasn't listed then.
TEST(WorkerRecordLimits, AWorkerMayBeListedAgainAfterItsRecordWasDropped)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 3);
        startTask(world);
        startUnanswered(world, "w0");
        world.workers.at("w0")->isReachable = false;
        world.run(2800ms);
        world.workers.at("w2")->isReachable = false; // Keeps the next owner locating.
        world.replaceOwner(world.now + LeasesAfterResignation);
        world.run(200ms);
        world.workers.at("w0")->isRegistered = false;
        world.owner->onWorkerGone(WorkerId("w0"), world.now);
        while (world.owner->state().workers.at("w0")->record) {
            world.step();
        }
        world.workers.at("w0")->isRegistered = true;
        world.owner->onWorkerListed(world.workers.at("w0")->describe(), world.now);
        world.run(200ms);
        EXPECT_TRUE(world.owner->state().isLocating) << "seed " << seed;
        world.run(8s);
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
