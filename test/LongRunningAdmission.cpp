#include "fakes/CellWorld.h"
#include "fakes/FleetWorld.h"
#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

BacklogAdmission::Decision decide(CellWorld &world, const std::string &id, const JobSpec &spec)
{
    return world.owner->admit(JobId(id), spec, world.now);
}

/// Hands a job in as CellHost does; returns whether it was taken.
bool handIn(CellWorld &world, const std::string &id, const JobSpec &spec)
{
    if (decide(world, id, spec).isRefused()) {
        return false;
    }
    world.submit(JobId(id), spec);
    return true;
}

std::uint32_t runningTasks(const CellWorld &world, const std::string &id, std::uint32_t count)
{
    std::uint32_t running = 0;
    for (std::uint32_t i = 0; i < count; ++i) {
        running += isRunning(world, {JobId(id), 0, 0, i}) ? 1 : 0;
    }
    return running;
}

void cancel(CellWorld &world, const std::string &id)
{
    world.owner->cancel(JobId(id), world.now, world.unixMs(), [](CellScheduler::Verdict) {});
}

/// Four workers of 8 cores, each with a long-running task of 5 cores; one worker has left, so that
/// its task waits beside pieces of 3 cores.
struct LongRunningAdmission : testing::TestWithParam<std::uint32_t>
{
    LongRunningAdmission()
        : world(GetParam())
    {
        world.run(1s);
        world.submit(JobId("served"), makeSpreadLongRunning(4, 5000));
        world.run(1s);
        EXPECT_EQ(runningTasks(world, "served", 4), 4U);
    }

    /// Lets the worker "w3" and those that drain leave for good.
    void loseWorker()
    {
        world.drainWorker("w3", 500ms);
        world.run(8s);
        EXPECT_LT(runningTasks(world, "served", 4), 4U);
    }

    CellWorld world;
};

TEST_P(LongRunningAdmission, AJobWithoutRoomIsRefusedWhileDisplacedTasksWait)
{
    loseWorker();
    const BacklogAdmission::Decision decision = decide(world, "new", makeLongRunning(1, 4000));
    EXPECT_TRUE(decision.isRefused());
    EXPECT_GT(decision.retryAfter, 0s);
    EXPECT_EQ(decision.retryAfter % 1s, 0s) << "clients are told whole seconds";
    EXPECT_TRUE(decide(world, "wide", makeLongRunning(4, 3000)).isRefused())
        << "only three of the four tasks have room";
    EXPECT_TRUE(decide(world, "spread", makeSpreadLongRunning(4, 1000)).isRefused())
        << "four tasks on workers of their own, of which there are three";
}

TEST_P(LongRunningAdmission, RefusedJobsNeverRun)
{
    loseWorker();
    ASSERT_FALSE(handIn(world, "new", makeLongRunning(1, 4000)));
    cancel(world, "served");
    world.run(1s);
    world.replaceOwner(world.now);
    world.run(5s);
    EXPECT_FALSE(world.owner->isKnown(JobId("new")));
    EXPECT_FALSE(world.audit.runs.contains({JobId("new"), 0, 0, 0}));
}

TEST_P(LongRunningAdmission, AJobWithRoomBesideDisplacedTasksIsAccepted)
{
    loseWorker();
    ASSERT_TRUE(handIn(world, "new", makeLongRunning(3, 3000)));
    world.run(8s);
    EXPECT_EQ(runningTasks(world, "new", 3), 3U);
    EXPECT_FALSE(handIn(world, "next", makeLongRunning(1, 3000)));
}

TEST_P(LongRunningAdmission, AcceptedJobsTakeRoomBeforeTheyRun)
{
    loseWorker();
    EXPECT_TRUE(handIn(world, "first", makeLongRunning(2, 3000)));
    EXPECT_FALSE(handIn(world, "second", makeLongRunning(2, 3000)));
    EXPECT_TRUE(handIn(world, "third", makeLongRunning(1, 3000)));
}

TEST_P(LongRunningAdmission, RoomOfBatchTasksCounts)
{
    loseWorker();
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 2s;
    }
    JobSpec batch = makeChain(1, 3);
    batch.steps.front().demand.milliCpu = 3000;
    world.submit(JobId("batch"), batch);
    world.run(500ms);
    ASSERT_EQ(runningTasks(world, "batch", 3), 3U);
    EXPECT_TRUE(handIn(world, "new", makeLongRunning(3, 3000)));
}

TEST_P(LongRunningAdmission, RoomThatDisplacedTasksNeedIsNotFree)
{
    // The displaced task fits where the batch job ends.
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 20s;
    }
    const std::string added = world.joinWorker(100ms);
    world.workers.at(added)->workTime = 20s;
    world.run(1s);
    JobSpec batch = makeChain(1, 1);
    batch.steps.front().demand.milliCpu = 8000;
    world.submit(JobId("batch"), batch);
    world.run(500ms);
    loseWorker();
    EXPECT_TRUE(decide(world, "new", makeLongRunning(1, 4000)).isRefused());
    EXPECT_FALSE(decide(world, "new", makeLongRunning(4, 3000)).isRefused());
}

TEST_P(LongRunningAdmission, KnownJobsAreNeverRefused)
{
    loseWorker();
    EXPECT_EQ(decide(world, "served", makeSpreadLongRunning(4, 5000)).reason,
              AdmissionReason::NotLimited);
    world.owner->refer(JobId("referred"), 1, world.unixMs(), [](CellScheduler::Verdict) {});
    EXPECT_EQ(decide(world, "referred", makeLongRunning(1, 5000)).reason,
              AdmissionReason::NotLimited);
    JobSpec scheduled = makeLongRunning(1, 5000);
    scheduled.repetitions = 2;
    EXPECT_EQ(decide(world, "scheduled", scheduled).reason, AdmissionReason::NotLimited);
}

