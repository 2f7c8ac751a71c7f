#include "Cell/CellScheduler.h"
#include "fakes/CellWorld.h"
#include "Workload/JobRecords.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <variant>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::int64_t DueUnixMs = 1'000'000;
constexpr std::int64_t ClockErrorMs = 3000;

/// A new owner of a cell with one worker and a scheduled job, whose first occurrence an earlier
/// owner has started.  By the clock of this one it isn't due yet.
class OwnerClockBehind : public testing::Test
{
protected:
    OwnerClockBehind()
        : m_owner(CellBounds{})
    {
        JobSpec spec = makeChain(1, 1);
        spec.repetitions = 2;
        spec.startAtUnixMs = DueUnixMs;
        spec.intervalMs = 60'000;
        m_owner.setEvacuatedZones({});
        m_owner.beginOwnership(2, m_now, m_now + 9s);
        m_owner.restore(JobRecords::specKey(m_task.job), JobRecords::encodeSpec(spec, DueUnixMs));
        m_owner.restore(JobRecords::workerKey("w0"), "10.0.0.1:80");
    }

    void finishRestore()
    {
        m_owner.finishRestore(m_now, m_unixMs);
        WorkerDescription worker;
        worker.id = m_worker;
        worker.service = "svc";
        worker.endpoint = {"10.0.0.1", 80};
        worker.capacity = {8000, 64000, 0};
        m_owner.onWorkerListed(worker, m_now);
        run(20ms);
    }

    /// Advances the time by \a span; the journal's appends are stored at once.
    void run(Duration span)
    {
        constexpr Duration Step = 20ms;
        for (const TimePoint end = m_now + span; m_now < end; m_now += Step) {
            m_unixMs += std::chrono::duration_cast<std::chrono::milliseconds>(Step).count();
            m_owner.setOrdersUntil(m_now + 6s);
            m_owner.tick(m_now, m_unixMs);
            for (const CellAction &it : m_owner.takeActions()) {
                m_starts += std::holds_alternative<StartTask>(it) ? 1 : 0;
                m_stops += std::holds_alternative<StopTask>(it) ? 1 : 0;
            }
            while (m_owner.journal().next()) {
                m_owner.journal().onOutcome(AppendOutcome::Stored);
            }
        }
    }

    void report(const std::vector<RunningTask> &running, const std::vector<EndedRun> &ended)
    {
        m_clockMs += 1000;
        m_owner.onLeaseReport(m_worker, OrderOutcome::Accepted,
                              {m_clockMs, 1, running, ended, m_owner.epoch()}, m_now, m_now,
                              m_unixMs);
    }

    const WorkerId m_worker{"w0"};
    const TaskName m_task{JobId("scheduled"), 0, 0, 0};
    CellScheduler m_owner;
    TimePoint m_now{100s};
    std::int64_t m_unixMs = DueUnixMs - ClockErrorMs;
    std::int64_t m_clockMs = 0; ///< Of the worker.
    int m_starts = 0;
    int m_stops = 0;
};

TEST_F(OwnerClockBehind, ARunningTaskGoesOn)
{
    finishRestore();
    report({{m_task, 1, {}, 50, 0.0}}, {});
    run(200ms);
    report({{m_task, 1, {}, 60, 0.0}}, {});
    run(2 * std::chrono::milliseconds(ClockErrorMs));
    EXPECT_EQ(m_stops, 0);
    EXPECT_EQ(m_starts, 0);
}

TEST_F(OwnerClockBehind, AnEndThatIsReportedCounts)
{
    finishRestore();
    report({}, {{1, m_task, 1, RunEndReason::Done, {}}});
    run(2 * std::chrono::milliseconds(ClockErrorMs));
    EXPECT_EQ(m_starts, 0);
}

TEST_F(OwnerClockBehind, AnEndThatIsRecordedCounts)
{
    JobProgress progress;
    progress.state = JobState::Running;
    progress.isStarted = true;
    progress.tasks.push_back({0, 0, 0, true, {}, {}, {}, 0, {}});
    m_owner.restore(JobRecords::progressKey(m_task.job), JobRecords::encodeProgress(progress));
    finishRestore();
    report({}, {});
    run(2 * std::chrono::milliseconds(ClockErrorMs));
    EXPECT_EQ(m_starts, 0);
}

TEST_F(OwnerClockBehind, AnOccurrenceThatNoOwnerHasBegunStartsWhenDue)
{
    finishRestore();
    report({}, {});
    run(std::chrono::milliseconds(ClockErrorMs) - 100ms);
    EXPECT_EQ(m_starts, 0);
    run(500ms);
    EXPECT_EQ(m_starts, 1);
}

} // namespace
} // namespace firefly
