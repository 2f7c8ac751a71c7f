#include "fakes/FleetWorld.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr int Home = 0;
constexpr int Guest = 1;
constexpr int WorkerCount = 4; ///< Of each cell.
constexpr std::uint32_t SeedCount = 20;

/// A task that fits a worker only alone.
constexpr std::int64_t LargeDemand = 7000;

/// Submits one large long-running task per worker of \a cell, as the job \a id.
void fill(FleetWorld &world, int cell, const std::string &id)
{
    world.cell(cell).submit(JobId(id), makeSpreadLongRunning(WorkerCount, LargeDemand));
}

/// Fills the home with the job "long" and drains one of its workers.  Returns the displaced task.
TaskName displaceTask(FleetWorld &world)
{
    world.run(500ms);
    fill(world, Home, "long");
    world.run(1s);
    TaskName displaced{JobId("long"), 0, 0, 0};
    while (!isRunningOn(world.cell(Home), displaced, "w0") && displaced.index < WorkerCount) {
        ++displaced.index;
    }
    drain(world.cell(Home), "w0");
    return displaced;
}

/// True once the store of the guest holds tasks of the job "long".
bool isAccepted(FleetWorld &world)
{
    return world.cell(Guest).store.contains(JobRecords::delegationKey(JobId("long")));
}

bool hasDecision(const CellWorld &cell, std::string_view message)
{
    return std::ranges::any_of(cell.decisions, [message](const LogDecision &it) {
        return std::string_view(it.message) == message;
    });
}

/// Number of tasks of the job "long" that run, in all cells.
std::size_t countLongRuns(const FleetWorld &world)
{
    std::size_t count = 0;
    for (std::uint32_t i = 0; i < WorkerCount; ++i) {
        count += world.countRuns({JobId("long"), 0, 0, i});
    }
    return count;
}

/// Cancels \a id in its home \a cell.
void cancel(FleetWorld &world, int cell, const std::string &id)
{
    CellWorld &home = world.cell(cell);
    EXPECT_TRUE(home.owner->cancel(JobId(id), home.now, home.unixMs(), [](auto) {}));
}

void replaceOwner(CellWorld &cell)
{
    cell.replaceOwner(cell.now + 9s);
}

// A task of a drained worker stayed down for as long as its cell was full, although another cell
// had workers without any task.
TEST(TaskDelegation, ADisplacedTaskOfAFullCellRunsAgainInACellWithRoom)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        FleetWorld world(seed, 2, 3);
        world.run(500ms);
        world.cell(Home).submit(JobId("long"), makeSpreadLongRunning(3, 7000));
        world.run(1s);
        ASSERT_FALSE(world.cell(Home).workers.at("w0")->isIdle());
        drain(world.cell(Home), "w0");
        world.run(MaxDowntime);
        for (std::uint32_t i = 0; i < 3; ++i) {
            EXPECT_EQ(world.countRuns({JobId("long"), 0, 0, i}), 1U)
                << "task " << i << ", seed " << seed;
        }
        for (const auto &it : world.cells) {
            EXPECT_EQ(it->audit.violations, std::vector<std::string>{});
        }
    }
}

TEST(TaskDelegation, TheCellWithTheLeastLongRunningDemandGetsTheTask)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 3, WorkerCount);
        world.run(500ms);
        world.cell(1).submit(JobId("half"), makeSpreadLongRunning(2, LargeDemand));
        // Batch work doesn't count: a long-running task takes its place.
        JobSpec batch = makeChain(1, 24);
        for (auto &[id, worker] : world.cell(2).workers) {
            worker->workTime = 3s;
        }
        world.cell(2).submit(JobId("batch"), batch);
        const TaskName task = displaceTask(world);
        ASSERT_TRUE(world.runUntil([&] { return isRunning(world.cell(2), task); }, MaxDowntime))
            << "seed " << seed;
        EXPECT_EQ(world.countRuns(task), 1U);
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

