#pragma once

#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <string_view>

namespace firefly {

/// Longest time that the platform tolerates without a run of a long-running task.
constexpr Duration MaxDowntime = std::chrono::seconds(6);

/// A job of \a count long-running tasks.
inline JobSpec makeLongRunning(std::uint32_t count, std::int64_t milliCpu)
{
    JobSpec spec = makeChain(1, count);
    spec.steps.front().demand = {milliCpu, 100, 0};
    spec.steps.front().isLongRunning = true;
    return spec;
}

/// The same, with each task on a worker of its own.
inline JobSpec makeSpreadLongRunning(std::uint32_t count, std::int64_t milliCpu)
{
    JobSpec spec = makeLongRunning(count, milliCpu);
    spec.steps.front().maxPerWorker = 1;
    return spec;
}

inline bool isRunning(const CellWorld &world, const TaskName &task)
{
    const auto it = world.audit.runningOn.find(task);
    return it != world.audit.runningOn.end() && !it->second.empty();
}

inline bool isRunningOn(const CellWorld &world, const TaskName &task, const std::string &worker)
{
    const auto it = world.audit.runningOn.find(task);
    return it != world.audit.runningOn.end() && it->second.contains(worker);
}

inline void drain(CellWorld &world, const std::string &worker)
{
    world.workers.at(worker)->isDraining = true;
    world.owner->onWorkerListed(world.workers.at(worker)->describe(), world.now);
}

/// Moves that the Defragmenter has ordered.
inline int countMoves(const CellWorld &world)
{
    return static_cast<int>(std::ranges::count_if(world.decisions, [](const LogDecision &it) {
        return std::string_view(it.message) == "task moves";
    }));
}

/// Leaves 3000 free on each of w1, w2 and w3, beside a large and a small long-running task, so that
/// the move of one small task makes room for a task of 5000.
inline void fillEvenly(CellWorld &world)
{
    world.submit(JobId("large"), makeSpreadLongRunning(3, 3000));
    // Batch tasks that take the room of a second small task on each worker, for two seconds.
    JobSpec blocker = makeChain(1, 3);
    blocker.steps.front().demand.milliCpu = 3000;
    blocker.steps.front().maxPerWorker = 1;
    for (auto &[id, worker] : world.workers) {
        worker->workTime = std::chrono::seconds(2);
    }
    world.submit(JobId("blocker"), blocker);
    world.run(std::chrono::milliseconds(500));
    for (int i = 0; i < 3; ++i) {
        world.submit(JobId("small" + std::to_string(i)), makeLongRunning(1, 2000));
    }
    world.run(std::chrono::seconds(3));
    ASSERT_TRUE(world.isFinished(JobId("blocker")));
}

/// Advances the simulated time by \a span; batch tasks that start meanwhile end one by one.
inline void runWithVariedWork(CellWorld &world, Duration span)
{
    constexpr Duration Slice = std::chrono::milliseconds(20);
    std::uniform_int_distribution<int> workMs(500, 1500);
    for (const TimePoint end = world.now + span; world.now < end;) {
        for (auto &[id, worker] : world.workers) {
            worker->workTime = std::chrono::milliseconds(workMs(world.random));
        }
        world.run(Slice);
    }
}

} // namespace firefly
