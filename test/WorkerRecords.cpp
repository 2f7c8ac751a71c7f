#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

#include <string>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;

const TaskName Standing{JobId("standing"), 0, 0, 0};

std::optional<WorkerRecord> storedRecord(const CellWorld &world, const std::string &worker)
{
    const auto it = world.store.find(JobRecords::workerKey(worker));
    return it == world.store.end() ? std::nullopt
                                   : std::optional(JobRecords::decodeWorker(it->second));
}

std::string startTask(CellWorld &world)
{
    world.run(500ms);
    world.submit(Standing.job, makeLongRunning(1, 3000));
    world.run(500ms);
    return *world.audit.runningOn.at(Standing).begin();
}

TEST(WorkerRecords, ARecordKeepsItsLimits)
{
    const WorkerRecord limited{"10.0.0.1:80", {{Standing, {JobId("batch"), 1, 2, 3}}}, 4200};
    EXPECT_EQ(JobRecords::decodeWorker(JobRecords::encodeWorker(limited)), limited);
    const WorkerRecord anyTask{"10.0.0.1:80", {}, 0};
    EXPECT_EQ(JobRecords::decodeWorker(JobRecords::encodeWorker(anyTask)), anyTask);
    EXPECT_THROW((void)JobRecords::decodeWorker("{\"tasks\":[1]} 10.0.0.1:80"), JobRecordError);
}

// Builds without limits store the address alone, and read a port behind the last colon.
TEST(WorkerRecords, ARecordWithoutLimitsIsTheAddress)
{
    const WorkerRecord open{"10.0.0.1:80", {}, {}};
    EXPECT_EQ(JobRecords::encodeWorker(open), "10.0.0.1:80");
    EXPECT_EQ(JobRecords::decodeWorker("10.0.0.1:80"), open);
    const std::string limited = JobRecords::encodeWorker({"10.0.0.1:80", {{Standing}}, 4200});
    EXPECT_EQ(limited.substr(limited.rfind(':') + 1), "80");
}

// The record of an idle worker that drains made each later owner wait for the worker once it had
// left.
TEST(WorkerRecords, AnIdleDrainingWorkerHasNone)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed);
        const std::string busy = startTask(world);
        const std::string idle = busy == "w0" ? "w1" : "w0";
        ASSERT_TRUE(storedRecord(world, idle)) << "seed " << seed;
        drain(world, idle);
        world.run(200ms);
        EXPECT_FALSE(storedRecord(world, idle)) << "seed " << seed;

        // It may be used again once the store holds a new record.
        world.isStoreDown = true;
        world.workers.at(idle)->isDraining = false;
        world.owner->onWorkerListed(world.workers.at(idle)->describe(), world.now);
        world.run(500ms);
        EXPECT_FALSE(world.owner->state().workers.at(idle)->isRecorded) << "seed " << seed;
        world.isStoreDown = false;
        world.run(500ms);
        EXPECT_TRUE(world.owner->state().workers.at(idle)->isRecorded) << "seed " << seed;
        EXPECT_EQ(storedRecord(world, idle)->tasks, std::nullopt) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// The lease of a silent worker must not grow after the store was told how much of it is left: the
// next owner starts its tasks elsewhere then.
TEST(WorkerRecords, ALimitedLeaseIsNotExtendedBeforeTheLimitIsLifted)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed);
        const std::string silent = startTask(world);
        FakeCellWorker &worker = *world.workers.at(silent);
        worker.isReachable = false;
        while (!storedRecord(world, silent)->leaseLeftMs) {
            world.step();
        }
        const auto left = std::chrono::milliseconds(*storedRecord(world, silent)->leaseLeftMs);
        EXPECT_EQ(storedRecord(world, silent)->tasks, std::vector{Standing}) << "seed " << seed;
        const TimePoint limitedAt = world.now;
        world.isStoreDown = true;
        worker.isReachable = true;
        world.run(limitedAt + left - world.now);
        EXPECT_TRUE(world.owner->state().workers.at(silent)->isContacted) << "seed " << seed;
        EXPECT_TRUE(worker.isIdle()) << "seed " << seed;

        worker.isReachable = false;
        world.isStoreDown = false;
        world.replaceOwner(world.now + 9s);
        world.run(3s + left);
        EXPECT_TRUE(isRunning(world, Standing)) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

TEST(WorkerRecords, AWorkerThatAnswersAgainKeepsItsTasks)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed);
        const std::string silent = startTask(world);
        world.workers.at(silent)->isReachable = false;
        while (!storedRecord(world, silent)->leaseLeftMs) {
            world.step();
        }
        world.workers.at(silent)->isReachable = true;
        world.run(10s);
        EXPECT_TRUE(world.owner->state().workers.at(silent)->isRecorded) << "seed " << seed;
        EXPECT_FALSE(storedRecord(world, silent)->leaseLeftMs) << "seed " << seed;
        EXPECT_TRUE(isRunningOn(world, Standing, silent)) << "seed " << seed;
        EXPECT_EQ(world.audit.runs.at(Standing).size(), 1U) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
