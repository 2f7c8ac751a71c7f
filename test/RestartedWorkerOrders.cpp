#include "fakes/ReportedWorker.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using RestartedWorkerOrders = ReportedWorker;

// Guards against two runs of a task at the same time: a restarted worker that takes starts before
// it refuses the renewals of before its restart may still be granted the longest lease by one.
TEST_F(RestartedWorkerOrders, NoTaskStartsBeforeTheWorkerRefusesEarlierOrders)
{
    report(100'000);
    run(100ms);
    report(100, {}, 2);
    run(100ms);
    submit("a", makeChain(1, 1));
    run(500ms);
    EXPECT_TRUE(m_starts.empty());
    report(700, {}, 2);
    run(100ms);
    EXPECT_EQ(m_starts.size(), 1U);
}

// Guards against two runs of a task at the same time: the start of an owner that can't store
// anything may reach a later incarnation of its worker, and the next owner doesn't know of it.
TEST_F(RestartedWorkerOrders, NoTaskStartsOnceAnotherOwnerMayHaveBegun)
{
    ASSERT_NO_FATAL_FAILURE(startFirstJob(makeChain(2, 1)));
    acceptStart(m_starts[0], 100'200);
    m_isStoreDown = true;
    run(2300ms);
    report(102'500, {{1, m_starts[0].task, m_starts[0].run, RunEndReason::Done, {}}});
    run(300ms);
    EXPECT_EQ(m_starts.size(), 1U);
    m_isStoreDown = false;
    run(300ms);
    EXPECT_EQ(m_starts.size(), 2U);
}

// Guards against a task that starts again after its end: an acknowledgement that a link holds
// reaches the next incarnation of the worker after a start that the link has held as well, and
// makes it forget an end that no report has listed.
TEST_F(RestartedWorkerOrders, NoEndIsAcknowledgedWhileAStartMayBeUnderWay)
{
    ASSERT_NO_FATAL_FAILURE(finishFirstTask(2));
    EXPECT_EQ(m_renewal.acknowledgedEndNumber, 0U);
    acceptStart(m_starts[1], 101'000);
    report(101'500, {{1, m_starts[0].task, m_starts[0].run, RunEndReason::Done, {}}});
    run(100ms);
    EXPECT_EQ(m_renewal.acknowledgedEndNumber, 1U);
}

// The same for a start that is sent while the acknowledgement is under way.
TEST_F(RestartedWorkerOrders, NoTaskStartsBesideAnAcknowledgement)
{
    ASSERT_NO_FATAL_FAILURE(finishFirstTask(1));
    ASSERT_EQ(m_renewal.acknowledgedEndNumber, 1U);
    EXPECT_EQ(m_renewal.wait, Duration{}) << "starts would wait for the answer";
    submit("b", makeChain(1, 1));
    run(200ms);
    EXPECT_EQ(m_starts.size(), 1U);
    report(101'700);
    run(100ms);
    EXPECT_EQ(m_starts.size(), 2U);
}

// Guards against a task that waits for a worker which has run it: the next owner takes a run whose
// end has been acknowledged for a start that its worker may yet carry out.
TEST_F(RestartedWorkerOrders, TheRecordNamesNoStartWhoseRunIsAcknowledged)
{
    JobSpec spec = makeChain(1, 1);
    spec.steps.front().isLongRunning = true;
    ASSERT_NO_FATAL_FAILURE(startFirstJob(spec));
    EXPECT_EQ(storedRecord()->recentStarts.size(), 1U);
    acceptStart(m_starts[0], 100'200);
    report(100'250, {{1, m_starts[0].task, m_starts[0].run, RunEndReason::Failed, {}}});
    run(100ms);
    ASSERT_EQ(m_renewal.acknowledgedEndNumber, 1U);
    EXPECT_TRUE(storedRecord()->recentStarts.empty());
}

// The same on a worker that drains.
TEST_F(RestartedWorkerOrders, TheRecordOfADrainingWorkerNamesNoStartWhoseRunIsAcknowledged)
{
    ASSERT_NO_FATAL_FAILURE(startFirstJob());
    acceptStart(m_starts[0], 100'200);
    run(60ms);
    m_description.isDraining = true;
    m_owner.onWorkerListed(m_description, m_now);
    report(100'250, {{1, m_starts[0].task, m_starts[0].run, RunEndReason::Stopped, {}}});
    for (const TimePoint limit = m_now + 1s; m_renewal.acknowledgedEndNumber == 0;) {
        ASSERT_LT(m_now, limit) << "the end isn't acknowledged";
        ASSERT_TRUE(storedRecord()) << "the owner waits for the durable end";
        run(20ms);
    }
    const auto stored = storedRecord();
    EXPECT_TRUE(!stored || stored->recentStarts.empty());
}

// Guards against a task that waits beside the room that is kept for it: a task of the same size,
// for which there is no room, counted for both.
TEST_F(RestartedWorkerOrders, ATaskWithAnOpenStartTakesItsRoom)
{
    ASSERT_NO_FATAL_FAILURE(startFirstJob());
    JobSpec urgent = makeChain(1, 20);
    urgent.policy.priority = 0;
    submit("b", urgent);
    run(100ms);
    ASSERT_EQ(m_starts.size(), 8U);
    acceptStopOfUnanswered(m_starts[0]);
    run(20ms);
    report(100'500);
    run(2s);
    ASSERT_EQ(m_starts.size(), 9U);
    EXPECT_EQ(m_starts[8].task, m_starts[0].task);
}

// Guards against a worker that is filled beyond its capacity: an unanswered start, whose stop an
// earlier incarnation may have accepted, begins beside the tasks that took its room.
TEST_F(RestartedWorkerOrders, TheRoomOfAnUnansweredStartStaysFree)
{
    ASSERT_NO_FATAL_FAILURE(startFirstJob());
    m_owner.cancel(JobId("a"), m_now, UnixMs, [](CellScheduler::Verdict) {});
    acceptStopOfUnanswered(m_starts[0]);
    run(400ms);
    report(100'600);
    submit("b", makeChain(1, 8));
    for (std::int64_t clockMs = 101'600; clockMs < 110'000; clockMs += 1000) {
        run(1s);
        report(clockMs);
        EXPECT_EQ(m_starts.size(), 8U) << "one of a, seven of b";
    }
    for (std::int64_t clockMs = 110'600; clockMs < 114'000; clockMs += 1000) {
        run(1s);
        report(clockMs);
    }
    EXPECT_EQ(m_starts.size(), 9U);
}

// The same for a run that is listed though another run of its task is placed, until it has ended.
TEST_F(RestartedWorkerOrders, TheRoomOfAStrayRunStaysFree)
{
    ASSERT_NO_FATAL_FAILURE(startFirstJob());
    const RunningTask current{m_starts[0].task, m_starts[0].run};
    const RunningTask stray{m_starts[0].task, m_starts[0].run - 1};
    report(100'300, {}, 1, {current, stray});
    submit("b", makeChain(1, 7));
    run(500ms);
    EXPECT_EQ(m_starts.size(), 7U);
    report(100'900, {}, 1, {current});
    run(500ms);
    EXPECT_EQ(m_starts.size(), 8U);
}

} // namespace
} // namespace firefly
