#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// Longest time that the platform tolerates without a run of a long-running task.
constexpr Duration MaxDowntime = 6s;

JobSpec makeLongRunning(std::uint32_t count, std::int64_t milliCpu)
{
    JobSpec spec = makeChain(1, count);
    spec.steps.front().demand = {milliCpu, 100, 0};
    spec.steps.front().isLongRunning = true;
    return spec;
}

bool isRunning(const CellWorld &world, const TaskName &task)
{
    const auto it = world.audit.runningOn.find(task);
    return it != world.audit.runningOn.end() && !it->second.empty();
}

bool isRunningOn(const CellWorld &world, const TaskName &task, const std::string &worker)
{
    const auto it = world.audit.runningOn.find(task);
    return it != world.audit.runningOn.end() && it->second.contains(worker);
}

void drain(CellWorld &world, const std::string &worker)
{
    world.workers.at(worker)->isDraining = true;
    world.owner->onWorkerListed(world.workers.at(worker)->describe(), world.now);
}

// The members of a long-running gang are long-running tasks as well.
TEST(StarvationWithoutReservation, AGangOfADrainedWorkerRunsAgainBesideABacklogOfSmallTasks)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        CellWorld world(seed, 3);
        world.workers.at("w0")->capacity = {12000, 64000, 0};
        world.replaceOwner(world.now);
        world.run(500ms);
        JobSpec gang = makeLongRunning(2, 6000);
        gang.steps.front().isGang = true;
        world.submit(JobId("gang"), gang);
        world.run(1s);
        JobSpec batch = makeChain(1, 200);
        batch.steps.front().demand.milliCpu = 2000;
        world.submit(JobId("batch"), batch);
        std::uniform_int_distribution<int> workMs(500, 1500);
        const auto runVaried = [&](Duration span) {
            for (const TimePoint end = world.now + span; world.now < end; world.run(20ms)) {
                for (auto &[id, worker] : world.workers) {
                    worker->workTime = std::chrono::milliseconds(workMs(world.random));
                }
            }
        };
        runVaried(2s);
        ASSERT_TRUE(isRunning(world, {JobId("gang"), 0, 0, 0}));
        ASSERT_TRUE(isRunning(world, {JobId("gang"), 0, 0, 1}));
        for (auto &[id, worker] : world.workers) {
            if (!isRunningOn(world, {JobId("gang"), 0, 0, 0}, id)) {
                continue;
            }
            drain(world, id);
        }
        runVaried(MaxDowntime);
        EXPECT_FALSE(world.isFinished(JobId("batch")));
        EXPECT_TRUE(isRunning(world, {JobId("gang"), 0, 0, 0})) << "seed " << seed;
    }
}

// A large batch task of the first priority must not starve beside smaller ones of the next.
TEST(StarvationWithoutReservation, ALargeBatchTaskRunsBesideABacklogOfSmallTasks)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        CellWorld world(seed, 3);
        world.run(500ms);
        JobSpec backlog = makeChain(1, 400);
        backlog.steps.front().demand.milliCpu = 2000;
        world.submit(JobId("backlog"), backlog);
        std::uniform_int_distribution<int> workMs(500, 1500);
        const auto runVaried = [&](Duration span) {
            for (const TimePoint end = world.now + span; world.now < end; world.run(20ms)) {
                for (auto &[id, worker] : world.workers) {
                    worker->workTime = std::chrono::milliseconds(workMs(world.random));
                }
            }
        };
        runVaried(2s);
        JobSpec large = makeChain(1, 1);
        large.steps.front().demand.milliCpu = 8000;
        large.policy.priority = 0;
        world.submit(JobId("big"), large);
        runVaried(15s);
        EXPECT_FALSE(world.isFinished(JobId("backlog")));
        EXPECT_TRUE(world.isFinished(JobId("big"))) << "seed " << seed;
    }
}

// Best-effort tasks must not keep the memory that a displaced long-running task needs.
TEST(StarvationWithoutReservation, FillersMakeWayForATaskOfADrainedWorker)
{
    CellWorld world(1, 3);
    world.run(500ms);
    JobSpec displaced = makeLongRunning(1, 3000);
    displaced.steps.front().demand.memoryMb = 40000;
    world.submit(JobId("displaced"), displaced);
    world.run(500ms);
    JobSpec fillers = makeChain(1, 6);
    fillers.steps.front().demand = {500, 30000, 0};
    fillers.steps.front().isFiller = true;
    fillers.steps.front().estimateMs = 60000;
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 60s;
    }
    world.submit(JobId("fillers"), fillers);
    world.run(1s);
    for (auto &[id, worker] : world.workers) {
        ASSERT_FALSE(worker->isIdle());
    }
    for (auto &[id, worker] : world.workers) {
        if (isRunningOn(world, {JobId("displaced"), 0, 0, 0}, id)) {
            drain(world, id);
        }
    }
    world.run(MaxDowntime);
    EXPECT_TRUE(isRunning(world, {JobId("displaced"), 0, 0, 0}));
}

} // namespace
} // namespace firefly
