#include "fakes/FleetWorld.h"
#include "fakes/SingleTaskJobs.h"
#include "Workload/JobRecords.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 5;
constexpr std::int64_t Demand = 5000; ///< Fits a worker only alone.

void submit(CellWorld &cell, const std::string &id)
{
    cell.submit(JobId(id), makeLongRunning(1, Demand));
}

/// The wait, in ms, that the log tells of the latest start of the task of the job \a id; none if
/// the log tells of none.
std::optional<int> reportedWait(const CellWorld &cell, const std::string &id)
{
    static constexpr std::string_view Field = "waited_ms=";
    std::optional<int> waitedMs;
    for (const LogDecision &it : cell.decisions) {
        const bool isStart = std::string_view(it.message) == "long-running task placed";
        const auto at = it.detail.find(Field);
        if (isStart && it.task == taskOf(id) && at != std::string::npos) {
            waitedMs = std::stoi(it.detail.substr(at + Field.size()));
        }
    }
    return waitedMs;
}

// Guards against a wait that begins anew with each owner, so that a task which is down over several
// owners never counts as one that waits for long.
TEST(LongRunningWaitOverOwners, TheWaitUnderAnEarlierOwnerCounts)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld cell(seed, 2);
        cell.run(500ms);
        submit(cell, "waiter");
        submit(cell, "blocker");
        cell.run(1s);
        displace(cell, "waiter");
        cell.run(3s);
        cell.replaceOwner(cell.now);
        cell.run(1s);
        cell.replaceOwner(cell.now);
        cell.run(500ms);
        cancel(cell, "blocker");
        cell.run(1s);
        const auto waitedMs = reportedWait(cell, "waiter");
        ASSERT_TRUE(waitedMs.has_value()) << "seed " << seed;
        EXPECT_GE(*waitedMs, 4000) << "seed " << seed;
        EXPECT_LE(*waitedMs, 5500) << "seed " << seed;
    }
}

// Guards against a task that counts a wait of the past as a part of its next one.
TEST(LongRunningWaitOverOwners, AWaitThatHasEndedDoesNotCount)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld cell(seed, 3);
        cell.run(500ms);
        submit(cell, "waiter");
        submit(cell, "blocker");
        submit(cell, "other");
        cell.run(1s);
        displace(cell, "waiter");
        cell.run(5s);
        cancel(cell, "blocker");
        cell.run(2s);
        ASSERT_TRUE(isRunning(cell, taskOf("waiter"))) << "seed " << seed;
        // The worker is lost with its run before the next owner has heard of it.
        const std::string worker = *cell.audit.runningOn.at(taskOf("waiter")).begin();
        cell.removeWorker(worker);
        cell.replaceOwner(cell.now);
        cell.run(10s);
        cancel(cell, "other");
        cell.run(1s);
        const auto waitedMs = reportedWait(cell, "waiter");
        ASSERT_TRUE(waitedMs.has_value()) << "seed " << seed;
        EXPECT_GE(*waitedMs, 2000) << "seed " << seed;
        EXPECT_LE(*waitedMs, 11000) << "seed " << seed;
    }
}

// The wall clocks of two VMs differ by up to 5 s.
TEST(LongRunningWaitOverOwners, AnOwnerWithAClockBehindCountsNoNegativeWait)
{
    CellWorld cell(1, 2);
    cell.run(500ms);
    submit(cell, "waiter");
    submit(cell, "blocker");
    cell.run(1s);
    displace(cell, "waiter");
    cell.run(2s);
    cell.wallClockError = -5s;
    cell.replaceOwner(cell.now);
    cell.run(2s);
    cancel(cell, "blocker");
    cell.run(1s);
    const auto waitedMs = reportedWait(cell, "waiter");
    ASSERT_TRUE(waitedMs.has_value());
    EXPECT_GE(*waitedMs, 1500);
    EXPECT_LE(*waitedMs, 3000);
}

// Guards against a guest at which each delegated task counts as one that has just been displaced.
TEST(LongRunningWaitOverOwners, TheGuestContinuesTheWaitOfADelegatedTask)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FleetWorld world(seed, 2, 2);
        world.run(500ms);
        submit(world.cell(0), "waiter");
        submit(world.cell(0), "beside");
        submit(world.cell(1), "blocker");
        submit(world.cell(1), "other");
        world.run(1s);
        displace(world.cell(0), "waiter");
        world.run(4s);
        cancel(world.cell(1), "blocker");
        world.run(3s);
        ASSERT_EQ(world.countRuns(taskOf("waiter")), 1U) << "seed " << seed;
        const auto waitedMs = reportedWait(world.cell(1), "waiter");
        ASSERT_TRUE(waitedMs.has_value()) << "seed " << seed;
        EXPECT_GE(*waitedMs, 4000) << "seed " << seed;
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

