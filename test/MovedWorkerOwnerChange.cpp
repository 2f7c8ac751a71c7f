#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

#include <string>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;

/// Fills w0 to w2 with long tasks of one job, with w3 out of reach; returns the worker of the first
/// task.
std::string startJob(CellWorld &world)
{
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 8s;
    }
    world.workers.at("w3")->isReachable = false;
    world.run(500ms);
    world.submit(JobId("a"), makeChain(1, 24));
    world.run(500ms);
    return *world.audit.runningOn.at({JobId("a"), 0, 0, 0}).begin();
}

/// Gives the worker \a id another address; its earlier one is taken by a worker of another cell.
void changeAddress(CellWorld &world, const std::string &id)
{
    FakeCellWorker &worker = *world.workers.at(id);
    auto &other = world.workers["other"];
    other = std::make_unique<FakeCellWorker>("other", world.audit);
    other->endpoint = worker.endpoint;
    other->isRegistered = false;
    worker.endpoint.address = "10.0.1.1";
}

/// Restarts the worker \a id under its id at another address, of which the owner is told.
void restartElsewhere(CellWorld &world, const std::string &id)
{
    FakeCellWorker &worker = *world.workers.at(id);
    worker.reboot(world.now);
    changeAddress(world, id);
    world.owner->onWorkerListed(worker.describe(), world.now);
}

/// Replaces the owner, with w3 reachable again.  The next owner reads that \a moved is listed a
/// short time after the records.
void loseOwner(CellWorld &world, const std::string &moved)
{
    world.workers.at("w3")->isReachable = true;
    world.isStoreDown = false;
    FakeCellWorker &worker = *world.workers.at(moved);
    worker.isRegistered = false;
    world.replaceOwner(world.now + 9s);
    world.run(100ms);
    worker.isRegistered = true;
    world.owner->onWorkerListed(worker.describe(), world.now);
}

void expectNoViolation(CellWorld &world, std::uint32_t seed)
{
    world.run(40s);
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    EXPECT_TRUE(world.isFinished(JobId("a"))) << "seed " << seed;
}

// A task ran twice at the same time after its owner was lost: the first run was on a worker that
// had restarted under its id at another address, while its record named the earlier one.  There
// another worker answered the next owner, which took the first for gone.
TEST(MovedWorkerOwnerChange, ATaskDoesNotRunTwiceAfterItsWorkerHasMoved)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 4);
        const std::string moved = startJob(world);
        restartElsewhere(world, moved);
        world.run(2s);
        EXPECT_FALSE(world.workers.at(moved)->isIdle()) << "seed " << seed;
        loseOwner(world, moved);
        expectNoViolation(world, seed);
    }
}

// The same while the store takes no records.
TEST(MovedWorkerOwnerChange, AMovedWorkerGetsNoTasksBeforeItsNewAddressIsStored)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 4);
        const std::string moved = startJob(world);
        world.isStoreDown = true;
        restartElsewhere(world, moved);
        world.run(2s);
        EXPECT_TRUE(world.workers.at(moved)->isIdle()) << "seed " << seed;
        loseOwner(world, moved);
        expectNoViolation(world, seed);
    }
}

// A new owner that reads of another address before it has asked the worker must still wait for its
// answer, although the record of that address isn't stored yet.
TEST(MovedWorkerOwnerChange, ATaskDoesNotRunTwiceIfTheNextOwnerReadsOfTheMoveFirst)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 4);
        const std::string moved = startJob(world);
        world.run(500ms);
        changeAddress(world, moved);
        world.workers.at(moved)->isReachable = false;
        world.workers.at("w3")->isReachable = true;
        world.isStoreDown = true;
        world.replaceOwner(world.now + 9s);
        world.run(2s);
        world.workers.at(moved)->isReachable = true;
        world.run(2s);
        world.isStoreDown = false;
        expectNoViolation(world, seed);
    }
}

} // namespace
} // namespace firefly
