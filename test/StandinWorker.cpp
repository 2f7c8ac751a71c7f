#include "StandinWorker.h"

#include <gtest/gtest.h>

#include <string>

using namespace firefly;
using namespace firefly::standins;

namespace {

constexpr Resources Capacity{4000, 8000, 1, 2};
constexpr Resources HalfCapacity{2000, 4000, 0, 0};
constexpr std::int64_t LeaseMs = 3000;

class StandinWorkerTest : public testing::Test
{
protected:
    static TimePoint at(std::int64_t ms) { return TimePoint(std::chrono::milliseconds(ms)); }

    WorkerSyncReply sync(Term term, std::uint64_t number, std::int64_t ms,
                         std::vector<std::string> acknowledged = {})
    {
        const WorkerSync message{WorkerId("w"), term, number, LeaseMs, std::move(acknowledged)};
        WorkerSyncReply reply = worker.sync(message, at(ms));
        boot = reply.boot;
        return reply;
    }

    MessageResult start(const char *job, std::uint64_t lease, std::int64_t ms, Term term = 5,
                        Resources resources = HalfCapacity)
    {
        StartAttempt task;
        task.term = term;
        task.job = JobId(job);
        task.attempt = 1;
        task.kind = "rebuild";
        task.resources = resources;
        task.runtimeMs = 10'000;
        task.leaseNumber = lease;
        task.boot = boot;
        return worker.start(task, at(ms));
    }

    CallAdmission call(Term term, std::int64_t ms)
    {
        WorkerCall message;
        message.term = term;
        message.service = ServiceId("legality-check");
        return worker.beginCall(message, at(ms));
    }

    WorkerProfile profile{{}, {{"rebuild", {{"rebuild", 1.0}}}}};
    std::string boot; ///< Incarnation name in the last sync reply.
    StandinWorker worker{WorkerId("w"), Capacity, profile, "boot", 1};
};

} // namespace

TEST_F(StandinWorkerTest, staleTermIsRefusedForEveryMessage)
{
    sync(5, 1, 0);
    sync(6, 1, 1);

    EXPECT_FALSE(sync(5, 2, 2).accepted);
    EXPECT_EQ(sync(5, 3, 2).highestTerm, 6U);
    EXPECT_EQ(start("j", 1, 3), MessageResult::StaleTerm);
    EXPECT_EQ(worker.stop({WorkerId("w"), 5, JobId("j"), 1, true}, at(3)),
              MessageResult::StaleTerm);
    EXPECT_EQ(call(5, 3).result, MessageResult::StaleTerm);
    EXPECT_TRUE(worker.records().tasks.empty());
    EXPECT_TRUE(worker.records().calls.empty());
}

TEST_F(StandinWorkerTest, syncNumberMustIncreaseWithinATerm)
{
    EXPECT_TRUE(sync(5, 2, 0).accepted);
    EXPECT_FALSE(sync(5, 2, 1).accepted);
    EXPECT_FALSE(sync(5, 1, 1).accepted);
    EXPECT_TRUE(sync(5, 3, 1).accepted);
    EXPECT_TRUE(sync(6, 1, 1).accepted);
}

TEST_F(StandinWorkerTest, refusedSyncDoesNotExtendTheLease)
{
    sync(5, 1, 0);
    start("j", 1, 0);
    EXPECT_FALSE(sync(5, 1, LeaseMs - 1).accepted);

    EXPECT_EQ(sync(5, 2, LeaseMs).tasks.at(0).state, AttemptState::Stopped);
}

TEST_F(StandinWorkerTest, startIsRefusedWithoutTheLeaseOfTheLastSync)
{
    EXPECT_EQ(start("j", 0, 0), MessageResult::LeaseExpired);
    sync(5, 1, 0);
    sync(5, 2, 1);

    EXPECT_EQ(start("late", 1, 2), MessageResult::LeaseMismatch);
    EXPECT_EQ(start("newer", 2, 2, 6), MessageResult::LeaseExpired);
    EXPECT_EQ(start("lapsed", 2, 1 + LeaseMs, 6), MessageResult::LeaseExpired);
    EXPECT_TRUE(worker.records().tasks.empty());
}

