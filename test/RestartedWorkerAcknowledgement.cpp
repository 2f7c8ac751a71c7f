#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

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
        // Between a report and the next renewal.
        while (!world.owner->state().workers.at("w0")->isRenewing) {
            world.step();
        }
        while (world.owner->state().workers.at("w0")->isRenewing) {
            world.step();
        }
        worker.reboot(world.now);
        world.owner->onWorkerListed(worker.describe(), world.now);
        world.submit(JobId("after"), makeChain(1, 4));
        world.run(5s);
        EXPECT_TRUE(world.isFinished(JobId("after"))) << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << seed;
    }
}

} // namespace
} // namespace firefly
