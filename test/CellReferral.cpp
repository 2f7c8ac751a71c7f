#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// Refers \a id to \a cell; returns the verdict, or none if there is none within 500 ms.
std::optional<CellScheduler::Verdict> refer(CellWorld &world, const JobId &id, int cell)
{
    std::optional<CellScheduler::Verdict> result;
    world.owner->refer(id, cell, world.unixMs(),
                       [&result](CellScheduler::Verdict verdict) { result = verdict; });
    world.run(500ms);
    return result;
}

// Herding: a cell whose owner had just begun to serve, with no worker listed yet, published a load
// of 0, and all other cells referred their jobs to it.
TEST(CellReferral, ACellWithoutWorkersCountsAsFull)
{
    CellWorld world(1);
    EXPECT_LT(world.owner->load().reserved, 0.01);
    for (const auto &[id, worker] : world.workers) {
        world.owner->onWorkerGone(WorkerId(id), world.now);
    }
    EXPECT_GE(world.owner->load().reserved, 1.0);
    EXPECT_GE(world.owner->load().fillers, 1.0);
    EXPECT_GE(world.owner->load().longRunning, 1.0);
}

// A submission that was repeated after a lost answer, while the store failed or a new owner had not
// read its workers, was refused as if the job never ran.
TEST(CellReferral, AJobThatMayHaveBeenAcceptedIsKnown)
{
    CellWorld world(1);
    EXPECT_FALSE(world.owner->isKnown(JobId("a")));
    world.isStoreDown = true;
    world.submit(JobId("a"), makeChain(1, 1));
    EXPECT_TRUE(world.owner->isKnown(JobId("a"))) << "it may be stored any time";
    world.isStoreDown = false;
    world.run(1s);
    refer(world, JobId("b"), 2);
    world.replaceOwner(world.now);
    EXPECT_TRUE(world.owner->isKnown(JobId("a")));
    EXPECT_TRUE(world.owner->isKnown(JobId("b")));
    EXPECT_FALSE(world.owner->isKnown(JobId("c")));
}

TEST(CellReferral, ASecondReferralDoesNotReplaceTheFirst)
{
    CellWorld world(1);
    EXPECT_EQ(refer(world, JobId("a"), 2), CellScheduler::Verdict::Accepted);
    EXPECT_EQ(refer(world, JobId("a"), 3), CellScheduler::Verdict::Accepted);
    EXPECT_EQ(world.owner->referralOf(JobId("a")), 2);
}

TEST(CellReferral, AReferralIsRestoredByTheNextOwner)
{
    CellWorld world(1);
    refer(world, JobId("a"), 2);
    world.replaceOwner(world.now);
    EXPECT_EQ(world.owner->referralOf(JobId("a")), 2);
    EXPECT_FALSE(world.owner->hasJob(JobId("a")));
}

TEST(CellReferral, AReferralIsVisibleOnlyOnceItIsStored)
{
    CellWorld world(1);
    world.isStoreDown = true;
    EXPECT_EQ(refer(world, JobId("a"), 2), std::nullopt);
    EXPECT_EQ(world.owner->referralOf(JobId("a")), std::nullopt);
    EXPECT_TRUE(world.owner->isReferred(JobId("a")))
        << "a repeated submission must be referred too";
    world.isStoreDown = false;
    world.run(1s);
    EXPECT_EQ(world.owner->referralOf(JobId("a")), 2);
}

TEST(CellReferral, ARefusedReferralIsRemoved)
{
    CellWorld world(1);
    world.isStoreDown = true;
    std::optional<CellScheduler::Verdict> result;
    world.owner->refer(JobId("a"), 2, world.unixMs(),
                       [&result](CellScheduler::Verdict verdict) { result = verdict; });
    world.owner->journal().refusePending();
    EXPECT_EQ(result, CellScheduler::Verdict::NotAccepted);
    EXPECT_FALSE(world.owner->isReferred(JobId("a")));
}

TEST(CellReferral, LoadIsTheDemandOfReadyStepsOverTheCapacity)
{
    CellWorld world(1, 4);
    EXPECT_EQ(world.owner->load().reserved, 0.0);
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 60s;
    }
    // Two steps of 8 tasks of one core on 4 workers of 8 cores; only the first step is ready.
    world.submit(JobId("a"), makeChain(2, 8));
    world.run(1s);
    EXPECT_DOUBLE_EQ(world.owner->load().reserved, 8.0 / 32.0);
    EXPECT_DOUBLE_EQ(world.owner->loadOf(makeChain(2, 8)).reserved, 16.0 / 32.0);
    EXPECT_EQ(world.owner->load().fillers, 0.0);
}

TEST(CellReferral, OnlyTasksThatReserveCountAsLongRunningDemand)
{
    CellWorld world(1, 4);
    JobSpec spec = makeChain(3, 8);
    spec.steps[0].isLongRunning = true;
    spec.steps[1].isLongRunning = true;
    spec.steps[1].isFiller = true;
    const CellLoad load = world.owner->loadOf(spec);
    EXPECT_DOUBLE_EQ(load.longRunning, 8.0 / 32.0);
    EXPECT_DOUBLE_EQ(load.reserved, 16.0 / 32.0);
    EXPECT_DOUBLE_EQ(load.fillers, 8.0 / 32.0);
}

} // namespace
} // namespace firefly