TEST(TaskDelegation, AFullerCellGetsNothing)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, WorkerCount);
        world.run(500ms);
        // Both have room only for a smaller task on each worker; the home is less full.
        world.cell(Home).submit(JobId("long"), makeSpreadLongRunning(4, 4500));
        world.cell(Guest).submit(JobId("other"), makeSpreadLongRunning(4, 6500));
        world.run(1s);
        drain(world.cell(Home), "w0");
        world.run(10s);
        EXPECT_EQ(countLongRuns(world), 3U) << "seed " << seed;
        EXPECT_EQ(world.sentDelegations, 0) << "seed " << seed;
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

TEST(TaskDelegation, WithAllCellsFullATaskWaitsUntilOneHasRoom)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        for (const int ending : {Home, Guest}) {
            FleetWorld world(seed, 2, WorkerCount);
            world.run(500ms);
            world.cell(Home).submit(JobId("home"), makeSpreadLongRunning(1, LargeDemand));
            world.cell(Home).submit(JobId("long"), makeSpreadLongRunning(3, LargeDemand));
            world.cell(Guest).submit(JobId("guest"), makeSpreadLongRunning(1, LargeDemand));
            world.cell(Guest).submit(JobId("more"), makeSpreadLongRunning(3, LargeDemand));
            world.run(1s);
            for (auto &[id, worker] : world.cell(Home).workers) {
                if (!isRunningOn(world.cell(Home), {JobId("home"), 0, 0, 0}, id)) {
                    drain(world.cell(Home), id);
                    break;
                }
            }
            world.run(8s);
            EXPECT_EQ(countLongRuns(world), 2U) << "seed " << seed;
            EXPECT_EQ(world.sentDelegations, 0) << "seed " << seed;
            EXPECT_TRUE(hasDecision(world.cell(Home), "long-running task waits"));
            EXPECT_FALSE(hasDecision(world.cell(Home), "task delegated"));
            cancel(world, ending, ending == Home ? "home" : "guest");
            EXPECT_TRUE(world.runUntil([&] { return countLongRuns(world) == 3; }, MaxDowntime))
                << "seed " << seed << ", ended in cell " << ending;
            EXPECT_EQ(world.sentDelegations > 0, ending == Guest) << "seed " << seed;
            EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
        }
    }
}

TEST(TaskDelegation, ACellWithoutUsableWorkersGetsNothing)
{
    FleetWorld world(1, 3, WorkerCount);
    for (int i = 0; i < WorkerCount; ++i) {
        drain(world.cell(1), "w" + std::to_string(i));
    }
    world.cell(2).submit(JobId("some"), makeSpreadLongRunning(1, LargeDemand));
    const TaskName task = displaceTask(world);
    EXPECT_TRUE(world.runUntil([&] { return isRunning(world.cell(2), task); }, MaxDowntime));
}

// What counts is the share of the guest's capacity that a task takes, not of what the home has
// left.
TEST(TaskDelegation, ACellThatLosesMostWorkersDelegatesAllItsDisplacedTasks)
{
    FleetWorld world(1, 2, WorkerCount);
    world.run(500ms);
    fill(world, Home, "long");
    world.cell(Guest).submit(JobId("some"), makeSpreadLongRunning(1, LargeDemand));
    world.run(1s);
    for (int i = 1; i < WorkerCount; ++i) {
        drain(world.cell(Home), "w" + std::to_string(i));
    }
    world.run(MaxDowntime);
    EXPECT_EQ(countLongRuns(world), 4U);
    EXPECT_EQ(world.allViolations(), std::vector<std::string>{});
}

TEST(TaskDelegation, ACellWithoutUsableWorkersGivesItsTasksAway)
{
    FleetWorld world(1, 2, WorkerCount);
    world.run(500ms);
    world.cell(Home).submit(JobId("long"), makeSpreadLongRunning(2, LargeDemand));
    world.run(1s);
    for (int i = 0; i < WorkerCount; ++i) {
        drain(world.cell(Home), "w" + std::to_string(i));
    }
    world.run(MaxDowntime);
    EXPECT_EQ(countLongRuns(world), 2U);
    EXPECT_EQ(world.allViolations(), std::vector<std::string>{});
}

