#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;

// Guards against ends of runs that no owner acknowledges: each change of owner gave a start that
// had no answer its whole lifetime anew, and no end is acknowledged beside it.
TEST(OpenStartsOverOwners, AnOpenStartEndsThoughOwnersChange)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 1);
        FakeCellWorker &worker = *world.workers.at("w0");
        worker.workTime = 4s;
        world.submit(JobId("a"), makeChain(1, 1));
        while (!isRunning(world, {JobId("a"), 0, 0, 0})) {
            world.step();
        }
        world.holdOrders("w0", false);
        world.submit(JobId("b"), makeChain(1, 1));
        world.run(200ms);
        world.loseOwner(300ms);
        world.run(1s);
        world.owner->cancel(JobId("b"), world.now, world.unixMs(), [](CellScheduler::Verdict) {});
        world.run(5s);
        EXPECT_TRUE(worker.hasEndedRuns()) << "seed " << seed;
        for (int i = 0; i < 8; ++i) {
            world.replaceOwner(world.now);
            world.run(3s);
        }
        EXPECT_FALSE(worker.hasEndedRuns()) << "seed " << seed;
    }
}

// Guards against a worker that is filled beyond its capacity: the next owner gives away the room of
// a cancelled job's start that a later incarnation of the worker then carries out.
TEST(OpenStartsOverOwners, TheRoomOfACancelledStartStaysFree)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 1);
        world.keepsOrdersOverRestarts = true;
        const auto capacity = world.workers.at("w0")->capacity.milliCpu;
        const auto count = static_cast<std::uint32_t>(capacity / 1000);
        world.run(500ms);
        world.holdOrders("w0", false);
        world.submit(JobId("a"), makeChain(1, count));
        world.run(100ms);
        world.owner->cancel(JobId("a"), world.now, world.unixMs(), [](CellScheduler::Verdict) {});
        world.run(100ms);
        world.loseOwner(300ms);
        world.run(1500ms);
        world.submit(JobId("b"), makeChain(1, count));
        world.run(1s);
        world.restartWorker("w0");
        world.releaseOrders("w0", false);
        world.run(20s);
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
        EXPECT_TRUE(world.isFinished(JobId("b"))) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
