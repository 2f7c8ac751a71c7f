#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// Longest validity of the leases of an owner that has resigned.
constexpr Duration LeasesAfterResignation = 5600ms;

const TaskName Task{JobId("standing"), 0, 0, 0};

const TaskName LostTask{JobId("standing"), 0, 0, 1};

std::string workerOf(const CellWorld &world, const TaskName &task)
{
    const auto &workers = world.audit.runningOn.at(task);
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
    drain(world, workerOf(world, Task));
    while (isRunning(world, Task)) {
        world.step();
    }
    world.replaceOwner(world.now + LeasesAfterResignation);
}

/// Starts two long-running tasks on workers of their own.
void startTask(CellWorld &world)
{
    world.run(500ms);
    world.submit(Task.job, makeSpreadLongRunning(2, 3000));
    world.run(1s);
}

// What an unreachable worker may still run ends with the leases of the last owner that reached it,
// however many owners follow.
TEST(UnreachableWorkerOwnerChanges, ATaskRunsAgainOverChangesOfOwnerAfterAWorkerHasCrashed)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        CellWorld world(seed);
        startTask(world);
        remove(world, workerOf(world, LostTask));
        displaceAtResignation(world);
        for (int i = 0; i < 4; ++i) {
            world.run(3s);
            world.replaceOwner(world.now + LeasesAfterResignation);
        }
        world.run(1s);
        EXPECT_TRUE(isRunning(world, Task)) << "seed " << seed;
        EXPECT_TRUE(isRunning(world, LostTask)) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
    }
}

} // namespace
} // namespace firefly
