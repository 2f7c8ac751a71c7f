#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 5;
constexpr int WorkerCount = 2;
constexpr int JobCount = 12; ///< Fewer than the tasks that the workers run at once.
constexpr std::uint32_t TasksPerJob = 40;
/// Longest time that the platform tolerates without a run of an unfinished job, beside idle room.
constexpr Duration MaxIdleTime = 3s;

bool isAtWork(const CellWorld &world, const JobId &job)
{
    return std::ranges::any_of(world.audit.runningOn, [&job](const auto &it) {
        return it.first.job == job && !it.second.empty();
    });
}

/// Hands in more work than can be done before all of it is overdue; the longest time that an
/// unfinished job waits without a run from then on.
Duration longestIdleTime(CellWorld &world, const JobSpec &spec)
{
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 1500ms;
    }
    world.run(1s);
    std::map<JobId, TimePoint> lastAtWork;
    for (int i = 0; i < JobCount; ++i) {
        const JobId id("job" + std::to_string(i));
        world.submit(id, spec);
        lastAtWork[id] = TimePoint::max();
    }
    world.run(10s);
    Duration longest{};
    for (auto &[id, at] : lastAtWork) {
        at = world.now;
    }
    for (const TimePoint end = world.now + 60s; world.now < end; world.run(50ms)) {
        for (auto &[id, at] : lastAtWork) {
            at = world.isFinished(id) || isAtWork(world, id) ? world.now : at;
            longest = std::max(longest, world.now - at);
        }
    }
    for (const auto &[id, at] : lastAtWork) {
        EXPECT_TRUE(world.isFinished(id)) << id.value();
    }
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
    return longest;
}

// Guards against overdue jobs that starve while a few of them hold all idle processor time.
TEST(OverdueJobs, NoOverdueFillerWaitsForTheOthersToFinish)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, WorkerCount);
        JobSpec spec = makeChain(1, TasksPerJob);
        spec.steps.front().isFiller = true;
        EXPECT_LE(longestIdleTime(world, spec), MaxIdleTime) << seed;
    }
}

// Guards against the same among tasks that reserve capacity, with a second step.
TEST(OverdueJobs, NoOverdueJobWaitsForTheOthersToFinish)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, WorkerCount);
        EXPECT_LE(longestIdleTime(world, makeChain(2, TasksPerJob / 2)), MaxIdleTime) << seed;
    }
}

} // namespace
} // namespace firefly
