#include "fakes/CellWorld.h"
#include "Locality.h"
#include "platform/SettingsFile.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// Time after which a job with nothing running counts as lost while there is capacity.
constexpr Duration LostAfter = 3s;
constexpr TimePoint Now{100s};

/// A task that takes 1 s on its rack and 2 s elsewhere, in an idle cell, with much time left.
PlacementOption makeOption(std::optional<Duration> nearIn)
{
    PlacementOption option;
    option.duration = 1s;
    option.farFactor = 2.0;
    option.slack = 60s;
    option.since = Now;
    option.nearAt = nearIn ? std::optional(Now + *nearIn) : std::nullopt;
    return option;
}

void loseWaits(DelayScheduling &scheduling, int count, TimePoint now)
{
    for (int i = 0; i < count; ++i) {
        scheduling.onEnded({"r1", now, now, now}, false, now);
    }
}

TEST(DelayScheduling, ATaskWaitsForARackThatIsFreeSoon)
{
    const auto wait = DelayScheduling().decide("r1", makeOption(300ms), {}, Now);
    ASSERT_TRUE(wait);
    EXPECT_GT(wait->until, Now + 300ms);
    EXPECT_LE(wait->until, Now + 1s) << "no longer than a run elsewhere takes longer";
}

TEST(DelayScheduling, ATaskGoesFarAtOnceIfItsRackIsNeverFreeOrTooLate)
{
    const DelayScheduling scheduling;
    EXPECT_FALSE(scheduling.decide("r1", makeOption({}), {}, Now));
    EXPECT_FALSE(scheduling.decide("r1", makeOption(1100ms), {}, Now));
}

TEST(DelayScheduling, AWaitForAWrongEstimateEndsAtItsTime)
{
    const DelayScheduling scheduling;
    PlacementOption option = makeOption(300ms);
    auto wait = scheduling.decide("r1", option, {}, Now);
    const TimePoint until = wait.value().until;
    TimePoint now = Now;
    for (; wait && now < Now + LostAfter; now += 10ms) {
        // The end seems near at all times.
        option.nearAt = now + 20ms;
        option.slack = 60s - (now - Now);
        wait = scheduling.decide("r1", option, wait, now);
        EXPECT_TRUE(!wait || wait->until <= until);
    }
    EXPECT_FALSE(wait);
    EXPECT_LE(now, until + 10ms);
}

TEST(DelayScheduling, AWaitOfALongTaskStaysUnderItsLimit)
{
    PlacementOption option = makeOption(1500ms);
    option.duration = 60s;
    option.slack = 600s;
    const auto wait = DelayScheduling().decide("r1", option, {}, Now);
    ASSERT_TRUE(wait);
    EXPECT_LE(wait->until, Now + DelayScheduling::MaxWait);
    option.nearAt = Now + 2100ms;
    EXPECT_FALSE(DelayScheduling().decide("r1", option, {}, Now));
}

TEST(DelayScheduling, LostWaitsOnARackShortenTheNextOnesForAWhile)
{
    DelayScheduling scheduling;
    loseWaits(scheduling, 1, Now);
    EXPECT_TRUE(scheduling.decide("r1", makeOption(700ms), {}, Now));
    loseWaits(scheduling, 5, Now);
    EXPECT_FALSE(scheduling.decide("r1", makeOption(700ms), {}, Now));
    EXPECT_TRUE(scheduling.decide("r1", makeOption(100ms), {}, Now));
    EXPECT_TRUE(scheduling.decide("r2", makeOption(700ms), {}, Now));
    PlacementOption later = makeOption(700ms);
    later.since += 60s;
    *later.nearAt += 60s;
    EXPECT_TRUE(scheduling.decide("r1", later, {}, Now + 60s));
    EXPECT_EQ(scheduling.counters().lost, 6U);
}

TEST(DelayScheduling, AHundredTasksOfAHotRackShareItsPlaces)
{
    // Ten tasks that end every 200 ms.
    const ResourceVector demand{1000, 100, 0};
    RackForecast forecast;
    forecast.addWorker("w0", {}, Now);
    for (int i = 1; i <= 10; ++i) {
        forecast.addRoom("w0", Now + i * 200ms, demand);
    }
    const DelayScheduling scheduling;
    std::vector<TimePoint> places;
    int farCount = 0;
    for (int i = 0; i < 100; ++i) {
        const auto place = forecast.findEarliest(demand, [](const std::string &) { return true; });
        PlacementOption option = makeOption({});
        option.nearAt = place ? std::optional(place->at) : std::nullopt;
        if (!scheduling.decide("r1", option, {}, Now)) {
            ++farCount;
            continue;
        }
        forecast.take(*place, demand, option.duration);
        places.push_back(place->at);
    }
    // A place that comes 1 s or later isn't worth 1 s.
    const std::vector<TimePoint> expected{Now + 200ms, Now + 400ms, Now + 600ms, Now + 800ms};
    EXPECT_EQ(places, expected);
    EXPECT_EQ(farCount, 96);
}

