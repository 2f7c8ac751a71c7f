#include "fakes/FleetWorld.h"
#include "fakes/LongRunningTasks.h"
#include "Fleet/ReferralPolicy.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 10;

/// A cell with the workers w0 and w1 in zone a, and w2 and w3 in zone b.
class ZonedWorld : public CellWorld
{
public:
    explicit ZonedWorld(std::uint32_t seed)
        : CellWorld(seed)
    {
        for (auto &[id, worker] : workers) {
            worker->zone = id < "w2" ? "a" : "b";
            owner->onWorkerListed(worker->describe(), now);
        }
        run(500ms);
    }

    std::size_t runningIn(const std::string &zone) const
    {
        std::size_t count = 0;
        for (const auto &[id, worker] : workers) {
            count += worker->zone == zone ? worker->runningTasks().size() : 0;
        }
        return count;
    }

    /// Submits small jobs of two steps for \a span, one each 20 ms.
    void submitBurst(const std::string &prefix, Duration span)
    {
        const TimePoint end = now + span;
        for (int i = 0; now < end; ++i) {
            submit(JobId(prefix + std::to_string(i)), makeChain(2, 4));
            run(20ms);
        }
    }
};

JobSpec makeGang(std::uint32_t count, std::int64_t milliCpu)
{
    JobSpec spec = makeChain(1, count);
    spec.steps.front().isGang = true;
    spec.steps.front().demand.milliCpu = milliCpu;
    return spec;
}

const std::vector<std::string> NoViolations;

// CellWorld reports each start order to an evacuated zone as a violation.

TEST(ZoneEvacuation, ABurstOfJobsStartsNothingInTheZone)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        ZonedWorld world(seed);
        world.submitBurst("before", 600ms);
        ASSERT_GT(world.runningIn("a"), 0U);
        world.evacuate({"a"});
        world.submitBurst("after", 600ms);
        world.run(1s);
        EXPECT_EQ(world.runningIn("a"), 0U) << "seed " << seed;
        world.run(20s);
        EXPECT_TRUE(world.isFinished(JobId("after0"))) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, NoViolations) << "seed " << seed;
    }
}

TEST(ZoneEvacuation, WhatRunsInTheZoneGoesOn)
{
    ZonedWorld world(1);
    world.submit(JobId("long"), makeSpreadLongRunning(4, 5000));
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 3s;
    }
    world.submit(JobId("batch"), makeChain(1, 4));
    world.run(1s);
    ASSERT_EQ(world.audit.runs.size(), 8U);
    world.evacuate({"a", "b"});
    world.run(10s);
    EXPECT_TRUE(world.isFinished(JobId("batch")));
    EXPECT_EQ(world.runningIn("a"), 2U);
    for (const auto &[task, runs] : world.audit.runs) {
        EXPECT_EQ(runs.size(), 1U) << task.job.value() << "." << task.index;
    }
    EXPECT_EQ(world.audit.violations, NoViolations);
}

TEST(ZoneEvacuation, ALongRunningTaskThatIsLostRestartsElsewhere)
{
    ZonedWorld world(2);
    world.submit(JobId("long"), makeSpreadLongRunning(2, 5000));
    world.run(1s);
    world.evacuate({"a"});
    for (auto &[id, worker] : world.workers) {
        if (worker->zone == "a") {
            worker->reboot(world.now);
        }
    }
    world.run(MaxDowntime);
    EXPECT_EQ(world.runningIn("a"), 0U);
    EXPECT_EQ(world.runningIn("b"), 2U);
    EXPECT_EQ(world.audit.violations, NoViolations);
}

TEST(ZoneEvacuation, AGangWaitsUntilItFitsOutsideTheZone)
{
    ZonedWorld world(3);
    world.evacuate({"a"});
    world.submit(JobId("large"), makeGang(3, 5000));
    world.submit(JobId("small"), makeGang(2, 5000));
    world.run(3s);
    EXPECT_TRUE(world.isFinished(JobId("small")));
    EXPECT_FALSE(world.audit.everStarted.contains("large"));
    world.evacuate({});
    world.run(3s);
    EXPECT_TRUE(world.isFinished(JobId("large")));
    EXPECT_EQ(world.audit.violations, NoViolations);
}

TEST(ZoneEvacuation, OrdersThatWaitToBeSentAreWithdrawn)
{
    ZonedWorld world(4);
    world.owner->suspendStarts();
    world.submit(JobId("gang"), makeGang(3, 5000));
    world.submit(JobId("batch"), makeChain(1, 4));
    world.run(200ms);
    world.owner->setEvacuatedZones({});
    world.owner->tick(world.now, world.unixMs());
    ASSERT_FALSE(world.owner->state().workers.at("w0")->tasks.empty());
    world.evacuate({"a"});
    EXPECT_TRUE(world.owner->state().workers.at("w0")->tasks.empty());
    world.run(5s);
    EXPECT_TRUE(world.isFinished(JobId("batch")));
    EXPECT_FALSE(world.audit.everStarted.contains("gang"));
    EXPECT_EQ(world.audit.violations, NoViolations);
}

TEST(ZoneEvacuation, ANewOwnerObeysTheRequest)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        ZonedWorld world(seed);
        world.submitBurst("before", 300ms);
        world.evacuate({"a"});
        world.submitBurst("after", 100ms);
        world.replaceOwner(world.now + 2s);
        world.submitBurst("later", 300ms);
        world.run(20s);
        EXPECT_TRUE(world.isFinished(JobId("later0"))) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, NoViolations) << "seed " << seed;
    }
}