TEST(TaskDelegation, ACancelStopsTheTasksOfTheGuest)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, WorkerCount);
        const TaskName task = displaceTask(world);
        ASSERT_TRUE(
            world.runUntil([&] { return isRunning(world.cell(Guest), task); }, MaxDowntime));
        cancel(world, Home, "long");
        EXPECT_TRUE(world.runUntil([&] { return countLongRuns(world) == 0; }, 2s))
            << "seed " << seed;
        world.run(5s);
        EXPECT_EQ(countLongRuns(world), 0U) << "seed " << seed;
        EXPECT_EQ(world.storedGuest(Home, task), std::nullopt) << "seed " << seed;
        EXPECT_EQ(world.sentRevocations, 1) << "seed " << seed;
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

TEST(TaskDelegation, TheGuestsClientsDoNotSeeTheJob)
{
    FleetWorld world(1, 2, WorkerCount);
    const TaskName task = displaceTask(world);
    // The guest can't start the task, so that it is pending there.
    for (auto &[id, worker] : world.cell(Guest).workers) {
        worker->isReachable = false;
    }
    const auto checkHidden = [&world] {
        CellWorld &guest = world.cell(Guest);
        const JobId id("long");
        EXPECT_FALSE(guest.owner->hasJob(id));
        EXPECT_EQ(guest.owner->stateOf(id), std::nullopt);
        EXPECT_TRUE(guest.owner->pendingByQueue().empty());
        EXPECT_FALSE(guest.owner->cancel(id, guest.now, guest.unixMs(),
                                         [](auto) { ADD_FAILURE() << "cancel was answered"; }));
    };
    ASSERT_TRUE(world.runUntil([&] { return isAccepted(world); }, MaxDowntime));
    world.run(100ms);
    checkHidden();
    replaceOwner(world.cell(Guest));
    checkHidden();
    for (auto &[id, worker] : world.cell(Guest).workers) {
        worker->isReachable = true;
    }
    ASSERT_TRUE(world.runUntil([&] { return isRunning(world.cell(Guest), task); }, 10s));
    checkHidden();
    CellWorld &guest = world.cell(Guest);
    std::vector<CellScheduler::Verdict> verdicts;
    guest.owner->submit(JobId("long"), makeSpreadLongRunning(WorkerCount, LargeDemand), guest.now,
                        guest.unixMs(), [&verdicts](auto it) { verdicts.push_back(it); });
    world.run(2s);
    EXPECT_EQ(verdicts, std::vector{CellScheduler::Verdict::Unknown});
    EXPECT_EQ(world.cell(Home).owner->stateOf(JobId("long")), JobState::Running);
    EXPECT_EQ(countLongRuns(world), 4U);
    EXPECT_EQ(world.allViolations(), std::vector<std::string>{});
}

TEST(TaskDelegation, ATaskThatIsDisplacedAgainRestartsInTheGuest)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 3, WorkerCount);
        const TaskName task = displaceTask(world);
        ASSERT_TRUE(world.runUntil(
            [&] { return isRunning(world.cell(1), task) || isRunning(world.cell(2), task); },
            MaxDowntime));
        CellWorld &guest = world.cell(isRunning(world.cell(1), task) ? 1 : 2);
        const std::string worker = *guest.audit.runningOn.at(task).begin();
        drain(guest, worker);
        ASSERT_TRUE(world.runUntil(
            [&] { return isRunning(guest, task) && !isRunningOn(guest, task, worker); },
            MaxDowntime))
            << "seed " << seed;
        // The home has room again, but the task stays with its guest.
        world.cell(Home).workers.at("w0")->isDraining = false;
        world.cell(Home).owner->onWorkerListed(world.cell(Home).workers.at("w0")->describe(),
                                               world.now());
        world.run(5s);
        EXPECT_TRUE(isRunning(guest, task)) << "seed " << seed;
        EXPECT_EQ(countLongRuns(world), 4U) << "seed " << seed;
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

/// Stage of a delegation at which an owner is replaced.
enum class Stage { Decided, DurableAtHome, AcceptedByGuest };

