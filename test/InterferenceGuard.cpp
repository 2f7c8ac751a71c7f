#include "Cell/InterferenceGuard.h"

#include "Cell/TaskLedger.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// A worker with one serving task and \a fillers fillers of one image.
struct SharedWorker
{
    explicit SharedWorker(std::uint32_t fillers)
    {
        worker.info.capacity = {32000, 128000, 0};
        StepSpec serve;
        serve.image = "serve";
        serve.targetMs = 20;
        serve.isLongRunning = true;
        serve.demand = {6000, 1000, 0};
        StepSpec fill;
        fill.image = "press";
        fill.isFiller = true;
        fill.taskCount = fillers;
        fill.demand = {4000, 1000, 0};
        job.spec.steps = {serve, fill};
        job.images = {guard.indexOf("serve"), guard.indexOf("press")};
        TaskLedger::addOccurrence(job, 0, TaskState::Pending);
        place({&job, 0, 0, 0});
        for (std::uint32_t i = 0; i < fillers; ++i) {
            place({&job, 0, 1, i});
        }
        TaskRef{&job, 0, 0, 0}.task().percent = 100;
    }

    void place(const TaskRef &ref)
    {
        TaskLedger::place(ref, worker, TaskState::Running, 1);
        ref.task().startedAt = now - 10s;
    }

    /// Applies one report with a tail latency of \a tailMs and carries out the guard's adjustments.
    void report(double tailMs)
    {
        TaskRef{&job, 0, 0, 0}.task().usage = tailMs;
        for (const TaskRef &it : worker.tasks) {
            if (it.spec().isFiller) {
                it.task().usage = 4000.0 * it.task().pace / 100;
            }
        }
        guard.observe(worker, now);
        for (const auto &it : guard.planAdjustments(worker, now)) {
            it.task.task().pace = it.percent;
            it.task.task().paceChangedAt = now;
        }
        now += 500ms;
    }

    int activeFillers() const
    {
        int n = 0;
        for (const TaskRef &it : worker.tasks) {
            n += it.spec().isFiller && it.task().pace > 0 ? 1 : 0;
        }
        return n;
    }

    TimePoint now{100s};
    InterferenceGuard guard;
    CellJob job;
    CellWorker worker;
};

TEST(InterferenceGuard, AllFillersArePausedWellBeforeFourSecondsOverTheTarget)
{
    SharedWorker shared(4);
    for (int i = 0; i < 4; ++i) {
        shared.report(60.0);
    }
    EXPECT_EQ(shared.activeFillers(), 0);
    EXPECT_GT(shared.worker.noFillersUntil, shared.now - 500ms);
}

TEST(InterferenceGuard, OneLowSampleDoesNotResetTheTimeOverTheTarget)
{
    SharedWorker shared(4);
    shared.report(60.0);
    shared.report(60.0);
    shared.report(19.0);
    shared.report(60.0);
    shared.report(60.0);
    EXPECT_EQ(shared.activeFillers(), 0);
}

TEST(InterferenceGuard, FillersRunUnthrottledWhileTheTargetIsMet)
{
    SharedWorker shared(4);
    for (int i = 0; i < 10; ++i) {
        shared.report(8.0);
    }
    EXPECT_EQ(shared.activeFillers(), 4);
}

TEST(InterferenceGuard, ALearnedInterferenceIsPredictedAndRestoredByTheNextOwner)
{
    SharedWorker shared(2);
    for (int i = 0; i < 40; ++i) {
        const bool hasFillerLoad = i % 2 == 0;
        for (const TaskRef &it : shared.worker.tasks) {
            it.task().pace = hasFillerLoad ? 100 : 0;
            it.task().usage =
                it.spec().isFiller ? (hasFillerLoad ? 4000.0 : 0.0) : (hasFillerLoad ? 40.0 : 8.0);
        }
        shared.guard.observe(shared.worker, shared.now);
        shared.now += 500ms;
    }
    const TaskRef filler{&shared.job, 0, 1, 0};
    EXPECT_FALSE(InterferenceGuard::isWorthwhile(
        filler.spec(), shared.guard.expectedViolations(shared.worker, filler, shared.now)));
    InterferenceGuard next;
    next.indexOf("serve");
    next.indexOf("press");
    next.restoreModel(shared.guard.encodeModel(shared.now), shared.now);
    shared.worker.isForecastValid = false;
    EXPECT_FALSE(InterferenceGuard::isWorthwhile(
        filler.spec(), next.expectedViolations(shared.worker, filler, shared.now)));
}

} // namespace
} // namespace firefly
