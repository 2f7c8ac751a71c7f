#include "fakes/CellWorld.h"
#include "fakes/SingleTaskJobs.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;
constexpr Duration ShortWork = 100ms;
/// Longer than a change of owner takes.
constexpr Duration LongWork = 1500ms;

/// Steps until the task \a name has been started \a count times.
void runToStart(CellWorld &world, const TaskName &name, std::size_t count)
{
    const TimePoint limit = world.now + 10s;
    while (world.audit.startedOn[name].size() < count && world.now < limit) {
        world.step();
    }
    ASSERT_EQ(world.audit.startedOn[name].size(), count);
}

/// Lets the last but one attempt of a task fail while the store takes nothing, so that only its
/// worker knows of it once the owner is lost.  The last attempt runs elsewhere and is still running
/// when the next owner asks, which can't reach the first worker for \a silence.
void playOwnerChange(CellWorld &world, const TaskName &name, Duration silence)
{
    for (auto &[id, worker] : world.workers) {
        worker->hasFailingRuns = true;
        worker->workTime = ShortWork;
    }
    world.run(1s);
    JobSpec spec = makeChain(1, 1);
    spec.policy.maxAttempts = 2;
    world.submit(name.job, spec);
    runToStart(world, name, 1);
    world.isStoreDown = true;
    for (auto &[id, worker] : world.workers) {
        worker->workTime = LongWork;
    }
    runToStart(world, name, 2);
    ASSERT_NE(world.audit.startedOn[name][0], world.audit.startedOn[name][1]);
    world.disconnectWorker(world.audit.startedOn[name][0], silence);
    world.loseOwner(200ms);
    world.run(100ms); // An append under way is refused, too.
    world.isStoreDown = false;
}

// Guards against a start beyond the attempts of a task: the next owner finds the task running, so
// that it doesn't wait for the worker that lists an earlier failure, and starts it again at once.
TEST(UnstoredFailureOwnerChange, NoStartBeforeTheWorkerOfAnEarlierFailureAnswers)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 3);
        const TaskName name = taskOf("failing");
        playOwnerChange(world, name, 3s);
        world.run(10s);
        EXPECT_EQ(world.audit.startedOn[name].size(), 2U) << "seed " << seed;
        EXPECT_EQ(world.owner->stateOf(name.job), JobState::Failed) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// Guards against a task that waits for a worker that never answers.
TEST(UnstoredFailureOwnerChange, TheTaskStartsAgainOnceTheLeaseOfASilentWorkerIsOver)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 3);
        const TaskName name = taskOf("failing");
        playOwnerChange(world, name, 60s);
        for (auto &[id, worker] : world.workers) {
            worker->hasFailingRuns = false;
        }
        world.run(15s);
        EXPECT_EQ(world.audit.startedOn[name].size(), 3U) << "seed " << seed;
        EXPECT_EQ(world.owner->stateOf(name.job), JobState::Completed) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
