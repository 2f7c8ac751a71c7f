#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

#include <variant>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

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

/// An owner whose orders the test answers, with one worker.
class RestartedWorkerReports : public testing::Test
{
protected:
    RestartedWorkerReports()
    {
        m_owner.setEvacuatedZones({});
        m_owner.beginOwnership(FencesPerEpoch, m_now, m_now);
        m_owner.finishRestore(m_now, UnixMs);
        WorkerDescription worker;
        worker.id = m_worker;
        worker.service = "svc";
        worker.endpoint = {"10.0.0.1", 80};
        worker.capacity = {8000, 64000, 0};
        worker.incarnationStartUnixMs = 1;
        m_owner.onWorkerListed(worker, m_now);
        run(100ms);
    }

    /// Advances the time by \a span; the journal's appends are stored at once.
    void run(Duration span)
    {
        constexpr Duration Step = 20ms;
        for (const TimePoint end = m_now + span; m_now < end; m_now += Step) {
            m_owner.setOrdersUntil(m_now + 6s);
            m_owner.tick(m_now, UnixMs);
            for (const CellAction &it : m_owner.takeActions()) {
                if (const auto *renewal = std::get_if<RenewLease>(&it)) {
                    m_renewal = *renewal;
                } else if (const auto *start = std::get_if<StartTask>(&it)) {
                    m_starts.push_back(*start);
                }
            }
            while (m_owner.journal().next()) {
                m_owner.journal().onOutcome(AppendOutcome::Stored);
            }
        }
    }

    /// Answers the latest renewal, for the first incarnation of the worker.
    void report(std::int64_t clockMs, const std::vector<EndedRun> &ended = {})
    {
        LeaseReport report;
        report.clockMs = clockMs;
        report.incarnationStartUnixMs = 1;
        report.ended = ended;
        report.fence = m_renewal.fence;
        m_owner.onLeaseReport(m_worker, OrderOutcome::Accepted, report, m_now, m_now, UnixMs);
    }

    void acceptStart(const StartTask &start, std::int64_t clockMs)
    {
        m_owner.onStartReply(m_worker, start.task, start.run,
                             {OrderOutcome::Accepted, clockMs, start.fence}, m_now);
    }

    /// Submits a job of \a count tasks; the end of the first one is reported and stored.
    void finishFirstTask(std::uint32_t count)
    {
        report(100'000);
        run(100ms);
        m_owner.submit(JobId("a"), makeChain(1, count), m_now, UnixMs,
                       [](CellScheduler::Verdict) {});
        run(200ms);
        ASSERT_EQ(m_starts.size(), count);
        acceptStart(m_starts[0], 100'300);
        report(100'400, {{1, m_starts[0].task, m_starts[0].run, RunEndReason::Done, {}}});
        run(1s);
    }

    static constexpr std::int64_t UnixMs = 1'000'000;
    const WorkerId m_worker{"w0"};
    CellScheduler m_owner{CellBounds()};
    TimePoint m_now{100s};
    RenewLease m_renewal;
    std::vector<StartTask> m_starts;
};

// Guards against the acknowledgement, after an answer of a restarted worker, of ends that its next
// report has yet to list: a report of before the restart, read between the two, hid the restart.
TEST_F(RestartedWorkerReports, AnEarlierReportDoesNotHideARestart)
{
    ASSERT_NO_FATAL_FAILURE(finishFirstTask(2));
    ASSERT_EQ(m_renewal.acknowledgedEndNumber, 1U);
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
