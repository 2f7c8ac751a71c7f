#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// Longest validity of the leases of an owner that has resigned.
constexpr Duration LeasesAfterResignation = 5600ms;

const TaskName Task{JobId("standing"), 0, 0, 0};

std::string workerOf(const CellWorld &world)
{
    const auto &workers = world.audit.runningOn.at(Task);
    return workers.empty() ? std::string() : *workers.begin();
}

/// Ends a worker of the platform's list, with its process.
void remove(CellWorld &world, const std::string &id)
{
    FakeCellWorker &worker = *world.workers.at(id);
    worker.crash(world.now);
    worker.isRegistered = false;
    world.owner->onWorkerGone(WorkerId(id), world.now);
}

/// Drains the worker of the task; the owner resigns as soon as the task has stopped.
void displaceAtResignation(CellWorld &world)
{
    drain(world, workerOf(world));
    while (isRunning(world, Task)) {
        world.step();
    }
    world.replaceOwner(world.now + LeasesAfterResignation);
}

/// Starts the long-running task on one of the workers.
void startTask(CellWorld &world)
{
    world.run(500ms);
    world.submit(Task.job, makeLongRunning(1, 3000));
    world.run(1s);
}

// A worker that has left after it was drained must not delay the next owners: nothing ran there.
TEST(DepartedWorkerRecord, ATaskRunsAgainOverChangesOfOwnerAfterAnIdleWorkerHasLeft)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        CellWorld world(seed);
        startTask(world);
        const std::string idle = workerOf(world) == "w0" ? "w1" : "w0";
        drain(world, idle);
        world.run(1s);
        ASSERT_TRUE(world.workers.at(idle)->isIdle());
        remove(world, idle);
        world.run(3s);
        displaceAtResignation(world);
        world.run(3s);
        world.replaceOwner(world.now + LeasesAfterResignation);
        world.run(MaxDowntime - 3s);
        EXPECT_TRUE(isRunning(world, Task)) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
    }
}

} // namespace
} // namespace firefly