TEST_F(StandinWorkerTest, leaseExpiryStopsTasksAtItsTimeWithTheLastCheckpoint)
{
    profile.checkpointIntervalUs = 2'000'000;
    sync(5, 1, 0);
    start("j", 1, 0);

    const WorkerSyncReply reply = sync(6, 1, 9000);

    ASSERT_EQ(reply.tasks.size(), 1U);
    EXPECT_EQ(reply.tasks[0].state, AttemptState::Stopped);
    EXPECT_EQ(reply.tasks[0].progressMs, 2000);
    EXPECT_EQ(worker.records().tasks[0].endUs, LeaseMs * 1000);
    EXPECT_EQ(worker.records().tasks[0].outcome, "lapsed");
}

TEST_F(StandinWorkerTest, workBeyondCapacityIsRefusedAndCounted)
{
    sync(5, 1, 0);
    EXPECT_EQ(start("a", 1, 0), MessageResult::Done);
    EXPECT_EQ(start("b", 1, 0), MessageResult::Done);
    EXPECT_EQ(start("c", 1, 0), MessageResult::InsufficientResources);
    EXPECT_EQ(call(5, 0).result, MessageResult::Done);
    EXPECT_EQ(call(5, 0).result, MessageResult::Done);
    EXPECT_EQ(call(5, 0).result, MessageResult::NoFreeSlot);

    EXPECT_EQ(worker.records().overrunAttempts, 2U);
    EXPECT_TRUE(worker.records().maxUse.fitsIn(Capacity));
}

TEST_F(StandinWorkerTest, endedTaskStaysListedUntilAcknowledged)
{
    sync(5, 1, 0);
    start("j", 1, 0);
    for (std::int64_t n = 2; n <= 10; ++n) {
        sync(5, static_cast<std::uint64_t>(n), n * 1000);
    }

    EXPECT_EQ(sync(5, 11, 10'001).tasks.at(0).state, AttemptState::Finished);
    EXPECT_EQ(sync(5, 12, 10'002).tasks.size(), 1U);
    EXPECT_EQ(worker.records().tasks[0].reportedUs, 10'000'000);
    EXPECT_TRUE(sync(5, 13, 10'003, {"j#1"}).tasks.empty());
}

TEST_F(StandinWorkerTest, neighboursSlowEachOtherDownAndUsageReportsLag)
{
    sync(5, 1, 0);
    start("a", 1, 0);
    start("b", 1, 0);

    EXPECT_DOUBLE_EQ(sync(5, 2, 999).tasks[0].speed, 1.0);
    const TaskReport report = sync(5, 3, 2000).tasks[0];
    EXPECT_DOUBLE_EQ(report.speed, 0.5);
    EXPECT_EQ(report.progressMs, 1000);
    EXPECT_EQ(report.usedMilliProcessors, HalfCapacity.milliProcessors);
}

TEST_F(StandinWorkerTest, stopWithCheckpointKeepsProgress)
{
    sync(5, 1, 0);
    start("j", 1, 0);

    EXPECT_EQ(worker.stop({WorkerId("w"), 5, JobId("j"), 1, true}, at(1500)), MessageResult::Done);
    EXPECT_EQ(sync(5, 2, 2000).tasks[0].progressMs, 1500);
    EXPECT_EQ(start("j", 2, 2000), MessageResult::Duplicate);
}

TEST_F(StandinWorkerTest, rebootDiscardsStateButKeepsRecords)
{
    const std::string boot = sync(5, 1, 0).boot;
    start("j", 1, 0);
    const CallAdmission admission = call(5, 0);
    worker.reboot(at(100));

    EXPECT_EQ(worker.endCall(admission.call, at(101)), "cut");
    const WorkerSyncReply reply = sync(4, 1, 102);
    EXPECT_TRUE(reply.accepted);
    EXPECT_NE(reply.boot, boot);
    EXPECT_TRUE(reply.tasks.empty());
    EXPECT_EQ(worker.records().tasks[0].outcome, "lost");
    EXPECT_EQ(worker.records().calls[0].outcome, "cut");
}