// Guards against a new owner that delegates a restored task before it has tried its own workers.
TEST(LongRunningWaitOverOwners, ATaskWithRoomAtHomeIsNotDelegatedByItsNewOwner)
{
    constexpr std::uint32_t LocationSeedCount = 100;
    for (std::uint32_t seed = 1; seed <= LocationSeedCount; ++seed) {
        FleetWorld world(seed, 2, 2);
        CellWorld &home = world.cell(0);
        world.run(500ms);
        submit(home, "waiter");
        submit(home, "beside");
        submit(world.cell(1), "blocker");
        submit(world.cell(1), "other");
        world.run(1s);
        const std::string worker = *home.audit.runningOn.at(taskOf("waiter")).begin();
        displace(home, "waiter");
        world.run(3s + std::chrono::milliseconds(5 * (seed % 40)));
        home.loseOwner(500ms);
        cancel(world.cell(1), "blocker");
        world.run(400ms);
        home.workers.at(worker)->isDraining = false;
        world.run(2s);
        EXPECT_TRUE(isRunning(home, taskOf("waiter"))) << "seed " << seed;
        EXPECT_EQ(world.sentDelegations, 0) << "seed " << seed;
    }
}

// Records

JobProgress makeProgress(std::uint32_t taskCount, std::int64_t waitingSinceUnixMs)
{
    JobProgress progress;
    progress.state = JobState::Running;
    progress.isStarted = true;
    for (std::uint32_t i = 0; i < taskCount; ++i) {
        TaskProgress task;
        task.index = i;
        task.failedRuns = {1001};
        task.crashes = {1, 0, 1, 0};
        task.guest = 2;
        task.run = 1002;
        task.waitingSinceUnixMs = waitingSinceUnixMs;
        progress.tasks.push_back(task);
    }
    return progress;
}

TaskDelegation makeDelegation(std::int64_t waitingSinceUnixMs)
{
    return {77, makeLongRunning(2, Demand), makeProgress(2, waitingSinceUnixMs).tasks};
}

constexpr std::int64_t WaitingSince = 1'765'000'000'123;
// Number of fields that a build without waits writes and reads.
constexpr std::size_t OldProgressFields = 5;
constexpr std::size_t OldDelegationFields = 3;

/// The first \a count fields of \a record.
nlohmann::json firstFields(std::string_view record, std::size_t count)
{
    nlohmann::json row = nlohmann::json::from_cbor(record);
    row.erase(row.begin() + static_cast<std::ptrdiff_t>(count), row.end());
    return row;
}

std::string toBytes(const nlohmann::json &row)
{
    std::string bytes;
    nlohmann::json::to_cbor(row, bytes);
    return bytes;
}

TEST(LongRunningWaitOverOwners, RecordsKeepTheBeginOfAWait)
{
    const auto progress =
        JobRecords::decodeProgress(JobRecords::encodeProgress(makeProgress(2, WaitingSince)));
    ASSERT_EQ(progress.tasks.size(), 2U);
    EXPECT_EQ(progress.tasks.back().waitingSinceUnixMs, WaitingSince);
    EXPECT_EQ(progress.tasks.back().crashes, (CrashHistory{1, 0, 1, 0}));
    const auto delegation =
        JobRecords::decodeDelegation(JobRecords::encodeDelegation(makeDelegation(WaitingSince)));
    ASSERT_EQ(delegation.tasks.size(), 2U);
    EXPECT_EQ(delegation.tasks.back().waitingSinceUnixMs, WaitingSince);
}

TEST(LongRunningWaitOverOwners, RecordsOfABuildWithoutWaitsAreRead)
{
    const std::string progress = toBytes(
        firstFields(JobRecords::encodeProgress(makeProgress(1, WaitingSince)), OldProgressFields));
    EXPECT_EQ(JobRecords::decodeProgress(progress).tasks.front().waitingSinceUnixMs, 0);
    EXPECT_EQ(JobRecords::decodeProgress(progress).tasks.front().run, 1002U);
    const std::string delegation = toBytes(firstFields(
        JobRecords::encodeDelegation(makeDelegation(WaitingSince)), OldDelegationFields));
    EXPECT_EQ(JobRecords::decodeDelegation(delegation).tasks.front().waitingSinceUnixMs, 0);
    EXPECT_EQ(JobRecords::decodeDelegation(delegation).tasks.front().run, 1002U);
}

// A build without waits reads the fields that it knows by their position and no others.
TEST(LongRunningWaitOverOwners, AWaitLeavesTheFieldsOfABuildWithoutWaitsUnchanged)
{
    EXPECT_EQ(
        firstFields(JobRecords::encodeProgress(makeProgress(2, WaitingSince)), OldProgressFields),
        firstFields(JobRecords::encodeProgress(makeProgress(2, 0)), OldProgressFields));
    EXPECT_EQ(firstFields(JobRecords::encodeDelegation(makeDelegation(WaitingSince)),
                          OldDelegationFields),
              firstFields(JobRecords::encodeDelegation(makeDelegation(0)), OldDelegationFields));
}

} // namespace
} // namespace firefly
