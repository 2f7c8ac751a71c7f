#include "fakes/CellWorld.h"
#include "fakes/ReportedWorker.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

using RestartedWorkerReports = ReportedWorker;

/// Runs until a report of the worker has come and the next renewal is due.
void runToNextRenewal(CellWorld &world)
{
    const CellWorker &worker = *world.owner->state().workers.at("w0");
    while (!worker.isRenewing) {
        world.step();
    }
    while (worker.isRenewing) {
        world.step();
    }
}

// Guards against the acknowledgement of an end that the new incarnation of a worker has numbered
// like one of the earlier incarnation, and that no report has listed.
TEST(RestartedWorkerAcknowledgement, ARenewalAfterAListedRestartAcknowledgesNothing)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        CellWorld world(seed, 1);
        FakeCellWorker &worker = *world.workers.at("w0");
        worker.workTime = 300ms;
        world.run(1s);
        world.submit(JobId("before"), makeChain(1, 4));
        world.run(2s);
        ASSERT_TRUE(world.isFinished(JobId("before"))) << seed;
        runToNextRenewal(world);
        worker.reboot(world.now);
        world.owner->onWorkerListed(worker.describe(), world.now);
        world.submit(JobId("after"), makeChain(1, 4));
        world.run(5s);
        EXPECT_TRUE(world.isFinished(JobId("after"))) << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << seed;
    }
}

// Guards against a renewal that is under way while its worker restarts: it acknowledges ends of the
// new incarnation that no report has listed, and the tasks start again.
TEST(RestartedWorkerAcknowledgement, ARenewalOfBeforeARestartAcknowledgesNothing)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        CellWorld world(seed, 1);
        world.keepsOrdersOverRestarts = true;
        FakeCellWorker &worker = *world.workers.at("w0");
        worker.workTime = 300ms;
        world.run(1s);
        world.submit(JobId("before"), makeChain(1, 4));
        world.run(2s);
        ASSERT_TRUE(world.isFinished(JobId("before"))) << seed;
        runToNextRenewal(world);
        worker.isLateUntil = world.now + 100ms;
        world.run(1200ms);
        worker.reboot(world.now);
        world.owner->onWorkerListed(worker.describe(), world.now);
        world.run(200ms);
        world.submit(JobId("after"), makeChain(1, 4));
        world.run(150ms);
        worker.isReachable = false; // Until the late renewal has arrived.
        world.run(1s);
        worker.isReachable = true;
        world.run(8s);
        EXPECT_TRUE(world.isFinished(JobId("after"))) << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << seed;
    }
}

// Guards against the acknowledgement, after an answer of a restarted worker, of ends that its next
// report has yet to list: a report of before the restart, read between the two, hid the restart.
TEST_F(RestartedWorkerReports, AnEarlierReportDoesNotHideARestart)
{
    ASSERT_NO_FATAL_FAILURE(finishFirstTask(2));
    ASSERT_EQ(m_renewal.acknowledgedEndNumber, 0U) << "the second start is under way";
    acceptStart(m_starts[1], 50);
    report(101'000);
    EXPECT_TRUE(m_owner.state().workers.at("w0")->isRestartSuspected);
    run(40ms);
    EXPECT_EQ(m_renewal.acknowledgedEndNumber, 0U);
}

// Guards against renewals that repeat an acknowledgement: one that a link holds until the worker
// has restarted acknowledges ends of the new incarnation that no report has listed.
TEST_F(RestartedWorkerReports, AnEndIsAcknowledgedOnce)
{
    ASSERT_NO_FATAL_FAILURE(finishFirstTask(1));
    EXPECT_EQ(m_renewal.acknowledgedEndNumber, 1U);
    m_owner.onLeaseReport(m_worker, OrderOutcome::Unknown, {.fence = m_renewal.fence}, m_now, m_now,
                          UnixMs);
    run(400ms);
    EXPECT_EQ(m_renewal.acknowledgedEndNumber, 0U) << "after a failure";
    report(102'000);
    run(100ms);
    EXPECT_EQ(m_renewal.acknowledgedEndNumber, 1U) << "the first may have been lost";
    report(102'100);
    run(100ms);
    EXPECT_EQ(m_renewal.acknowledgedEndNumber, 0U);
}

} // namespace
} // namespace firefly
