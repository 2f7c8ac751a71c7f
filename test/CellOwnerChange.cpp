#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

TEST(CellOwnerChange, ANewOwnerKeepsWhatRuns)
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        CellWorld world(seed);
        for (auto &[id, worker] : world.workers) {
            worker->workTime = 5s;
        }
        world.submit(JobId("a"), makeChain(1, 8));
        world.run(1s + seed * 5ms);
        world.newOwner(world.now + 9s);
        world.run(10s);
        EXPECT_TRUE(world.isFinished(JobId("a")));
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
    }
}

TEST(CellOwnerChange, FailuresCountInWhateverOrderTheyAreHeardOf)
{
    CellWorld world(2);
    for (auto &[id, worker] : world.workers) {
        worker->failsNext = true;
        worker->workTime = 300ms;
    }
    world.submit(JobId("a"), makeChain(1, 1));
    world.run(100ms);
    world.isStoreDown = true;
    world.run(6s);
    world.isStoreDown = false;
    world.newOwner(world.now + 9s);
    world.run(12s);
    EXPECT_TRUE(world.isFinished(JobId("a")));
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
}

TEST(CellOwnerChange, AnUnreachableWorkerHoldsBackOnlyUnlocatedTasks)
{
    CellWorld world(3);
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 20s;
    }
    world.submit(JobId("a"), makeChain(1, 8));
    world.run(1s);
    world.workers.at("w0")->isReachable = false;
    world.newOwner(world.now + 9s);
    world.submit(JobId("b"), makeChain(1, 1));
    world.run(2s);
    EXPECT_EQ(world.owner->stateOf(JobId("b")), JobState::Running);
    world.run(40s);
    EXPECT_TRUE(world.isFinished(JobId("a")));
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
}

} // namespace
} // namespace firefly
