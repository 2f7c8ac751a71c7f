#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace firefly {
namespace {

using namespace std::chrono_literals;

// A long-running task that no worker can take must say in the log why, and how long it waited.
TEST(LongRunningTaskWait, AWaitingTaskIsLoggedWithItsObstacles)
{
    CellWorld world(1, 2);
    JobSpec spec = makeChain(1, 3);
    spec.steps.front().demand = {5000, 100, 0};
    spec.steps.front().isLongRunning = true;
    world.submit(JobId("standing"), spec);
    world.run(3s);
    const auto first = std::ranges::find_if(
        world.decisions, [](const LogDecision &it) { return it.task.job == JobId("standing"); });
    ASSERT_NE(first, world.decisions.end());
    EXPECT_STREQ(first->message, "long-running task waits");
    EXPECT_NE(
        first->detail.find("cpu=5000 memory_mb=100 free_cpu=6000 largest_free_cpu=3000 full=2"),
        std::string::npos)
        << first->detail;
}

} // namespace
} // namespace firefly
