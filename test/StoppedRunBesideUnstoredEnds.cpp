#include "Cell/TaskLedger.h"
#include "fakes/SingleTaskJobs.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr Duration Slice = 5ms;
/// Longest way of an end to the owner and of the next start to the worker: the delay of the report,
/// four messages of 15 ms, the check of the fake worker, and the pass that places the task.
constexpr Duration MaxFreeTime = TaskLedger::AwaitedEndDelay + 4 * 15ms + 20ms + 10ms;

/// A cell of two workers, of which the one that "down" ran on drains; on the other one "blocker"
/// runs beside batch tasks that have just ended.
class StoppedRunBesideUnstoredEnds : public ::testing::TestWithParam<std::uint32_t>
{
protected:
    StoppedRunBesideUnstoredEnds()
        : world(GetParam(), 2)
    {
        for (auto &[id, worker] : world.workers) {
            worker->capacity = {8000, 64000, 0};
            worker->stopTime = 300ms;
        }
        world.replaceOwner(world.now);
        world.run(500ms);
        world.submit(JobId("down"), makeLongRunning(1, 5000));
        world.submit(JobId("blocker"), makeLongRunning(1, 5000));
        world.run(1s);
        displace(world, "down");
        world.run(1s);
        JobSpec batch = makeChain(1, 2);
        batch.steps.front().demand.milliCpu = 1000;
        for (auto &[id, worker] : world.workers) {
            worker->workTime = 300ms;
        }
        world.submit(JobId("batch"), batch);
        world.run(200ms);
        EXPECT_FALSE(isRunning(world, taskOf("down")));
    }

    void slowStoreDown()
    {
        world.storeFaults.minDelay = 600ms;
        world.storeFaults.maxDelay = 900ms;
    }

    /// Runs until \a isOver, for a limited time.
    template <typename IsOver>
    void runUntil(IsOver isOver)
    {
        for (const TimePoint end = world.now + 3s; !isOver() && world.now < end;) {
            world.run(Slice);
        }
        EXPECT_TRUE(isOver());
    }

    /// Time from the end of the blocker's run to the start of "down".
    Duration measureFreeTime()
    {
        runUntil([this] { return !isRunning(world, taskOf("blocker")); });
        EXPECT_TRUE(hasUnstoredEnds());
        const TimePoint freeAt = world.now;
        runUntil([this] { return isRunning(world, taskOf("down")); });
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
        return world.now - freeAt;
    }

    bool hasUnstoredEnds() const
    {
        return std::ranges::any_of(world.owner->state().workers, [](const auto &it) {
            return it.second->processedEndNumber > it.second->durableEndNumber;
        });
    }

    CellWorld world;
};

// Guards against the end of a stopped run that is read late, since its worker lists other ends that
// aren't stored yet and is asked less often; a displaced task stays down meanwhile.
TEST_P(StoppedRunBesideUnstoredEnds, EndsReportedAfterTheStopOrderDoNotDelayItsEnd)
{
    cancel(world, "blocker");
    world.run(50ms);
    slowStoreDown();
    EXPECT_LE(measureFreeTime(), MaxFreeTime);
}

INSTANTIATE_TEST_SUITE_P(Seeds, StoppedRunBesideUnstoredEnds, ::testing::Range(1U, 6U));

// Guards against the same where the other ends have been reported before the stop order: the next
// report, due later, is asked for at once.
TEST(StoppedRunAfterUnstoredEnds, AStopOrderBringsTheNextReportForward)
{
    const TimePoint now{100s};
    CellState state;
    auto &worker = state.workers["w0"];
    worker = std::make_unique<CellWorker>();
    worker->isRegistered = true;
    worker->isContacted = true;
    worker->isRecorded = true;
    worker->nextRenewal = now + 700ms;
    CellJob job;
    job.spec = makeLongRunning(1, 5000);
    TaskLedger::addOccurrence(job, 0, TaskState::Pending);
    const TaskRef ref{&job, 0, 0, 0};
    TaskLedger::place(ref, *worker, TaskState::Running, 1);
    TaskLedger::orderStop(state, ref, now);
    EXPECT_EQ(worker->nextRenewal, now + TaskLedger::AwaitedEndDelay);
}

} // namespace
} // namespace firefly
