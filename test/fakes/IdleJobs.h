#pragma once

#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

/// Batch jobs that wait for a run, and the times that the platform tolerates.
namespace firefly::idle {

using namespace std::chrono_literals;

inline constexpr std::uint32_t SeedCount = 5;
inline constexpr int WorkerCount = 2;
/// Longest time that the platform tolerates without a run of an unfinished job, beside room for its
/// tasks twice over.
inline constexpr Duration MaxIdleTime = 3s;
/// From the last submission until the platform begins to look for such jobs.
inline constexpr Duration FinishTime = 14s;

inline JobSpec makeFillers(std::uint32_t count, std::int64_t milliCpu = 1000, int priority = 1)
{
    JobSpec spec = makeChain(1, count);
    spec.steps.front().isFiller = true;
    spec.steps.front().demand.milliCpu = milliCpu;
    spec.policy.priority = priority;
    return spec;
}

/// Fillers that can be in time for as long as the tests last.
inline JobSpec makeFillersInTime(std::uint32_t count)
{
    JobSpec spec = makeFillers(count);
    spec.steps.front().estimateMs = 30'000;
    return spec;
}

inline JobSpec makeGang(JobSpec spec)
{
    spec.steps.front().isGang = true;
    return spec;
}

inline void submitMany(CellWorld &world, const std::string &prefix, int count, const JobSpec &spec)
{
    for (int i = 0; i < count; ++i) {
        world.submit(JobId(prefix + std::to_string(i)), spec);
    }
}

inline void setWorkTime(CellWorld &world, Duration workTime)
{
    for (auto &[id, worker] : world.workers) {
        worker->workTime = workTime;
    }
}

/// Advances the simulated time by \a span; tasks that start meanwhile end one by one.
inline void runWithVariedWork(CellWorld &world, Duration span)
{
    std::uniform_int_distribution<int> workMs(1000, 2000);
    for (const TimePoint end = world.now + span; world.now < end;) {
        for (auto &[id, worker] : world.workers) {
            worker->workTime = std::chrono::milliseconds(workMs(world.random));
        }
        world.step();
    }
}

/// Measures for how long jobs have no run though the platform expects one.
class IdleTimes
{
public:
    explicit IdleTimes(CellWorld &world)
        : m_world(world)
    {}

    /// Advances the simulated time by \a span.
    void run(Duration span)
    {
        for (const TimePoint end = m_world.now + span; m_world.now < end;) {
            runWithVariedWork(m_world, 50ms);
            for (const std::string &it : m_world.accepted) {
                update(JobId(it));
            }
        }
    }

    Duration longestOf(const std::string &job) const
    {
        const auto it = m_longest.find(job);
        return it == m_longest.end() ? Duration{} : it->second;
    }

    Duration longest() const
    {
        Duration longest{};
        for (const auto &[job, duration] : m_longest) {
            longest = std::max(longest, duration);
        }
        return longest;
    }

private:
    void update(const JobId &job)
    {
        TimePoint &since = m_idleSince.try_emplace(job.value(), m_world.now).first->second;
        if (m_world.isFinished(job) || isAtWork(job) || !hasRoom(job)) {
            since = m_world.now;
        }
        Duration &longest = m_longest[job.value()];
        longest = std::max(longest, m_world.now - since);
    }

    bool isAtWork(const JobId &job) const
    {
        return std::ranges::any_of(m_world.audit.runningOn, [&job](const auto &it) {
            return it.first.job == job && !it.second.empty();
        });
    }

    /// By reservations: room twice over for a task of the job's first step, or for the whole gang,
    /// with under half of the processors in use.
    bool hasRoom(const JobId &job) const
    {
        const StepSpec &step = m_world.audit.specs.at(job.value()).steps.front();
        const std::int64_t wanted = 2 * std::int64_t{step.isGang ? step.taskCount : 1};
        std::int64_t capacity = 0;
        std::int64_t reserved = 0;
        std::int64_t fitting = 0;
        for (const auto &[id, worker] : m_world.workers) {
            const auto used = m_world.audit.used.find(id);
            const std::int64_t usedCpu =
                used == m_world.audit.used.end() ? 0 : used->second.milliCpu;
            capacity += worker->capacity.milliCpu;
            reserved += usedCpu;
            fitting += (worker->capacity.milliCpu - usedCpu) / step.demand.milliCpu;
        }
        return fitting >= wanted && 2 * reserved < capacity;
    }

    CellWorld &m_world;
    std::map<std::string, TimePoint> m_idleSince;
    std::map<std::string, Duration> m_longest;
};

/// Longest idle time of the job \a id, or of any job if it is empty, from FinishTime on.  All jobs
/// have just been submitted.
inline Duration idleTimeAtFinish(CellWorld &world, const std::string &id = "")
{
    runWithVariedWork(world, FinishTime);
    IdleTimes times(world);
    times.run(15s);
    return id.empty() ? times.longest() : times.longestOf(id);
}

/// Calls \a body(world) for each seed.
template <typename Body>
void forEachSeed(const Body &body)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        CellWorld world(seed, WorkerCount);
        world.areGangsSynchronized = true;
        world.run(1s);
        body(world);
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
    }
}

} // namespace firefly::idle
