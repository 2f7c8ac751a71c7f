#include "fakes/IdleJobs.h"
#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;
constexpr std::int64_t TargetMs = 20;
constexpr double TailMs = 8.0;
constexpr double MissedTailMs = 60.0;

/// One worker with a serving task that misses its target while a filler works beside it.
class PausedFillers : public ::testing::TestWithParam<std::uint32_t>
{
protected:
    void SetUp() override
    {
        worker.capacity = {32000, 128000, 0};
        worker.tailLatencyMs = TailMs;
        world.run(500ms);
        JobSpec serving = makeLongRunning(1, 4000);
        serving.steps.front().targetMs = TargetMs;
        serving.steps.front().image = "serve";
        world.submit(JobId("serving"), serving);
        run(3s);
        worker.workTime = 2200ms;
    }

    void submitFillers(std::uint32_t count)
    {
        JobSpec fillers = idle::makeFillers(count, 8000);
        fillers.steps.front().image = "press";
        fillers.steps.front().estimateMs = 2200;
        world.submit(JobId("fillers"), fillers);
    }

    void run(Duration span)
    {
        for (const TimePoint end = world.now + span; world.now < end;) {
            world.step();
            const bool isHarmed = worker.runningTasks().size() > 1 + worker.pausedCount();
            worker.tailLatencyMs = isHarmed ? MissedTailMs : TailMs;
            harmedSince = isHarmed ? harmedSince : world.now;
            longestHarm = std::max(longestHarm, world.now - harmedSince);
        }
    }

    CellWorld world{GetParam(), 1};
    FakeCellWorker &worker = *world.workers.at("w0");
    TimePoint harmedSince{};
    Duration longestHarm{};
};

INSTANTIATE_TEST_SUITE_P(Seeds, PausedFillers, ::testing::Range(1U, SeedCount + 1));

// Guards against a paused filler without checkpoints that is never resumed, as the model expects
// harm from it: its job never ends.
TEST_P(PausedFillers, AFillerThatDoesHarmEndsNevertheless)
{
    submitFillers(1);
    run(idle::FinishTime);
    EXPECT_TRUE(world.isFinished(JobId("fillers")));
    EXPECT_LT(longestHarm, world.bounds.maxViolation);
}

TEST_P(PausedFillers, AFillerEndsOverChangesOfOwner)
{
    submitFillers(1);
    for (int i = 0; i < 3; ++i) {
        run(5s);
        world.replaceOwner(world.now + 1s);
    }
    run(idle::FinishTime);
    EXPECT_TRUE(world.isFinished(JobId("fillers")));
    EXPECT_LT(longestHarm, world.bounds.maxViolation);
}

} // namespace
} // namespace firefly
