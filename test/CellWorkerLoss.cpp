#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

TEST(CellWorkerLoss, TasksOfAnUnreachableWorkerRunElsewhereAfterItsLeaseExpires)
{
    CellWorld world(1, 2);
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 2s;
    }
    world.submit(JobId("a"), makeChain(1, 8));
    world.run(500ms);
    world.workers.at("w0")->isReachable = false;
    world.run(15s);
    EXPECT_TRUE(world.isFinished(JobId("a")));
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
}

TEST(CellWorkerLoss, TasksOfABrieflyUnreachableWorkerContinue)
{
    CellWorld world(2, 2);
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 8s;
    }
    world.submit(JobId("a"), makeChain(1, 8));
    world.run(500ms);
    world.workers.at("w0")->isReachable = false;
    world.run(2500ms);
    world.workers.at("w0")->isReachable = true;
    world.run(7s);
    EXPECT_TRUE(world.isFinished(JobId("a")));
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
}

} // namespace
} // namespace firefly
