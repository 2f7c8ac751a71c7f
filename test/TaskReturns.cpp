#include "fakes/FleetWorld.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <string_view>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr int WorkerCount = 4; ///< Of each cell.
constexpr std::uint32_t SeedCount = 10;
constexpr std::int64_t LargeDemand = 7000; ///< Fits a worker only alone.

const LogDecision *findLast(const CellWorld &cell, std::string_view message)
{
    const auto found =
        std::ranges::find_if(cell.decisions.rbegin(), cell.decisions.rend(),
                             [message](const LogDecision &it) { return it.message == message; });
    return found == cell.decisions.rend() ? nullptr : &*found;
}

/// Two homes with a displaced task each, which give both to the cell 2, where only one fits; the
/// cell 3 has room for the other.
class FleetWithReturn
{
public:
    explicit FleetWithReturn(std::uint32_t seed)
        : world(seed, 4, WorkerCount)
    {
        world.run(500ms);
        const auto submitLarge = [this](int cell, const std::string &id, std::uint32_t count) {
            world.cell(cell).submit(JobId(id), makeSpreadLongRunning(count, LargeDemand));
        };
        submitLarge(0, "long0", WorkerCount);
        submitLarge(1, "long1", WorkerCount);
        submitLarge(2, "other2", 3);
        submitLarge(3, "other3", 3);
        world.cell(3).submit(JobId("small3"), makeLongRunning(1, 500));
        world.run(1s);
        displacedAt = world.now();
        drain(world.cell(0), "w0");
        drain(world.cell(1), "w0");
    }

    /// Advances until the guest has begun to give a task back.
    void runUntilReturn()
    {
        const auto isGivenBack = [this] { return findLast(world.cell(2), "task given back"); };
        ASSERT_TRUE(world.runUntil(isGivenBack, MaxDowntime));
        task = isGivenBack()->task;
        home = task.job == JobId("long0") ? 0 : 1;
    }

    /// Advances until the returned task runs, and for some time more.
    void runUntilRestart()
    {
        EXPECT_TRUE(world.runUntil([this] { return world.countRuns(task) == 1; }, MaxDowntime));
        world.run(5s);
        EXPECT_EQ(world.countRuns(task), 1U);
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{});
    }

    FleetWorld world;
    TimePoint displacedAt{};
    TaskName task; ///< The returned one.
    int home = 0;  ///< Its cell.
};

TEST(TaskReturns, AReturnedTaskRunsInAnotherCellAndIsReturnedOnce)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWithReturn fleet(seed);
        fleet.runUntilReturn();
        fleet.runUntilRestart();
        EXPECT_TRUE(isRunning(fleet.world.cell(3), fleet.task)) << "seed " << seed;
        EXPECT_EQ(fleet.world.sentReturns, 1) << "seed " << seed;
    }
}

TEST(TaskReturns, AReturnedTaskContinuesItsWait)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWithReturn fleet(seed);
        fleet.runUntilReturn();
        fleet.runUntilRestart();
        const LogDecision *last = findLast(fleet.world.cell(fleet.home), "task delegated");
        ASSERT_NE(last, nullptr);
        const std::string prefix = "waited_ms=";
        const auto at = last->detail.find(prefix);
        ASSERT_NE(at, std::string::npos);
        // It waits at home for a second and in the guest for two.
        EXPECT_GE(std::stoi(last->detail.substr(at + prefix.size())), 3000) << "seed " << seed;
    }
}

TEST(TaskReturns, ChangesOfOwnersNeitherLoseNorDoubleAReturnedTask)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        for (const Duration delay : {0ms, 10ms, 20ms, 40ms, 80ms}) {
            for (const bool isHome : {true, false}) {
                FleetWithReturn fleet(seed);
                fleet.runUntilReturn();
                fleet.world.run(delay);
                CellWorld &cell = fleet.world.cell(isHome ? fleet.home : 2);
                cell.replaceOwner(cell.now + 9s);
                fleet.runUntilRestart();
            }
        }
    }
}

TEST(TaskReturns, AReturnIsRepeatedUntilItIsAnswered)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWithReturn fleet(seed);
        fleet.runUntilReturn();
        fleet.world.lostFraction = 1.0;
        fleet.world.run(5s);
        EXPECT_GT(fleet.world.sentReturns, 1) << "seed " << seed;
        EXPECT_EQ(fleet.world.countRuns(fleet.task), 0U) << "seed " << seed;
        fleet.world.lostFraction = 0.0;
        fleet.runUntilRestart();
    }
}

TEST(TaskReturns, NothingStartsBeforeTheReturnIsDurable)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWithReturn fleet(seed);
        fleet.runUntilReturn();
        CellWorld &home = fleet.world.cell(fleet.home);
        home.isStoreDown = true;
        fleet.world.run(3s);
        EXPECT_EQ(fleet.world.countRuns(fleet.task), 0U) << "seed " << seed;
        home.isStoreDown = false;
        fleet.runUntilRestart();
    }
}

// Guards against a part that its guest keeps for ever, since the home has forgotten it.
TEST(TaskReturns, TheEndOfAJobReachesACellThatHasGivenAllItsTasksBack)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWithReturn fleet(seed);
        fleet.runUntilReturn();
        fleet.runUntilRestart();
        CellWorld &home = fleet.world.cell(fleet.home);
        home.replaceOwner(home.now + 9s);
        fleet.world.run(2s);
        EXPECT_TRUE(
            home.owner->cancel(fleet.task.job, home.now, home.unixMs(), [](const auto &) {}));
        fleet.world.run(2s);
        const auto &jobs = fleet.world.cell(2).owner->state().jobs;
        const auto part = jobs.find(fleet.task.job.value());
        ASSERT_NE(part, jobs.end());
        EXPECT_TRUE(isFinal(part->second->state)) << "seed " << seed;
        EXPECT_EQ(fleet.world.countRuns(fleet.task), 0U) << "seed " << seed;
    }
}

TEST(TaskReturns, RecordsAreUnchangedAfterEncodingAndDecoding)
{
    JobProgress progress;
    progress.tasks.resize(1);
    progress.tasks.front().firstRun = 7;
    progress.guests = {2, 5};
    const JobProgress read = JobRecords::decodeProgress(JobRecords::encodeProgress(progress));
    EXPECT_EQ(read.tasks.front().firstRun, 7U);
    EXPECT_EQ(read.guests, progress.guests);

    TaskDelegation delegation;
    delegation.spec = makeLongRunning(2, LargeDemand);
    delegation.home = 3;
    for (std::uint32_t i = 0; i < 2; ++i) {
        TaskProgress row;
        row.index = i;
        row.guest = 1;
        row.run = 10 + i;
        row.isReturned = i == 0;
        row.waitingSinceUnixMs = 1000 + i;
        delegation.tasks.push_back(row);
    }
    const TaskDelegation copy =
        JobRecords::decodeDelegation(JobRecords::encodeDelegation(delegation));
    EXPECT_EQ(copy.home, 3);
    ASSERT_EQ(copy.tasks.size(), 2U);
    for (const TaskProgress &it : copy.tasks) {
        EXPECT_EQ(it.run, 10 + it.index);
        EXPECT_EQ(it.isReturned, it.index == 0);
        EXPECT_EQ(it.waitingSinceUnixMs, 1000 + it.index);
    }
}

} // namespace
} // namespace firefly
