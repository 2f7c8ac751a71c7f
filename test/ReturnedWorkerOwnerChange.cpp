#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;
/// Longer than a worker that isn't listed any more keeps its lease.
constexpr Duration LeaseTime = 8s;

void list(CellWorld &world, FakeCellWorker &worker)
{
    worker.isRegistered = true;
    world.owner->onWorkerListed(worker.describe(), world.now);
}

void unlist(CellWorld &world, FakeCellWorker &worker)
{
    worker.isRegistered = false;
    world.owner->onWorkerGone(worker.describe().id, world.now);
}

/// Starts a job for whose last tasks only w1, which isn't listed, would have room.
void fillWorkers(CellWorld &world)
{
    world.run(500ms);
    unlist(world, *world.workers.at("w1"));
    world.workers.at("w2")->isReachable = false;
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 30s;
    }
    world.run(LeaseTime);
    world.submit(JobId("a"), makeChain(1, 12));
    world.run(500ms);
    ASSERT_TRUE(world.accepted.contains("a"));
    ASSERT_FALSE(world.store.contains("ww1"));
}

// A task ran twice at the same time after its owner was lost: the first run was on a worker that
// had left and come back while the store answered late.  Its new record waited behind the deletion
// of the earlier one, which counted as the record.
TEST(ReturnedWorkerOwnerChange, ATaskDoesNotRunTwiceAfterTheRecordOfItsWorkerWasDeleted)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 3);
        fillWorkers(world);
        FakeCellWorker &worker = *world.workers.at("w1");

        // The record waits behind the job, and the deletion takes its place.
        world.isStoreDown = true;
        world.submit(JobId("b"), makeChain(1, 1));
        world.run(100ms);
        list(world, worker);
        world.run(100ms);
        unlist(world, worker);
        world.run(LeaseTime);
        ASSERT_FALSE(world.owner->state().workers.contains("w1"));

        // The worker is back while the deletion is being stored.
        world.isStoreDown = false;
        while (world.owner->journal().waitingRecords() > 0) {
            world.step();
        }
        ASSERT_FALSE(world.owner->journal().isIdle());
        list(world, worker);
        while (world.owner->journal().waitingRecords() > 0) {
            world.step();
        }
        world.isStoreDown = true;
        world.run(1s);
        EXPECT_TRUE(worker.isIdle()) << "seed " << seed;

        world.isStoreDown = false;
        world.workers.at("w2")->isReachable = true;
        worker.isRegistered = false;
        world.replaceOwner(world.now + 9s);
        world.run(100ms);
        list(world, worker);
        world.run(60s);
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
        EXPECT_TRUE(world.isFinished(JobId("a"))) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