void awaitStage(FleetWorld &world, const TaskName &task, Stage stage)
{
    const bool isReached = world.runUntil(
        [&] {
            switch (stage) {
            case Stage::Decided:
                return hasDecision(world.cell(Home), "task delegated");
            case Stage::DurableAtHome:
                return world.storedGuest(Home, task) == Guest;
            case Stage::AcceptedByGuest:
                return isAccepted(world);
            }
            return false;
        },
        MaxDowntime);
    ASSERT_TRUE(isReached);
}

TEST(TaskDelegation, AChangeOfTheHomesOwnerNeitherLosesNorDoublesTheTask)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        for (const Stage stage : {Stage::Decided, Stage::DurableAtHome, Stage::AcceptedByGuest}) {
            FleetWorld world(seed, 2, WorkerCount);
            const TaskName task = displaceTask(world);
            awaitStage(world, task, stage);
            const int sent = world.sentDelegations;
            replaceOwner(world.cell(Home));
            EXPECT_EQ(world.storedGuest(Home, task).has_value(), stage != Stage::Decided);
            EXPECT_TRUE(
                world.runUntil([&] { return isRunning(world.cell(Guest), task); }, MaxDowntime))
                << "seed " << seed << ", stage " << static_cast<int>(stage);
            world.run(3s);
            EXPECT_GT(world.sentDelegations, sent) << "the new owner must ask the guest again";
            EXPECT_EQ(countLongRuns(world), 4U)
                << "seed " << seed << ", stage " << static_cast<int>(stage);
            EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
        }
    }
}

// The guest's worker holds the task under the earlier home's run numbers, while the home gets its
// workers back: the next owner must not take the task for its own.
TEST(TaskDelegation, ANewOwnerOfTheHomeDoesNotStartADelegatedTask)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, WorkerCount);
        const TaskName task = displaceTask(world);
        ASSERT_TRUE(
            world.runUntil([&] { return isRunning(world.cell(Guest), task); }, MaxDowntime));
        world.cell(Home).workers.at("w0")->isDraining = false;
        for (int i = 0; i < 3; ++i) {
            replaceOwner(world.cell(Home));
            world.run(4s);
        }
        EXPECT_TRUE(isRunning(world.cell(Guest), task)) << "seed " << seed;
        EXPECT_EQ(countLongRuns(world), 4U) << "seed " << seed;
        cancel(world, Home, "long");
        world.run(3s);
        EXPECT_EQ(countLongRuns(world), 0U) << "seed " << seed;
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

TEST(TaskDelegation, AChangeOfTheGuestsOwnerKeepsTheTask)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        for (const Duration delay : {0ms, 10ms, 20ms, 40ms, 1000ms}) {
            FleetWorld world(seed, 2, WorkerCount);
            const TaskName task = displaceTask(world);
            awaitStage(world, task, Stage::AcceptedByGuest);
            world.run(delay);
            replaceOwner(world.cell(Guest));
            EXPECT_TRUE(
                world.runUntil([&] { return isRunning(world.cell(Guest), task); }, MaxDowntime))
                << "seed " << seed;
            world.run(3s);
            EXPECT_EQ(countLongRuns(world), 4U) << "seed " << seed;
            EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
        }
    }
}

TEST(TaskDelegation, AChangeOfTheGuestsOwnerBeforeTheRecordIsDurableOnlyDelaysTheTask)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, WorkerCount);
        // A guest whose workers aren't recorded yet offers no room.
        world.run(500ms);
        world.cell(Guest).isStoreDown = true;
        const TaskName task = displaceTask(world);
        ASSERT_TRUE(world.runUntil([&] { return world.sentDelegations > 0; }, MaxDowntime));
        world.run(500ms);
        EXPECT_EQ(world.countRuns(task), 0U) << "seed " << seed;
        replaceOwner(world.cell(Guest));
        world.cell(Guest).isStoreDown = false;
        EXPECT_TRUE(world.runUntil([&] { return isRunning(world.cell(Guest), task); }, MaxDowntime))
            << "seed " << seed;
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

