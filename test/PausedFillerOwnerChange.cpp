#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;
constexpr std::uint32_t FillerCount = 6;
constexpr std::int64_t TargetMs = 20;

/// One worker with a serving task that missed its target until now, and its paused fillers.
class PausedFillerOwnerChange : public ::testing::TestWithParam<std::uint32_t>
{
protected:
    void SetUp() override
    {
        worker.capacity = {32000, 128000, 0};
        worker.workTime = 60s;
        world.replaceOwner(world.now);
        world.run(500ms);
        JobSpec serving = makeLongRunning(1, 4000);
        serving.steps.front().targetMs = TargetMs;
        serving.steps.front().image = "serve";
        world.submit(JobId("serving"), serving);
        JobSpec fillers = makeChain(1, FillerCount);
        fillers.steps.front().demand = {1000, 100, 0};
        fillers.steps.front().isFiller = true;
        fillers.steps.front().image = "fill";
        world.submit(JobId("fillers"), fillers);
        worker.tailLatencyMs = 0.2 * TargetMs;
        world.run(3s);
        ASSERT_EQ(worker.runningTasks().size(), 1 + FillerCount);
        worker.tailLatencyMs = 3.0 * TargetMs;
        for (int i = 0; i < 100 && worker.pausedCount() < FillerCount; ++i) {
            world.run(100ms);
        }
        ASSERT_EQ(worker.pausedCount(), FillerCount);
        worker.tailLatencyMs = 0.2 * TargetMs;
        world.replaceOwner(world.now + 9s);
    }

    std::ptrdiff_t countDecisions(std::string_view message) const
    {
        return std::ranges::count_if(
            world.decisions, [message](const LogDecision &it) { return it.message == message; });
    }

    CellWorld world{GetParam(), 1};
    FakeCellWorker &worker = *world.workers.at("w0");
};

INSTANTIATE_TEST_SUITE_P(Seeds, PausedFillerOwnerChange, ::testing::Range(1U, SeedCount + 1));

// A stop would throw away the work of a run that waits for its owner only.
TEST_P(PausedFillerOwnerChange, TheNextOwnerResumesThem)
{
    world.run(12s);
    EXPECT_EQ(countDecisions("task stuck"), 0);
    EXPECT_EQ(worker.pausedCount(), 0U);
    EXPECT_EQ(worker.runningTasks().size(), 1 + FillerCount);
}

TEST_P(PausedFillerOwnerChange, TheirWorkerTakesALongRunningTask)
{
    world.run(3s);
    world.submit(JobId("long"), makeLongRunning(1, 4000));
    world.run(MaxDowntime);
    EXPECT_TRUE(isRunning(world, {JobId("long"), 0, 0, 0}));
}

TEST_P(PausedFillerOwnerChange, ARunWithoutProgressOnceResumedIsStopped)
{
    worker.isProgressing = false;
    world.run(20s);
    EXPECT_GE(countDecisions("task stuck"), FillerCount);
}

} // namespace
} // namespace firefly