TEST(ZoneEvacuation, AnOwnerThatHasNotReadTheRequestsStartsNothing)
{
    ZonedWorld world(5);
    world.owner->suspendStarts();
    world.submit(JobId("job"), makeChain(1, 4));
    world.run(3s);
    EXPECT_EQ(world.starts, 0U);
    world.evacuate({"a"});
    world.run(3s);
    EXPECT_TRUE(world.isFinished(JobId("job")));
    EXPECT_EQ(world.audit.violations, NoViolations);
}

TEST(ZoneEvacuation, ARestartedWorkerOfTheZoneGetsNothing)
{
    ZonedWorld world(6);
    world.evacuate({"a"});
    world.crashWorker("w0", 1s);
    world.submitBurst("job", 2s);
    world.run(5s);
    EXPECT_EQ(world.audit.violations, NoViolations);
}

TEST(ZoneEvacuation, WithTwoZonesEvacuatedTheWorkWaitsForOneToBeGivenBack)
{
    ZonedWorld world(7);
    world.evacuate({"a", "b"});
    world.submit(JobId("job"), makeChain(1, 4));
    world.run(3s);
    EXPECT_FALSE(world.audit.everStarted.contains("job"));
    world.evacuate({"b"});
    world.run(1s);
    EXPECT_TRUE(world.isFinished(JobId("job")));
    EXPECT_EQ(world.audit.violations, NoViolations);
}

TEST(ZoneEvacuation, ARequestThatIsWithdrawnAndRepeatedWithinASecondHolds)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        ZonedWorld world(seed);
        world.evacuate({"a"});
        world.submitBurst("one", 200ms);
        world.evacuate({});
        world.submitBurst("two", 300ms);
        world.evacuate({"a"});
        world.submitBurst("three", 300ms);
        world.run(20s);
        EXPECT_TRUE(world.isFinished(JobId("three0"))) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, NoViolations) << "seed " << seed;
    }
}

TEST(ZoneEvacuation, ReservedCapacityInTheZoneIsGivenUp)
{
    ZonedWorld world(8);
    // The tasks of a draining worker get reservations on the others.
    world.submit(JobId("long"), makeSpreadLongRunning(3, 5000));
    world.run(1s);
    drain(world, "w3");
    world.evacuate({"a"});
    world.run(MaxDowntime);
    EXPECT_EQ(world.audit.violations, NoViolations);
}

TEST(ZoneEvacuation, TheLoadCountsOnlyWorkersThatTakeTasks)
{
    ZonedWorld world(9);
    const double milliCpu = world.owner->load().milliCpu;
    const CellLoad job = world.owner->loadOf(makeChain(1, 4));
    world.evacuate({"a"});
    EXPECT_DOUBLE_EQ(world.owner->load().milliCpu, milliCpu / 2);
    EXPECT_FALSE(world.owner->isEvacuated("svc"));
    world.evacuate({"a", "b"});
    EXPECT_EQ(world.owner->load().reserved, 1.0);
    EXPECT_TRUE(world.owner->isEvacuated("svc"));
    EXPECT_TRUE(world.owner->roomByService().empty());
    EXPECT_DOUBLE_EQ(world.owner->loadOf(makeChain(1, 4)).reserved, job.reserved);
}

TEST(ZoneEvacuation, EachNewJobOfAnEvacuatedCellIsReferredAlsoToFullCells)
{
    constexpr std::size_t Home = 1;
    const std::vector<std::optional<CellLoad>> others = {CellLoad{1.2, 0.3, 0.2, 1e6}, std::nullopt,
                                                         CellLoad{0.9, 0.0, 0.1, 1e6}};
    ReferralPolicy policy;
    for (int i = 0; i < 50; ++i) {
        const ReferralPolicy::Job job{JobId("job" + std::to_string(i)), {0.02, 0.0, 0.02, 0.0}};
        const TimePoint now(100s + i * 20ms);
        const CellLoad own = ReferralPolicy::loadAbove(others);
        const auto forBatch = policy.chooseForBatch(job, own, others, now);
        EXPECT_TRUE(forBatch == 0 || forBatch == 2) << job.id.value();
        auto loads = others;
        loads[Home] = own;
        const auto forLongRunning = policy.chooseForLongRunning(job, Home, true, loads, now);
        EXPECT_TRUE(forLongRunning == 0 || forLongRunning == 2) << job.id.value();
    }
}

TEST(ZoneEvacuation, WaitingLongRunningTasksOfAnEvacuatedCellAreDelegated)
{
    FleetWorld world(1, 2, 4);
    for (auto &[id, worker] : world.cell(0).workers) {
        worker->zone = "a";
        world.cell(0).owner->onWorkerListed(worker->describe(), world.now());
    }
    world.run(500ms);
    world.cell(0).evacuate({"a"});
    world.cell(0).submit(JobId("long"), makeSpreadLongRunning(2, 5000));
    const auto isServed = [&world] {
        return isRunning(world.cell(1), {JobId("long"), 0, 0, 0})
               && isRunning(world.cell(1), {JobId("long"), 0, 0, 1});
    };
    EXPECT_TRUE(world.runUntil(isServed, MaxDowntime));
    EXPECT_EQ(world.allViolations(), NoViolations);
}

} // namespace
} // namespace firefly