TEST_P(LongRunningAdmission, NothingIsRefusedWhileNoDisplacedTaskWaits)
{
    EXPECT_FALSE(decide(world, "new", makeLongRunning(1, 4000)).isRefused());
    // A first start that waits displaces nobody.
    ASSERT_TRUE(handIn(world, "new", makeLongRunning(1, 4000)));
    world.run(3s);
    EXPECT_FALSE(decide(world, "next", makeLongRunning(1, 4000)).isRefused());
}

TEST_P(LongRunningAdmission, WithRoomAgainTheJobIsAccepted)
{
    world.drainWorker("w2", 500ms);
    loseWorker();
    const JobSpec spec = makeLongRunning(1, 4000);
    ASSERT_FALSE(handIn(world, "new", spec));
    world.joinWorker(100ms);
    world.run(3s);
    ASSERT_EQ(runningTasks(world, "served", 4), 3U);
    EXPECT_FALSE(handIn(world, "new", spec)) << "one of the displaced tasks has the new worker";
    world.joinWorker(100ms);
    world.joinWorker(100ms);
    world.run(3s);
    EXPECT_TRUE(handIn(world, "new", spec));
    world.run(3s);
    EXPECT_TRUE(isRunning(world, {JobId("new"), 0, 0, 0}));
}

TEST_P(LongRunningAdmission, AfterACancelTheJobIsAccepted)
{
    loseWorker();
    const JobSpec spec = makeLongRunning(1, 4000);
    ASSERT_FALSE(handIn(world, "new", spec));
    cancel(world, "served");
    world.run(2s);
    EXPECT_TRUE(handIn(world, "new", spec));
    world.run(3s);
    EXPECT_TRUE(isRunning(world, {JobId("new"), 0, 0, 0}));
}

TEST_P(LongRunningAdmission, ANewOwnerRefusesOnlyOnceItKnowsItsWorkers)
{
    loseWorker();
    world.listDelay = 500ms;
    world.replaceOwner(world.now);
    EXPECT_FALSE(decide(world, "new", makeLongRunning(1, 4000)).isRefused());
    world.run(2s);
    EXPECT_TRUE(decide(world, "new", makeLongRunning(1, 4000)).isRefused());
}

TEST_P(LongRunningAdmission, ANewOwnerOfASoundCellRefusesNothing)
{
    // Workers that haven't answered yet hold the tasks of the earlier owner.
    world.replaceOwner(world.now);
    for (int i = 0; i < 100; ++i) {
        world.run(10ms);
        ASSERT_FALSE(decide(world, "new", makeLongRunning(1, 3000)).isRefused()) << i;
    }
}

TEST_P(LongRunningAdmission, TasksDelegatedToTheCellCount)
{
    FleetWorld fleet(GetParam(), 2, 4);
    fleet.run(1s);
    fleet.cell(0).submit(JobId("served"), makeSpreadLongRunning(4, 5000));
    fleet.cell(1).submit(JobId("small"), makeSpreadLongRunning(3, 5000));
    fleet.run(1s);
    fleet.cell(0).drainWorker("w3", 500ms);
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.cell(0).owner->guests().contains(1); }, 8s));
    fleet.run(4s);
    // The guest's task runs in the only piece; without its worker two tasks wait there.
    EXPECT_FALSE(decide(fleet.cell(0), "new", makeLongRunning(1, 3000)).isRefused());
    fleet.cell(1).drainWorker("w3", 500ms);
    fleet.run(8s);
    EXPECT_TRUE(decide(fleet.cell(1), "new", makeLongRunning(1, 4000)).isRefused());
    EXPECT_EQ(fleet.allViolations(), std::vector<std::string>{});
}

TEST_P(LongRunningAdmission, AReferredJobIsDecidedByItsGuestOnEachSubmission)
{
    FleetWorld fleet(GetParam(), 2, 4);
    CellWorld &home = fleet.cell(0);
    CellWorld &guest = fleet.cell(1);
    fleet.run(1s);
    // The home has no room for a task of the guest.
    home.submit(JobId("own"), makeSpreadLongRunning(4, 5000));
    guest.submit(JobId("served"), makeSpreadLongRunning(4, 5000));
    fleet.run(1s);
    guest.drainWorker("w3", 500ms);
    fleet.run(4s);
    const JobId id("new");
    const JobSpec spec = makeLongRunning(1, 4000);
    // As the home does for each submission of a job that it has referred.
    const auto refer = [&] {
        home.owner->refer(id, 1, home.unixMs(), [](CellScheduler::Verdict) {});
        fleet.run(100ms);
    };
    for (int i = 0; i < 3; ++i) {
        refer();
        ASSERT_EQ(home.owner->referralOf(id), 1);
        EXPECT_FALSE(handIn(guest, id.value(), spec));
    }
    guest.joinWorker(100ms);
    guest.joinWorker(100ms);
    fleet.run(3s);
    refer();
    EXPECT_EQ(home.owner->referralOf(id), 1);
    EXPECT_TRUE(handIn(guest, id.value(), spec));
    fleet.run(2s);
    EXPECT_TRUE(isRunning(guest, {id, 0, 0, 0}));
    EXPECT_FALSE(home.owner->hasJob(id));
}

INSTANTIATE_TEST_SUITE_P(Seeds, LongRunningAdmission, testing::Range(1U, 4U));

} // namespace
} // namespace firefly
