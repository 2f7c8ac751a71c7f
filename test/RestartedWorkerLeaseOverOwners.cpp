#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;
const TaskName Task{JobId("a"), 0, 0, 0};

/// Restarts the only worker, which then gets the renewals that its link has held since before, and
/// starts a long task there under the owner that has heard of the restart.
void startAfterHeldRenewals(CellWorld &world)
{
    world.bounds.maxLease = 10s;
    world.replaceOwner(world.now);
    FakeCellWorker &worker = *world.workers.at("w0");
    worker.maxLease = 10s;
    worker.workTime = 30s;
    world.keepsOrdersOverRestarts = true;
    world.run(10s);
    world.holdOrders("w0", true);
    world.run(2500ms);
    world.restartWorker("w0");
    world.releaseOrders("w0", true);
    world.submit(JobId("a"), makeChain(1, 1));
    while (!isRunning(world, Task)) {
        world.step();
    }
}

/// Cuts the worker off and ends its owner; another worker joins for the task.
void loseWorkerAndOwner(CellWorld &world)
{
    world.workers.at("w0")->isReachable = false;
    world.joinWorker(0ms);
    world.loseOwner(500ms);
}

/// Expects that the task has run on both workers, one after the other.
void expectOneRunAtATime(CellWorld &world, std::uint32_t seed)
{
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(world.audit.startedOn[Task], (std::vector<std::string>{"w0", "n1"}))
        << "seed " << seed;
}

// Guards against two runs of a task at the same time: a renewal by the clock of a worker's former
// life grants its next life the longest lease, and the next owner waited only for the shorter one
// that owners ask for.
TEST(RestartedWorkerLeaseOverOwners, ATaskDoesNotRunTwiceAfterTheLossOfItsOwner)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 1);
        startAfterHeldRenewals(world);
        loseWorkerAndOwner(world);
        world.run(16s);
        expectOneRunAtATime(world, seed);
    }
}

// The same if a second owner, which never reaches the worker, is lost as well.
TEST(RestartedWorkerLeaseOverOwners, ATaskDoesNotRunTwiceAfterTheLossOfTwoOwners)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 1);
        startAfterHeldRenewals(world);
        loseWorkerAndOwner(world);
        world.run(1500ms);
        world.loseOwner(500ms);
        world.run(20s);
        expectOneRunAtATime(world, seed);
    }
}

// Guards against a wait that outlasts the longest lease, which would leave the task without a run.
TEST(RestartedWorkerLeaseOverOwners, TheWaitEndsWithTheLongestLease)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 1);
        startAfterHeldRenewals(world);
        world.run(11s); // Longer than the lease of before; the worker stays in touch.
        loseWorkerAndOwner(world);
        world.run(7500ms);
        expectOneRunAtATime(world, seed);
    }
}

} // namespace
} // namespace firefly