TEST(TaskDelegation, NothingIsDelegatedWhileTheHomesStoreIsDown)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, WorkerCount);
        const TaskName task = displaceTask(world);
        world.cell(Home).isStoreDown = true;
        world.run(4s);
        EXPECT_TRUE(hasDecision(world.cell(Home), "task delegated")) << "seed " << seed;
        EXPECT_EQ(world.sentDelegations, 0) << "seed " << seed;
        EXPECT_EQ(world.countRuns(task), 0U) << "seed " << seed;
        world.cell(Home).isStoreDown = false;
        EXPECT_TRUE(world.runUntil([&] { return isRunning(world.cell(Guest), task); }, 1s))
            << "seed " << seed;
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

TEST(TaskDelegation, TheGuestStartsNothingWhileItsStoreIsDown)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, WorkerCount);
        const TaskName task = displaceTask(world);
        world.cell(Guest).isStoreDown = true;
        world.run(4s);
        EXPECT_GT(world.sentDelegations, 1) << "seed " << seed;
        EXPECT_EQ(world.countRuns(task), 0U) << "seed " << seed;
        world.cell(Guest).isStoreDown = false;
        EXPECT_TRUE(world.runUntil([&] { return isRunning(world.cell(Guest), task); }, 2s))
            << "seed " << seed;
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

TEST(TaskDelegation, ARequestIsRepeatedUntilItIsAnswered)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, WorkerCount);
        const TaskName task = displaceTask(world);
        world.lostFraction = 1.0;
        world.run(5s);
        EXPECT_GT(world.sentDelegations, 1) << "seed " << seed;
        world.lostFraction = 0.0;
        EXPECT_TRUE(world.runUntil([&] { return isRunning(world.cell(Guest), task); }, 2s))
            << "seed " << seed;
        world.run(2s);
        const int sent = world.sentDelegations;
        world.run(3s);
        EXPECT_EQ(world.sentDelegations, sent) << "an accepted request isn't repeated";
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

TEST(TaskDelegation, ARevocationIsRepeatedUntilItIsAnswered)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        for (const bool isOwnerReplaced : {false, true}) {
            FleetWorld world(seed, 2, WorkerCount);
            const TaskName task = displaceTask(world);
            ASSERT_TRUE(
                world.runUntil([&] { return isRunning(world.cell(Guest), task); }, MaxDowntime));
            world.run(1s);
            world.lostFraction = 1.0;
            cancel(world, Home, "long");
            world.run(5s);
            EXPECT_GT(world.sentRevocations, 1) << "seed " << seed;
            EXPECT_EQ(countLongRuns(world), 1U) << "seed " << seed;
            if (isOwnerReplaced) {
                replaceOwner(world.cell(Home));
            }
            world.lostFraction = 0.0;
            EXPECT_TRUE(world.runUntil([&] { return countLongRuns(world) == 0; }, 3s))
                << "seed " << seed;
            world.run(2s);
            EXPECT_EQ(world.storedGuest(Home, task), std::nullopt) << "seed " << seed;
            const int sent = world.sentRevocations;
            world.run(3s);
            EXPECT_EQ(world.sentRevocations, sent) << "an accepted revocation isn't repeated";
            EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
        }
    }
}

TEST(TaskDelegation, NothingIsRevokedBeforeTheCancelIsDurable)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, WorkerCount);
        const TaskName task = displaceTask(world);
        ASSERT_TRUE(
            world.runUntil([&] { return isRunning(world.cell(Guest), task); }, MaxDowntime));
        world.run(1s);
        world.cell(Home).isStoreDown = true;
        cancel(world, Home, "long");
        world.run(3s);
        EXPECT_EQ(world.sentRevocations, 0) << "seed " << seed;
        EXPECT_TRUE(isRunning(world.cell(Guest), task)) << "seed " << seed;
        // The next owner knows nothing of the cancel.
        replaceOwner(world.cell(Home));
        world.cell(Home).isStoreDown = false;
        world.run(5s);
        EXPECT_EQ(countLongRuns(world), 4U) << "seed " << seed;
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

