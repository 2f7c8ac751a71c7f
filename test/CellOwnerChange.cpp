#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

TEST(CellOwnerChange, ANewOwnerKeepsRunningTasks)
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        CellWorld world(seed);
        for (auto &[id, worker] : world.workers) {
            worker->workTime = 5s;
        }
        world.submit(JobId("a"), makeChain(1, 8));
        world.run(1s + seed * 5ms);
        world.replaceOwner(world.now + 9s);
        world.run(10s);
        EXPECT_TRUE(world.isFinished(JobId("a")));
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
    }
}

TEST(CellOwnerChange, UnrecordedFailuresStillEndTheJobAtTheNextOwner)
{
    CellWorld world(2);
    for (auto &[id, worker] : world.workers) {
        worker->hasFailingRuns = true;
        worker->workTime = 300ms;
    }
    world.submit(JobId("a"), makeChain(1, 1));
    world.run(100ms);
    world.isStoreDown = true;
    world.run(6s);
    world.isStoreDown = false;
    world.replaceOwner(world.now + 9s);
    world.run(12s);
    EXPECT_TRUE(world.isFinished(JobId("a")));
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
}

TEST(CellOwnerChange, AnUnreachableWorkerDelaysOnlyUnlocatedTasks)
{
    CellWorld world(3);
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 20s;
    }
    world.submit(JobId("a"), makeChain(1, 8));
    world.run(1s);
    world.workers.at("w0")->isReachable = false;
    world.replaceOwner(world.now + 9s);
    world.submit(JobId("b"), makeChain(1, 1));
    world.run(2s);
    EXPECT_EQ(world.owner->stateOf(JobId("b")), JobState::Running);
    world.run(40s);
    EXPECT_TRUE(world.isFinished(JobId("a")));
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
}

TEST(CellOwnerChange, ALateOwnerAsksWorkersBeforeItRestartsTheirTasks)
{
    CellWorld world(5);
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 4s;
    }
    world.submit(JobId("a"), makeChain(1, 8));
    world.run(500ms);
    world.replaceOwner(world.now - 1s);
    world.run(10s);
    EXPECT_TRUE(world.isFinished(JobId("a")));
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
}

TEST(CellOwnerChange, AFailureReportedAfterALaterRunStillCounts)
{
    CellWorld world(4, 2);
    JobSpec spec = makeChain(1, 1);
    spec.policy.maxAttempts = 2;
    world.workers.at("w0")->hasFailingRuns = true;
    world.workers.at("w1")->hasFailingRuns = true;
    world.workers.at("w0")->workTime = 300ms;
    world.workers.at("w1")->workTime = 3s;
    world.submit(JobId("a"), spec);
    world.run(200ms);
    world.isStoreDown = true;
    // The first run fails on w0; the second one starts on w1 or again on w0.
    world.workers.at("w0")->workTime = 3s;
    world.run(1s);
    const bool isSecondOnW1 = !world.workers.at("w1")->isIdle();
    world.workers.at(isSecondOnW1 ? "w0" : "w1")->isReachable = false;
    world.isStoreDown = false;
    world.replaceOwner(world.now + 9s);
    world.run(500ms);
    world.workers.at("w0")->isReachable = true;
    world.workers.at("w1")->isReachable = true;
    world.run(20s);
    EXPECT_EQ(world.owner->stateOf(JobId("a")), JobState::Failed);
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
}

// After a restart the records name workers that may have left meanwhile; only the platform's list
// tells that they may get work.
TEST(CellOwnerChange, ANewOwnerStartsNothingOnAWorkerThatIsNoLongerListed)
{
    CellWorld world(1, 1);
    world.submit(JobId("a"), makeChain(1, 1));
    world.run(50ms);
    CellScheduler owner{CellBounds()};
    owner.beginOwnership(9, world.now, world.now);
    for (const auto &[key, value] : world.store) {
        owner.restore(key, value);
    }
    owner.finishRestore(world.now, world.unixMs());
    for (int i = 0; i < 200; ++i) {
        world.now += 20ms;
        owner.setOrdersUntil(world.now + 5s);
        owner.tick(world.now, world.unixMs());
        for (const CellAction &it : owner.takeActions()) {
            EXPECT_FALSE(std::holds_alternative<StartTask>(it));
            if (const auto *renewal = std::get_if<RenewLease>(&it)) {
                LeaseReport report;
                report.clockMs = 1000 + 20 * i;
                report.fence = renewal->fence;
                owner.onLeaseReport(renewal->worker, OrderOutcome::Accepted, report, world.now,
                                    world.now, world.unixMs());
            }
        }
    }
}

} // namespace
} // namespace firefly
