#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// Runs until a report of the worker has come and the next renewal is due.
void runToNextRenewal(CellWorld &world)
{
    const CellWorker &worker = *world.owner->state().workers.at("w0");
    while (!worker.isRenewing) {
        world.step();
    }
    while (worker.isRenewing) {
        world.step();
    }
}

// Guards against the acknowledgement of an end that the new incarnation of a worker has numbered
// like one of the earlier incarnation, and that no report has listed.
TEST(RestartedWorkerAcknowledgement, ARenewalAfterAListedRestartAcknowledgesNothing)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        CellWorld world(seed, 1);
        FakeCellWorker &worker = *world.workers.at("w0");
        worker.workTime = 300ms;
        world.run(1s);
        world.submit(JobId("before"), makeChain(1, 4));
        world.run(2s);
        ASSERT_TRUE(world.isFinished(JobId("before"))) << seed;
        runToNextRenewal(world);
        worker.reboot(world.now);
        world.owner->onWorkerListed(worker.describe(), world.now);
        world.submit(JobId("after"), makeChain(1, 4));
        world.run(5s);
        EXPECT_TRUE(world.isFinished(JobId("after"))) << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << seed;
    }
}

// Guards against a renewal that is under way while its worker restarts: it acknowledges ends of the
// new incarnation that no report has listed, and the tasks start again.
TEST(RestartedWorkerAcknowledgement, ARenewalOfBeforeARestartAcknowledgesNothing)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        CellWorld world(seed, 1);
        world.keepsOrdersOverRestarts = true;
        FakeCellWorker &worker = *world.workers.at("w0");
        worker.workTime = 300ms;
        world.run(1s);
        world.submit(JobId("before"), makeChain(1, 4));
        world.run(2s);
        ASSERT_TRUE(world.isFinished(JobId("before"))) << seed;
        runToNextRenewal(world);
        worker.isLateUntil = world.now + 100ms;
        world.run(1200ms);
        worker.reboot(world.now);
        world.owner->onWorkerListed(worker.describe(), world.now);
        world.run(200ms);
        world.submit(JobId("after"), makeChain(1, 4));
        world.run(150ms);
        worker.isReachable = false; // Until the late renewal has arrived.
        world.run(1s);
        worker.isReachable = true;
        world.run(8s);
        EXPECT_TRUE(world.isFinished(JobId("after"))) << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << seed;
    }
}

} // namespace
} // namespace firefly