TEST(TaskDelegation, ATaskDelegatedWhileARequestIsOpenFollowsInTheNextOne)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, WorkerCount);
        world.run(500ms);
        // The tasks of each step wait for themselves.
        JobSpec spec = makeSpreadLongRunning(2, LargeDemand);
        spec.steps.push_back(spec.steps.front());
        world.cell(Home).submit(JobId("long"), spec);
        // Leaves room for one task.
        world.cell(Guest).submit(JobId("other"), makeSpreadLongRunning(3, LargeDemand));
        world.run(1s);
        const std::array tasks{TaskName{JobId("long"), 0, 0, 0}, TaskName{JobId("long"), 0, 1, 0}};
        for (const TaskName &it : tasks) {
            drain(world.cell(Home), *world.cell(Home).audit.runningOn.at(it).begin());
        }
        const auto countDelegated = [&] {
            return std::ranges::count_if(
                tasks, [&](const TaskName &it) { return world.storedGuest(Home, it).has_value(); });
        };
        world.cell(Guest).isStoreDown = true;
        ASSERT_TRUE(world.runUntil([&] { return world.sentDelegations == 1; }, MaxDowntime));
        EXPECT_EQ(countDelegated(), 1) << "seed " << seed;
        cancel(world, Guest, "other");
        ASSERT_TRUE(world.runUntil([&] { return countDelegated() == 2; }, 1s)) << "seed " << seed;
        ASSERT_EQ(world.sentDelegations, 1) << "seed " << seed;
        world.cell(Guest).isStoreDown = false;
        const auto areRunning = [&] {
            return std::ranges::all_of(
                tasks, [&](const TaskName &it) { return isRunning(world.cell(Guest), it); });
        };
        EXPECT_TRUE(world.runUntil(areRunning, MaxDowntime)) << "seed " << seed;
        EXPECT_EQ(world.sentDelegations, 2) << "seed " << seed;
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

// A client's request may have reached both cells with the same id.
TEST(TaskDelegation, ACellRefusesRequestsOfOthersForAJobOfItsOwn)
{
    CellWorld world(1, WorkerCount);
    world.run(500ms);
    const JobId id("long");
    const JobSpec spec = makeSpreadLongRunning(2, LargeDemand);
    world.submit(id, spec);
    world.run(1s);
    std::vector<CellScheduler::Verdict> verdicts;
    const auto onVerdict = [&verdicts](auto it) { verdicts.push_back(it); };
    TaskDelegation delegation;
    delegation.submittedAtUnixMs = world.unixMs();
    delegation.spec = spec;
    delegation.tasks = {{0, 0, 1, false, {}, {}, 0, 1}};
    world.owner->acceptTasks(id, JobRecords::encodeDelegation(delegation), world.now,
                             world.unixMs(), onVerdict);
    world.owner->revokeTasks(id, world.now, world.unixMs(), onVerdict);
    world.run(2s);
    EXPECT_EQ(verdicts, std::vector(2, CellScheduler::Verdict::NotAccepted));
    EXPECT_FALSE(world.store.contains(JobRecords::delegationKey(id)));
    EXPECT_TRUE(isRunning(world, {id, 0, 0, 0}));
    EXPECT_TRUE(isRunning(world, {id, 0, 0, 1}));
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
}

TEST(TaskDelegation, ARevocationIsNotConfirmedBeforeTheGuestHasStoredIt)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, WorkerCount);
        const TaskName task = displaceTask(world);
        ASSERT_TRUE(
            world.runUntil([&] { return isRunning(world.cell(Guest), task); }, MaxDowntime));
        world.run(1s);
        world.cell(Guest).isStoreDown = true;
        cancel(world, Home, "long");
        world.run(4s);
        EXPECT_TRUE(world.storedGuest(Home, task)) << "seed " << seed;
        // The next owner of the guest knows only what is stored.
        replaceOwner(world.cell(Guest));
        world.cell(Guest).isStoreDown = false;
        EXPECT_TRUE(world.runUntil([&] { return !world.storedGuest(Home, task); }, 4s))
            << "seed " << seed;
        world.run(2s);
        EXPECT_EQ(countLongRuns(world), 0U) << "seed " << seed;
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

