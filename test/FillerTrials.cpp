#include "fakes/IdleJobs.h"
#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 5;
constexpr int WorkerCount = 8;
constexpr std::int64_t TargetMs = 20;
/// Near enough to the target that a filler of unknown effect is expected to push a task over it.
constexpr double TailMs = 16.0;
/// Time from a trial on a worker to the next one there.
constexpr Duration TrialInterval = 3s;

/// A world whose workers run three serving tasks each, and jobs of fillers that are expected to do
/// harm on all of them.
CellWorld makeWorld(std::uint32_t seed)
{
    CellWorld world(seed, WorkerCount);
    world.run(1s);
    JobSpec spec = makeSpreadLongRunning(WorkerCount, 1000);
    spec.steps.front().image = "serve";
    spec.steps.front().targetMs = TargetMs;
    for (auto &[id, worker] : world.workers) {
        worker->tailLatencyMs = TailMs;
    }
    idle::submitMany(world, "serving", 3, spec);
    world.run(4s);
    JobSpec fillers = idle::makeFillers(60);
    fillers.steps.front().image = "press";
    idle::submitMany(world, "batch", 20, fillers);
    return world;
}

TEST(FillerTrials, TakeAQuarterOfTheWorkersAtMost)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        CellWorld world = makeWorld(seed);
        std::map<std::string, TimePoint> trialAt;
        std::size_t trials = 0;
        for (const TimePoint end = world.now + 20s; world.now < end;) {
            const std::size_t seen = world.decisions.size();
            world.step();
            for (std::size_t i = seen; i < world.decisions.size(); ++i) {
                const LogDecision &it = world.decisions[i];
                if (std::string_view(it.message) != "filler on trial") {
                    continue;
                }
                const std::string worker =
                    it.detail.substr(3, it.detail.find(' ') - 3); // After "on=".
                EXPECT_TRUE(!trialAt.contains(worker)
                            || world.now - trialAt[worker] >= TrialInterval);
                trialAt[worker] = world.now;
                ++trials;
            }
            const auto atOnce = std::ranges::count_if(trialAt, [&world](const auto &it) {
                return world.now - it.second < TrialInterval;
            });
            EXPECT_LE(atOnce, WorkerCount / 4);
        }
        EXPECT_GT(trials, 0);
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
    }
}

} // namespace
} // namespace firefly
