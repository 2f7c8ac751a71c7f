#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

#include <string>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;

const TaskName Standing{JobId("standing"), 0, 0, 0};

std::string startTask(CellWorld &world)
{
    world.run(500ms);
    world.submit(Standing.job, makeLongRunning(1, 3000));
    world.run(1s);
    return *world.audit.runningOn.at(Standing).begin();
}

// After the end of its lease nothing runs on a dark worker, however few of the others are heard.
TEST(MostWorkersDark, ATaskOfADarkWorkerRunsAgainWhenMostWorkersAreDark)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed);
        const std::string worker = startTask(world);
        const std::string left = worker == "w0" ? "w1" : "w0";
        for (auto &[id, it] : world.workers) {
            if (id != left) {
                it->crash(world.now);
                it->isReachable = false;
            }
        }
        world.run(12s);
        EXPECT_TRUE(isRunning(world, Standing)) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