// A request that was under way for seconds must find that its job was cancelled meanwhile, also
// when the revocation was the first that the guest heard of the job.
TEST(TaskDelegation, ALateRequestAfterTheRevocationStartsNothing)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        for (const bool isOwnerReplaced : {false, true}) {
            for (const bool isFirstRequestLost : {false, true}) {
                FleetWorld world(seed, 2, WorkerCount);
                std::optional<DelegateTasks> request;
                const auto send = world.cell(Home).onDelegate;
                world.cell(Home).onDelegate = [&](const DelegateTasks &order) {
                    request = order;
                    world.lostFraction = isFirstRequestLost ? 1.0 : 0.0;
                    send(order);
                    world.lostFraction = 0.0;
                };
                displaceTask(world);
                ASSERT_TRUE(world.runUntil([&] { return request.has_value(); }, MaxDowntime));
                cancel(world, Home, "long");
                ASSERT_TRUE(world.runUntil([&] { return world.sentRevocations > 0; }, 3s));
                world.run(3s);
                EXPECT_EQ(countLongRuns(world), 0U);
                CellWorld &guest = world.cell(Guest);
                if (isOwnerReplaced) {
                    replaceOwner(guest);
                }
                std::vector<CellScheduler::Verdict> verdicts;
                guest.owner->acceptTasks(request->job, request->record, guest.now, guest.unixMs(),
                                         [&verdicts](auto it) { verdicts.push_back(it); });
                for (int i = 0; i < 200; ++i) {
                    world.run(50ms);
                    ASSERT_EQ(countLongRuns(world), 0U) << "seed " << seed;
                }
                EXPECT_EQ(verdicts.size(), 1U) << "seed " << seed;
                EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
            }
        }
    }
}

TEST(TaskDelegation, TheRunNumbersOfATaskOnlyRise)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, WorkerCount);
        world.run(500ms);
        // The epochs of the home are far ahead of those of the guest.
        for (int i = 0; i < 4; ++i) {
            replaceOwner(world.cell(Home));
            world.run(200ms);
        }
        const TaskName task = displaceTask(world);
        ASSERT_TRUE(
            world.runUntil([&] { return isRunning(world.cell(Guest), task); }, MaxDowntime));
        std::vector<std::uint32_t> runs = world.cell(Home).audit.runs.at(task);
        ASSERT_FALSE(runs.empty());
        for (int i = 0; i < 2; ++i) {
            CellWorld &guest = world.cell(Guest);
            const std::string worker = *guest.audit.runningOn.at(task).begin();
            replaceOwner(guest);
            world.run(1s);
            drain(guest, worker);
            ASSERT_TRUE(world.runUntil(
                [&] { return isRunning(guest, task) && !isRunningOn(guest, task, worker); },
                MaxDowntime));
        }
        std::ranges::copy(world.cell(Guest).audit.runs.at(task), std::back_inserter(runs));
        EXPECT_GE(runs.size(), 4U);
        EXPECT_EQ(std::ranges::adjacent_find(runs, std::ranges::greater_equal{}), runs.end())
            << "seed " << seed;
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

// The restart of the worker hides the latest run from the guest's next owner.
TEST(TaskDelegation, ANewOwnerOfTheGuestDoesNotRepeatRunNumbersThatNoWorkerReports)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, WorkerCount);
        world.run(500ms);
        // The epochs of the home are far ahead of those of the guest.
        for (int i = 0; i < 4; ++i) {
            replaceOwner(world.cell(Home));
            world.run(200ms);
        }
        const TaskName task = displaceTask(world);
        CellWorld &guest = world.cell(Guest);
        ASSERT_TRUE(world.runUntil([&] { return isRunning(guest, task); }, MaxDowntime));
        const std::string worker = *guest.audit.runningOn.at(task).begin();
        guest.workers.at(worker)->reboot(guest.now);
        replaceOwner(guest);
        ASSERT_TRUE(world.runUntil([&] { return isRunning(guest, task); }, 12s)) << "seed " << seed;
        EXPECT_GE(guest.audit.runs.at(task).size(), 2U);
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
