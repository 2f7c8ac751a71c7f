#include "fakes/FleetWorld.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;
constexpr ResourceVector Full{8000, 64000, 0};
constexpr ResourceVector Small{2000, 64000, 0};
constexpr ResourceVector LittleMemory{8000, 250, 0};
/// From a resize until the owner reads of it.
constexpr Duration ListingDelay = 1500ms;

std::size_t countRunsOn(const CellWorld &world, const std::string &worker)
{
    return world.workers.at(worker)->runningTasks().size();
}

// Guards against starts on a worker whose capacity has shrunk below what runs there, and against
// runs that end because of that.
TEST(CapacityChange, AWorkerThatShrinksBelowItsTasksKeepsThemAndTakesNoOthers)
{
    for (const ResourceVector &shrunk : {Small, LittleMemory}) {
        CellWorld world(1, 1);
        world.workers.at("w0")->workTime = 8s;
        world.run(1s);
        world.submit(JobId("a"), makeChain(1, 6));
        world.run(1s);
        ASSERT_EQ(countRunsOn(world, "w0"), 6U);
        world.resizeWorker("w0", shrunk, ListingDelay);
        world.run(ListingDelay + 100ms);
        world.submit(JobId("b"), makeChain(1, 6));
        world.run(3s);
        EXPECT_EQ(countRunsOn(world, "w0"), 6U);
        EXPECT_EQ(world.owner->stateOf(JobId("b")), JobState::Queued);
        world.run(20s);
        EXPECT_TRUE(world.isFinished(JobId("a")));
        EXPECT_EQ((world.audit.runs[{JobId("a"), 0, 0, 0}].size()), 1U);
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
    }
}

// Guards against capacity that stays idle after a worker has grown again.
TEST(CapacityChange, AWorkerThatGrowsAgainTakesTasksAtOnce)
{
    CellWorld world(1, 1);
    world.workers.at("w0")->workTime = 20s;
    world.run(1s);
    world.resizeWorker("w0", Small, 10ms);
    world.run(1s);
    world.submit(JobId("a"), makeChain(1, 8));
    world.run(1s);
    EXPECT_EQ(countRunsOn(world, "w0"), 2U);
    world.resizeWorker("w0", Full, 10ms);
    world.run(200ms);
    EXPECT_EQ(countRunsOn(world, "w0"), 8U);
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
}

// Guards against a gang of which a part starts because a worker shrinks before the rest does.
TEST(CapacityChange, AGangStartsAsAWholeBesideWorkersThatShrinkAndGrow)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 2);
        JobSpec spec = makeChain(1, 12);
        spec.steps[0].isGang = true;
        world.run(1s);
        world.submit(JobId("a"), spec);
        world.run(seed * 2ms);
        world.resizeWorker("w0", Small, ListingDelay);
        world.run(12s);
        world.submit(JobId("b"), spec);
        world.run(5s);
        EXPECT_FALSE(world.audit.everStarted.contains("b")) << seed;
        world.resizeWorker("w0", Full, ListingDelay);
        world.run(8s);
        EXPECT_TRUE(world.isFinished(JobId("a"))) << seed;
        EXPECT_TRUE(world.isFinished(JobId("b"))) << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << seed;
    }
}

// Guards against a reservation on a worker that has shrunk, for which a displaced task waits.
TEST(CapacityChange, ADisplacedTaskDoesNotWaitForAWorkerThatHasShrunk)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 4);
        world.run(1s);
        world.submit(JobId("large"), makeSpreadLongRunning(2, 7000));
        world.submit(JobId("small"), makeLongRunning(4, 3000));
        world.run(1s);
        std::string drained;
        for (const auto &[id, worker] : world.workers) {
            drained = isRunningOn(world, {JobId("large"), 0, 0, 0}, id) ? id : drained;
        }
        drain(world, drained);
        world.run(seed * 10ms);
        // Whichever worker is reserved, and the last one without a large task, shrinks.
        for (const auto &[id, worker] : world.workers) {
            if (id != drained && !isRunningOn(world, {JobId("large"), 0, 0, 1}, id)) {
                world.resizeWorker(id, {6500, 64000, 0}, 100ms);
                break;
            }
        }
        world.run(MaxDowntime);
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << seed;
        EXPECT_TRUE(isRunning(world, {JobId("large"), 0, 0, 1})) << seed;
    }
}

// Guards against a delegated task that starts on a guest's worker that shrinks meanwhile.
TEST(CapacityChange, ADelegatedTaskWaitsForAGuestThatHasShrunk)
{
    constexpr int Home = 0;
    constexpr int Guest = 1;
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, 2);
        world.run(500ms);
        world.cell(Home).submit(JobId("full"), makeSpreadLongRunning(2, 7000));
        world.run(1s);
        world.cell(Home).submit(JobId("a"), makeLongRunning(1, 7000));
        world.run(2s + seed * 100ms);
        for (const char *it : {"w0", "w1"}) {
            world.cell(Guest).resizeWorker(it, Small, 300ms);
        }
        world.run(12s);
        for (const char *it : {"w0", "w1"}) {
            world.cell(Guest).resizeWorker(it, Full, 300ms);
        }
        world.run(6s);
        EXPECT_EQ(world.countRuns({JobId("a"), 0, 0, 0}), 1U) << seed;
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << seed;
    }
}

// Guards against starts over a capacity that shrinks and grows in any order with starts, ends,
// late reports and changes of owner.  FakeCellWorker doesn't end the members of a gang together.
TEST(CapacityChange, NoScheduleOfChangesOverfillsAWorker)
{
    constexpr int WorkerCount = 4;
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, WorkerCount);
        const auto draw = [&world](int n) {
            return std::uniform_int_distribution<int>(0, n - 1)(world.random);
        };
        world.run(1s);
        for (int i = 0; i < 80; ++i) {
            world.run(std::chrono::milliseconds(50 + draw(400)));
            const std::string id = "w" + std::to_string(draw(WorkerCount));
            world.workers.at(id)->workTime = std::chrono::milliseconds(200 + draw(4000));
            JobSpec spec = makeChain(1, static_cast<std::uint32_t>(1 + draw(10)));
            world.submit(JobId("j" + std::to_string(i)), spec);
            // The platform's tolerance holds for one change at a time.
            const bool isSettled = i % (2 * WorkerCount) < WorkerCount;
            const std::string resized = "w" + std::to_string(i % WorkerCount);
            world.resizeWorker(resized,
                               isSettled ? ResourceVector{1000 + 1000 * draw(7), 64000, 0} : Full,
                               std::chrono::milliseconds(draw(2000)));
            if (draw(12) == 0) {
                world.replaceOwner(world.now + 9s);
            }
        }
        for (auto &[id, worker] : world.workers) {
            worker->workTime = 300ms;
            world.resizeWorker(id, Full, 100ms);
        }
        world.run(40s);
        // A submission that wasn't durable is lost with its owner.
        EXPECT_GT(world.accepted.size(), 60U) << seed;
        for (const std::string &it : world.accepted) {
            EXPECT_TRUE(world.isFinished(JobId(it))) << seed << " " << it;
        }
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << seed;
    }
}

} // namespace
} // namespace firefly
