#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;
/// Longest validity of the leases of an owner that has resigned.
constexpr Duration LeasesAfterResignation = 5600ms;
/// From the begin of an owner until it has heard all workers that answer, and has started tasks.
constexpr Duration LocationTime = 500ms;

const TaskName Standing{JobId("standing"), 0, 0, 0};
const JobId Batch("batch");

std::string workerOf(const CellWorld &world, const TaskName &task)
{
    const auto it = world.audit.runningOn.find(task);
    return it == world.audit.runningOn.end() || it->second.empty() ? std::string()
                                                                   : *it->second.begin();
}

/// Ends the worker \a id, of which the platform's list tells at once.
void remove(CellWorld &world, const std::string &id)
{
    FakeCellWorker &worker = *world.workers.at(id);
    worker.crash(world.now);
    worker.isReachable = false;
    worker.isRegistered = false;
    world.owner->onWorkerGone(WorkerId(id), world.now);
}

/// Starts a long-running task and a batch task, which doesn't end, on workers of their own.
void startTasks(CellWorld &world)
{
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 60s;
    }
    world.run(500ms);
    JobSpec batch = makeChain(1, 1);
    batch.steps.front().demand.milliCpu = 8000;
    world.submit(Batch, batch);
    world.run(200ms);
    world.submit(Standing.job, makeLongRunning(1, 3000));
    world.run(500ms);
    ASSERT_TRUE(isRunning(world, Standing));
    ASSERT_NE(workerOf(world, Standing), workerOf(world, {Batch, 0, 0, 0}));
}

// A draining worker that left during a change of owner held back all tasks of the cell, also those
// that it can't run, until its lease was over.
TEST(TaskLocation, AWorkerThatLeftDuringTheChangeHoldsBackItsOwnTasksOnly)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed);
        startTasks(world);
        const TaskName held{Batch, 0, 0, 0};
        const std::string leaving = workerOf(world, held);
        // It has time enough for its task, so that the owner doesn't stop it.
        FakeCellWorker &worker = *world.workers.at(leaving);
        worker.isDraining = true;
        WorkerDescription info = worker.describe();
        info.remaining = 120s;
        world.owner->onWorkerListed(info, world.now);
        world.run(200ms);
        drain(world, workerOf(world, Standing));
        while (isRunning(world, Standing)) {
            world.step();
        }
        remove(world, leaving);
        const TimePoint changedAt = world.now;
        world.replaceOwner(world.now + LeasesAfterResignation);
        world.run(LocationTime);
        EXPECT_TRUE(isRunning(world, Standing)) << "seed " << seed;
        EXPECT_TRUE(world.owner->state().isLocating) << "seed " << seed;
        EXPECT_FALSE(isRunning(world, held)) << "seed " << seed;
        world.run(changedAt + LeasesAfterResignation + 1s - world.now);
        EXPECT_FALSE(world.owner->state().isLocating) << "seed " << seed;
        EXPECT_TRUE(isRunning(world, held)) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
