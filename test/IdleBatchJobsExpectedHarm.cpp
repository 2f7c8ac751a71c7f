#include "fakes/IdleJobs.h"
#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;
using namespace idle;

constexpr std::int64_t TargetMs = 20;
/// Near enough to the target that a filler of unknown effect is expected to push a task over it.
constexpr double TailMs = 16.0;
constexpr double MissedTailMs = 60.0;

/// Starts serving tasks that use three eighths of each worker, and lets them report.
void startServingTasks(CellWorld &world)
{
    JobSpec spec = makeSpreadLongRunning(WorkerCount, 1000);
    spec.steps.front().image = "serve";
    spec.steps.front().targetMs = TargetMs;
    for (auto &[id, worker] : world.workers) {
        worker->tailLatencyMs = TailMs;
    }
    submitMany(world, "serving", 3, spec);
    world.run(4s);
}

JobSpec makeSavingFillers(std::uint32_t count)
{
    JobSpec spec = makeFillers(count);
    spec.steps.front().image = "press";
    spec.steps.front().isCheckpointing = true;
    return spec;
}

bool hasActiveFiller(const CellWorld &world, const FakeCellWorker &worker)
{
    const auto tasks = worker.runningTasks();
    const auto fillers = std::ranges::count_if(tasks, [&world](const TaskName &it) {
        const StepSpec *step = world.audit.stepOf(it);
        return step && step->isFiller;
    });
    return static_cast<std::size_t>(fillers) > worker.pausedCount();
}

// Guards against jobs without a run beside free capacity, as every worker is expected to miss
// targets, though none would.
TEST(IdleBatchJobsExpectedHarm, JobWhoseFillersDoNoHarm)
{
    forEachSeed([](CellWorld &world) {
        startServingTasks(world);
        submitMany(world, "batch", 1, makeSavingFillers(60));
        world.run(500ms);
        IdleTimes times(world);
        times.run(15s);
        EXPECT_LE(times.longestOf("batch0"), MaxIdleTime);
    });
}

// Trials of harmful fillers end well before the time over target that the platform tolerates, and
// leave the serving tasks undisturbed most of the time.
TEST(IdleBatchJobsExpectedHarm, HarmOfTrialsIsBounded)
{
    forEachSeed([](CellWorld &world) {
        startServingTasks(world);
        submitMany(world, "batch", 6, makeSavingFillers(60));
        Duration over{};
        std::map<std::string, TimePoint> overSince;
        Duration longest{};
        const TimePoint begin = world.now;
        while (world.now - begin < 30s) {
            const TimePoint before = world.now;
            idle::runWithVariedWork(world, 5ms);
            for (auto &[id, worker] : world.workers) {
                const bool isHarmed = hasActiveFiller(world, *worker);
                worker->tailLatencyMs = isHarmed ? MissedTailMs : TailMs;
                TimePoint &since = overSince.try_emplace(id, world.now).first->second;
                since = isHarmed ? since : world.now;
                longest = std::max(longest, world.now - since);
                over += isHarmed ? world.now - before : Duration{};
            }
        }
        EXPECT_LT(longest, world.bounds.maxViolation);
        EXPECT_LT(over, 30s * WorkerCount / 2);
    });
}

} // namespace
} // namespace firefly
