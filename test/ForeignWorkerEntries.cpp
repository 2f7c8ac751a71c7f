#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

#include <string>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 10;
constexpr int WorkerCount = 4;
constexpr int ForeignCount = 5;
/// From the begin of an owner until it has heard all workers that answer, and has started tasks.
constexpr Duration LocationTime = 500ms;
/// From the loss of a worker until its tasks run elsewhere: its lease, and the platform's bound for
/// the wait of a task beside room.
constexpr Duration MaxLossTime = 5200ms + 3s;

const TaskName Standing{JobId("standing"), 0, 0, 0};

/// Lists entries at whose addresses nothing ever answers.
void listForeignEntries(CellWorld &world)
{
    for (int i = 0; i < ForeignCount; ++i) {
        const std::string id = "foreign" + std::to_string(i);
        auto &worker = world.workers[id];
        worker = std::make_unique<FakeCellWorker>(id, world.audit);
        worker->endpoint.address = "10.0.9." + std::to_string(i + 1);
        worker->isReachable = false;
        world.owner->onWorkerListed(worker->describe(), world.now);
    }
}

std::string startTask(CellWorld &world)
{
    world.run(500ms);
    world.submit(Standing.job, makeLongRunning(1, 3000));
    world.run(500ms);
    return *world.audit.runningOn.at(Standing).begin();
}

// Entries that never answer made the owner take its own link for cut, so that it never released the
// tasks of a lost worker that the platform still lists.
TEST(ForeignWorkerEntries, TheTasksOfALostWorkerRunElsewhere)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, WorkerCount);
        listForeignEntries(world);
        const std::string lost = startTask(world);
        world.run(2s);
        world.workers.at(lost)->crash(world.now);
        world.workers.at(lost)->isReachable = false;
        world.run(MaxLossTime);
        EXPECT_TRUE(isRunning(world, Standing)) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// The same entries kept a new owner from ever ending the search for earlier tasks, so that those of
// later steps never started.
TEST(ForeignWorkerEntries, ANewOwnerDoesNotWaitForThem)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, WorkerCount);
        listForeignEntries(world);
        world.run(3s);
        world.submit(JobId("batch"), makeChain(2, 4));
        world.run(300ms);
        world.replaceOwner(world.now + 5600ms);
        world.run(LocationTime);
        EXPECT_FALSE(world.owner->state().isLocating) << "seed " << seed;
        world.run(3s);
        EXPECT_TRUE(world.isFinished(JobId("batch"))) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