TEST(DelayScheduling, ATaskWithATightObjectiveGoesFarAtOnce)
{
    const DelayScheduling scheduling;
    PlacementOption option = makeOption(300ms);
    option.slack = 1050ms;
    EXPECT_FALSE(scheduling.decide("r1", option, {}, Now));
    // Only a run on its rack can still be in time.
    option.slack = 500ms;
    EXPECT_TRUE(scheduling.decide("r1", option, {}, Now));
}

TEST(DelayScheduling, ABusyCellWaitsLongerThanAnIdleOne)
{
    PlacementOption option = makeOption(1300ms);
    EXPECT_FALSE(DelayScheduling().decide("r1", option, {}, Now));
    option.contention = 1.0;
    EXPECT_TRUE(DelayScheduling().decide("r1", option, {}, Now));
    // The job would be late for the sake of others.
    option.slack = 500ms;
    EXPECT_FALSE(DelayScheduling().decide("r1", option, {}, Now));
}

TEST(DelayScheduling, ANewOwnerContinuesAWaitAndBeginsNoneWithoutKnowledge)
{
    PlacementOption option = makeOption(300ms);
    option.duration = 60s;
    option.slack = 600s;
    option.since = Now - 1500ms;
    const auto wait = DelayScheduling().decide("r1", option, {}, Now);
    ASSERT_TRUE(wait);
    EXPECT_LE(wait->until, option.since + DelayScheduling::MaxWait);
    option.since = Now - 2s;
    EXPECT_FALSE(DelayScheduling().decide("r1", option, {}, Now));
    option.since = TimePoint{};
    EXPECT_FALSE(DelayScheduling().decide("r1", option, {}, Now));
}

TEST(RackForecast, ProgressCountsMoreThanTheEstimate)
{
    EXPECT_EQ(expectedRemaining({1s, 400ms, 0}), Duration(600ms));
    EXPECT_EQ(expectedRemaining({1s, 400ms, 20}), Duration(1600ms));
    EXPECT_EQ(expectedRemaining({1s, {}, 75}), Duration(250ms));
    EXPECT_EQ(expectedRemaining({1s, 4s, 0}), Duration(1s));
    EXPECT_FALSE(expectedRemaining({Duration{}, 400ms, 0}));
}

TEST(RackForecast, APlaceLeavesTheRoomOfOtherWaitingTasks)
{
    RackForecast forecast;
    forecast.addWorker("w0", {1000, 1000, 0}, Now);
    forecast.addRoom("w0", Now + 1s, {3000, 0, 0});
    const auto any = [](const std::string &) { return true; };
    forecast.take({"w0", Now + 1s}, {4000, 0, 0}, 1s);
    EXPECT_EQ(forecast.findEarliest({1000, 0, 0}, any).value().at, Now + 2s);
    EXPECT_FALSE(forecast.findEarliest({5000, 0, 0}, any));
    EXPECT_FALSE(forecast.findEarliest({1000, 0, 0}, [](const std::string &) { return false; }));
}

// The same in a cell: w0 is on rack r1, w1 on r2.

constexpr Duration Settling = 500ms;

void setUp(CellWorld &world, bool hasPlaceWaits = true)
{
    world.bounds.farFactor = 2.0;
    world.bounds.hasPlaceWaits = hasPlaceWaits;
    world.workers.at("w1")->rack = "r2";
    for (auto &[id, worker] : world.workers) {
        worker->isProgressing = false;
    }
    world.replaceOwner(world.now);
    world.run(Settling);
}

JobSpec makeLocalJob(std::uint32_t count, std::int64_t estimateMs)
{
    JobSpec spec = makeChain(1, count);
    spec.steps.front().dataRack = "r1";
    spec.steps.front().estimateMs = estimateMs;
    spec.policy.targetLatencyMs = 60000;
    return spec;
}

/// Fills w0 with tasks that take \a workTime and are expected to take \a estimateMs.
void fillRack(CellWorld &world, Duration workTime, std::int64_t estimateMs)
{
    world.workers.at("w0")->workTime = workTime;
    world.submit(JobId("blocker"), makeLocalJob(8, estimateMs));
    world.run(100ms);
    ASSERT_EQ(world.workers.at("w0")->runningTasks().size(), 8U);
}

const TaskName Hot{JobId("hot"), 0, 0, 0};

/// Where Hot runs; empty if nowhere.
std::string workerOfHot(const CellWorld &world)
{
    const auto it = world.audit.runningOn.find(Hot);
    return it == world.audit.runningOn.end() || it->second.empty() ? "" : *it->second.begin();
}

/// Time until Hot runs; \a limit if it doesn't.
Duration runUntilHotRuns(CellWorld &world, Duration limit)
{
    const TimePoint begin = world.now;
    while (workerOfHot(world).empty() && world.now - begin < limit) {
        world.step();
    }
    return world.now - begin;
}

