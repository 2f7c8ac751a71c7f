#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <span>
#include <utility>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 10;
constexpr int WorkerCount = 12;
constexpr Duration Day = 120s;
/// Outlasts a lease.
constexpr Duration SilentTime = 7500ms;
const TaskName Task{JobId("standing"), 0, 0, 0};

/// Runs a long-running task, calls \a onStep in each step with the workers that have just started
/// it, and expects that its job isn't given up.  The number of its runs.
std::size_t
expectStandingJobSurvives(std::uint32_t seed, CellWorld &world,
                          const std::function<void(std::span<const std::string>)> &onStep)
{
    world.run(1s);
    world.submit(Task.job, makeLongRunning(1, 1000));
    const std::vector<std::string> &starts = world.audit.startedOn[Task];
    std::size_t handled = 0;
    for (const TimePoint end = world.now + Day; world.now < end;) {
        world.step();
        onStep(std::span(starts).subspan(std::exchange(handled, starts.size())));
    }
    EXPECT_NE(world.owner->stateOf(Task.job), JobState::Failed) << seed;
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << seed;
    return starts.size();
}

// Guards against a job that is failed because its workers answer late: no worker has crashed.
TEST(SilentWorkerLoss, AStandingJobOutlivesWorkersThatAnswerLateAfterEachStart)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, WorkerCount);
        for (auto &[id, worker] : world.workers) {
            worker->lateAfterStart = SilentTime;
        }
        EXPECT_GT(expectStandingJobSurvives(seed, world, [](auto) {}), 8U) << seed;
    }
}

// Guards against the same while workers are cut off and run on, also if the platform lists them no
// longer meanwhile.
TEST(SilentWorkerLoss, AStandingJobOutlivesWorkersThatAreCutOffAfterEachStart)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, WorkerCount);
        const bool isListedMeanwhile = seed % 2 == 0;
        std::map<std::string, TimePoint> cutUntil;
        const auto onStep = [&](std::span<const std::string> started) {
            for (const std::string &it : started) {
                world.workers.at(it)->isReachable = false;
                cutUntil[it] = world.now + SilentTime;
                if (!isListedMeanwhile) {
                    world.owner->onWorkerGone(WorkerId(it), world.now);
                }
            }
            std::erase_if(cutUntil, [&world](const auto &it) {
                FakeCellWorker &worker = *world.workers.at(it.first);
                worker.isReachable = it.second <= world.now;
                if (worker.isReachable) {
                    world.owner->onWorkerListed(worker.describe(), world.now);
                }
                return worker.isReachable;
            });
        };
        EXPECT_GT(expectStandingJobSurvives(seed, world, onStep), 8U) << seed;
    }
}

// Guards against a silence that is taken for the crash of a worker once that worker, which has
// answered since, crashes for another reason.
TEST(SilentWorkerLoss, AStandingJobOutlivesWorkersThatAnswerAgainAndCrashLater)
{
    constexpr Duration AnswerTime =
        4s; // Longest backoff and timeout of a renewal, and some answers.
    int crashCount = 0;
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, WorkerCount);
        for (auto &[id, worker] : world.workers) {
            worker->lateAfterStart = SilentTime;
        }
        std::map<std::string, TimePoint> crashAt;
        const auto onStep = [&](std::span<const std::string> started) {
            for (const std::string &it : started) {
                crashAt[it] = world.now + SilentTime + AnswerTime;
            }
            std::erase_if(crashAt, [&world](const auto &it) {
                const bool isDue = it.second <= world.now;
                if (isDue) {
                    world.crashWorker(it.first, 1s);
                }
                return isDue;
            });
        };
        expectStandingJobSurvives(seed, world, onStep);
        crashCount += world.crashCount;
    }
    EXPECT_GT(crashCount, 3 * static_cast<int>(SeedCount)); // The trouble took place.
}

// Guards against a task that takes machines down without a refused connection, so that only the
// next incarnation tells of the crash, after the runs were released.
TEST(SilentWorkerLoss, ATaskThatCrashesMachinesForLongerThanTheirLeasesIsGivenUp)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, WorkerCount);
        world.areCrashesDark = true;
        world.crashDowntime = 8s;
        world.crashingTasks.insert(Task);
        world.run(1s);
        world.submit(Task.job, makeLongRunning(1, 1000));
        world.run(60s);
        EXPECT_EQ(world.owner->stateOf(Task.job), JobState::Failed) << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << seed;
    }
}

} // namespace
} // namespace firefly
