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

// Guards against tasks that wait out the lease of a worker that is known to have crashed.
TEST(CellWorkerLoss, TasksStartAgainOnceAnotherIncarnationAnswers)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        CellWorld world(seed, 2);
        for (auto &[id, worker] : world.workers) {
            worker->workTime = 20s;
        }
        world.run(1s);
        world.submit(JobId("a"), makeChain(1, 8));
        world.run(1s);
        world.crashWorker("w0", 1s);
        world.run(2500ms); // The downtime, and the longest backoff of renewals.
        for (std::uint32_t i = 0; i < 8; ++i) {
            EXPECT_EQ((world.audit.runningOn[{JobId("a"), 0, 0, i}].size()), 1U) << seed;
        }
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << seed;
    }
}

// Guards against a new owner that waits for the lease of a worker that is known to have crashed.
TEST(CellWorkerLoss, ANewOwnerDoesNotWaitForACrashedWorker)
{
    CellWorld world(1, 2);
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 20s;
    }
    world.run(1s);
    world.submit(JobId("a"), makeChain(1, 8));
    world.run(1s);
    world.crashWorker("w0", 1s);
    world.replaceOwner(world.now + 20s);
    world.run(2500ms);
    for (std::uint32_t i = 0; i < 8; ++i) {
        EXPECT_EQ((world.audit.runningOn[{JobId("a"), 0, 0, i}].size()), 1U);
    }
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
}

} // namespace
} // namespace firefly