TEST(DelayScheduling, AWaitingTaskStartsNearWhenAPlaceBecomesFree)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        CellWorld world(seed, 2);
        setUp(world);
        fillRack(world, 500ms, 500);
        world.submit(Hot.job, makeLocalJob(1, 2000));
        runUntilHotRuns(world, LostAfter);
        EXPECT_EQ(workerOfHot(world), "w0") << "seed " << seed;
        EXPECT_EQ(world.owner->state().placeWaits.counters().paid, 1U);
    }
}

TEST(DelayScheduling, ATaskRunsBeforeItsJobIsLostIfTheRackStaysFull)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        CellWorld world(seed, 2);
        setUp(world);
        fillRack(world, 60s, 500);
        world.submit(Hot.job, makeLocalJob(1, 60000));
        EXPECT_LT(runUntilHotRuns(world, LostAfter), LostAfter) << "seed " << seed;
        EXPECT_EQ(workerOfHot(world), "w1");
        EXPECT_EQ(world.owner->state().placeWaits.counters().lost, 1U);
    }
}

TEST(DelayScheduling, AnOwnerChangeDuringAWaitDoesNotBeginItAnew)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        CellWorld world(seed, 2);
        setUp(world);
        fillRack(world, 60s, 1700);
        world.submit(Hot.job, makeLocalJob(1, 60000));
        world.run(1500ms);
        ASSERT_EQ(workerOfHot(world), "") << "it should wait";
        world.replaceOwner(world.now);
        EXPECT_LT(1500ms + runUntilHotRuns(world, LostAfter), LostAfter) << "seed " << seed;
    }
}

TEST(DelayScheduling, NothingWaitsForAnEvacuatedRack)
{
    CellWorld world(1, 2);
    setUp(world);
    fillRack(world, 500ms, 500);
    world.workers.at("w0")->isDraining = true;
    world.owner->onWorkerListed(world.workers.at("w0")->describe(), world.now);
    world.submit(Hot.job, makeLocalJob(1, 2000));
    runUntilHotRuns(world, LostAfter);
    EXPECT_EQ(workerOfHot(world), "w1");
    EXPECT_EQ(world.owner->state().placeWaits.counters().begun, 0U);
}

TEST(DelayScheduling, ATaskGoesFarAtOnceWithWaitsSwitchedOff)
{
    CellWorld world(1, 2);
    setUp(world, false);
    fillRack(world, 500ms, 500);
    world.submit(Hot.job, makeLocalJob(1, 2000));
    runUntilHotRuns(world, LostAfter);
    EXPECT_EQ(workerOfHot(world), "w1");
}

TEST(DelayScheduling, SettingsTellTheFactorAndMaySwitchWaitsOff)
{
    const std::string path = testing::TempDir() + "place-waits.yaml";
    const std::string common = "node_name: n\nip: 10.0.0.1\nlisten_addrs: {front: '10.0.0.1:80'}\n"
                               "internal_ports: [1, 2]\nplatform: {address: '10.0.0.2:80'}\n";
    std::ofstream(path) << common;
    EXPECT_EQ(platform::readSettings(path).bounds.farFactor, 1.0);
    EXPECT_TRUE(platform::readSettings(path).bounds.hasPlaceWaits);
    std::ofstream(path) << common
                        << "bounds: {far_factor: 2.5}\nscheduling: {place_waits: false}\n";
    EXPECT_EQ(platform::readSettings(path).bounds.farFactor, 2.5);
    EXPECT_FALSE(platform::readSettings(path).bounds.hasPlaceWaits);
    std::remove(path.c_str());
}

TEST(DelayScheduling, AGangWaitsForAWholeRack)
{
    for (const bool isRackFull : {false, true}) {
        CellWorld world(1, 3);
        world.workers.at("w0")->capacity.milliCpu = 7000;
        world.workers.at("w1")->capacity.milliCpu = 7000;
        setUp(world);
        if (isRackFull) {
            JobSpec blocker = makeLocalJob(1, 500);
            blocker.steps.front().demand.milliCpu = 8000;
            world.submit(JobId("blocker"), blocker);
            world.run(100ms);
            ASSERT_EQ(world.workers.at("w2")->runningTasks().size(), 1U);
        }
        JobSpec gang = makeLocalJob(2, 2000);
        gang.steps.front().demand.milliCpu = 6000;
        gang.steps.front().dataRack.clear();
        gang.steps.front().isGang = true;
        gang.steps.front().hasRackAffinity = true;
        world.submit(Hot.job, gang);
        runUntilHotRuns(world, LostAfter);
        world.run(100ms);
        EXPECT_EQ(world.workers.at("w0")->runningTasks().size(), 1U);
        EXPECT_TRUE(world.workers.at("w1")->isIdle());
        EXPECT_EQ(world.workers.at("w2")->runningTasks().size(), 1U);
        EXPECT_EQ(world.owner->state().placeWaits.counters().paid, isRackFull ? 1U : 0U);
    }
}

} // namespace
} // namespace firefly
