#include "fakes/SingleTaskJobs.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 5;

std::ptrdiff_t countStartsOn(const CellWorld &world, const std::string &worker)
{
    std::ptrdiff_t count = 0;
    for (const auto &[task, workers] : world.audit.startedOn) {
        count += std::ranges::count(workers, worker);
    }
    return count;
}

// Guards against two workers that fail everything and are never paused, as each task that fails on
// one of them fails on the other one too.
TEST(FailingWorkerPair, TwoWorkersThatFailEverythingArePaused)
{
    constexpr int JobCount = 40;
    constexpr int MaxStartsOnBadWorkers = JobCount / 2;
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 3);
        for (auto &[id, worker] : world.workers) {
            worker->workTime = 30ms;
        }
        world.run(500ms);
        world.workers.at("w0")->hasFailingRuns = true;
        world.workers.at("w1")->hasFailingRuns = true;
        for (int i = 0; i < JobCount; ++i) {
            JobSpec spec = makeChain(1, 1);
            spec.steps.front().demand.milliCpu = 1000;
            spec.policy.maxAttempts = 4;
            world.submit(JobId("job" + std::to_string(i)), spec);
            world.run(150ms);
        }
        world.run(3s);
        EXPECT_LE(countStartsOn(world, "w0") + countStartsOn(world, "w1"), MaxStartsOnBadWorkers)
            << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
