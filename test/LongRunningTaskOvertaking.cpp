#include "Cell/Placement.h"
#include "Cell/TaskLedger.h"
#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <random>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr int BatchTasksPerWorker = 4;

/// Fills w1 and w2 with batch tasks of 2000 without an estimate, which end one after the other, the
/// last after four seconds or later.
void fillWithStaggeredBatch(CellWorld &world)
{
    std::uniform_int_distribution<int> variationMs(0, 300);
    for (int i = 0; i < BatchTasksPerWorker; ++i) {
        for (auto &[id, worker] : world.workers) {
            worker->workTime =
                1500ms + i * 800ms + std::chrono::milliseconds(variationMs(world.random));
        }
        JobSpec batch = makeChain(1, 2);
        batch.steps.front().demand.milliCpu = 2000;
        batch.steps.front().estimateMs = 0;
        batch.steps.front().maxPerWorker = 1;
        world.submit(JobId("batch" + std::to_string(i)), batch);
        world.run(100ms);
    }
}

// The piece that each ended batch task leaves is too small for the displaced task.  Tasks that have
// never run and fit it must not take all pieces, as two of one worker suffice.
TEST(LongRunningTaskOvertaking, FirstStartsDoNotTakeThePiecesThatADisplacedTaskNeeds)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        CellWorld world(seed, 3);
        world.workers.at("w0")->capacity = {3000, 64000, 0};
        world.replaceOwner(world.now);
        world.run(500ms);
        world.submit(JobId("displaced"), makeSpreadLongRunning(1, 3000));
        world.run(500ms);
        ASSERT_TRUE(isRunningOn(world, {JobId("displaced"), 0, 0, 0}, "w0"));
        fillWithStaggeredBatch(world);
        for (int i = 0; i < 2 * BatchTasksPerWorker; ++i) {
            world.submit(JobId("new" + std::to_string(i)), makeLongRunning(1, 2000));
        }
        world.run(100ms);
        drain(world, "w0");
        world.run(MaxDowntime);
        EXPECT_TRUE(isRunning(world, {JobId("displaced"), 0, 0, 0})) << "seed " << seed;
        world.run(1s);
        int started = 0;
        for (int i = 0; i < 2 * BatchTasksPerWorker; ++i) {
            started += isRunning(world, {JobId("new" + std::to_string(i)), 0, 0, 0}) ? 1 : 0;
        }
        // The displaced task leaves 5000 of its worker and 8000 of the other.
        EXPECT_EQ(started, 6) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
    }
}

// A displaced task that fits no worker must not keep others from their first start for ever.
TEST(LongRunningTaskOvertaking, FirstStartsWaitForADisplacedTaskNoLongerThanThePlatformTolerates)
{
    CellWorld world(1, 2);
    world.workers.at("w0")->capacity = {9000, 64000, 0};
    world.replaceOwner(world.now);
    world.run(500ms);
    world.submit(JobId("displaced"), makeLongRunning(1, 9000));
    world.run(500ms);
    ASSERT_TRUE(isRunning(world, {JobId("displaced"), 0, 0, 0}));
    drain(world, "w0");
    world.run(500ms);
    world.submit(JobId("new"), makeLongRunning(1, 2000));
    world.submit(JobId("batch"), makeChain(1, 1));
    world.run(MaxDowntime - 1s);
    EXPECT_FALSE(isRunning(world, {JobId("new"), 0, 0, 0}));
    EXPECT_TRUE(world.isFinished(JobId("batch")));
    EXPECT_TRUE(std::ranges::any_of(world.decisions, [](const LogDecision &it) {
        return it.task.job == JobId("new") && it.detail.ends_with(" held_back=1");
    }));
    // The cell places pending tasks at least once a second.
    world.run(2s);
    EXPECT_TRUE(isRunning(world, {JobId("new"), 0, 0, 0}));
    EXPECT_FALSE(isRunning(world, {JobId("displaced"), 0, 0, 0}));
}

/// One worker with room for one task of 5000, and jobs with pending tasks.
class OvertakingTest : public ::testing::Test
{
protected:
    OvertakingTest()
        : placement(state, interference)
    {
        state.ordersUntil = now + 60s;
        addWorker("w0", "svc");
    }

    void addWorker(const std::string &id, const std::string &service)
    {
        auto &worker = state.workers[id];
        worker = std::make_unique<CellWorker>();
        worker->info.id = WorkerId(id);
        worker->info.service = service;
        worker->info.capacity = {8000, 64000, 0};
        worker->isRegistered = true;
        worker->isContacted = true;
        worker->isRecorded = true;
    }

    CellJob &addJob(const std::string &id, const JobSpec &spec)
    {
        auto &job = state.jobs[id];
        job = std::make_unique<CellJob>();
        job->id = JobId(id);
        job->spec = spec;
        job->isDurable = true;
        job->objective = now + ++m_jobCount * 1s;
        for (const StepSpec &it : spec.steps) {
            job->images.push_back(interference.indexOf(it.image));
        }
        TaskLedger::addOccurrence(*job, 0, TaskState::Pending);
        return *job;
    }

    /// A job with a task that has run before and waits.
    CellTask &addDisplaced(const std::string &id, const JobSpec &spec)
    {
        CellTask &task = TaskRef{&addJob(id, spec), 0, 0, 0}.task();
        task.run = 1;
        return task;
    }

    bool isStarted(const std::string &id, std::uint32_t index = 0)
    {
        return isPlaced(state.findTask({JobId(id), 0, 0, index})->task().state);
    }

    void run(Duration span)
    {
        for (const TimePoint end = now + span; now < end; now += 10ms) {
            placement.run(now, 0);
        }
    }

    CellState state;
    InterferenceGuard interference;
    Placement placement;
    TimePoint now{100s};

private:
    int m_jobCount = 0;
};

TEST_F(OvertakingTest, AJobWithADisplacedTaskComesBeforeAnEarlierJob)
{
    addJob("new", makeLongRunning(1, 5000));
    addDisplaced("displaced", makeLongRunning(1, 5000));
    run(10ms);
    EXPECT_TRUE(isStarted("displaced"));
    EXPECT_FALSE(isStarted("new"));
}

TEST_F(OvertakingTest, AJobWithADisplacedTaskComesBeforeAnEarlierJobAfterALongWait)
{
    addJob("new", makeLongRunning(1, 9000));
    addDisplaced("displaced", makeLongRunning(1, 9000));
    run(MaxDowntime + 1s);
    state.workers.at("w0")->info.capacity.milliCpu = 9000;
    run(10ms);
    EXPECT_TRUE(isStarted("displaced"));
    EXPECT_FALSE(isStarted("new"));
}

TEST_F(OvertakingTest, AJobOfAHigherPriorityDoesNotTakeThePieceByAFirstStart)
{
    JobSpec important = makeLongRunning(1, 5000);
    important.policy.priority = 0;
    addJob("new", important);
    addDisplaced("displaced", makeLongRunning(1, 5000));
    run(10ms);
    EXPECT_TRUE(isStarted("displaced"));
    EXPECT_FALSE(isStarted("new"));
}

TEST_F(OvertakingTest, ADisplacedTaskComesBeforeTheFirstStartsOfItsStep)
{
    CellJob &job = addJob("job", makeLongRunning(2, 5000));
    TaskRef{&job, 0, 0, 1}.task().run = 1;
    run(10ms);
    EXPECT_TRUE(isStarted("job", 1));
    EXPECT_FALSE(isStarted("job", 0));
}

// The tasks of a step ask for the same, so the limit of the wait has no use among them.
TEST_F(OvertakingTest, ADisplacedTaskComesBeforeTheFirstStartsOfItsStepAfterALongWait)
{
    CellJob &job = addJob("job", makeLongRunning(2, 9000));
    TaskRef{&job, 0, 0, 1}.task().run = 1;
    run(MaxDowntime + 1s);
    state.workers.at("w0")->info.capacity.milliCpu = 9000;
    run(10ms);
    EXPECT_TRUE(isStarted("job", 1));
    EXPECT_FALSE(isStarted("job", 0));
}

TEST_F(OvertakingTest, AGangThatHasNeverRunWaitsForADisplacedTask)
{
    JobSpec gang = makeLongRunning(2, 1000);
    gang.steps.front().isGang = true;
    addDisplaced("displaced", makeLongRunning(1, 9000));
    addJob("gang", gang);
    run(MaxDowntime);
    EXPECT_FALSE(isStarted("gang"));
    run(20ms);
    EXPECT_TRUE(isStarted("gang"));
}

// Only the first waiting task of a step is tried, and the others wait for the same reason.
TEST_F(OvertakingTest, SeveralDisplacedTasksOfAStepHoldFirstStartsNoLongerThanOne)
{
    CellJob &job = addJob("displaced", makeLongRunning(3, 9000));
    for (std::uint32_t i = 0; i < 3; ++i) {
        TaskRef{&job, 0, 0, i}.task().run = 1;
    }
    addJob("new", makeLongRunning(1, 1000));
    run(MaxDowntime);
    EXPECT_FALSE(isStarted("new"));
    run(20ms);
    EXPECT_TRUE(isStarted("new"));
}

TEST_F(OvertakingTest, OtherServicesAreNotHeldBack)
{
    addWorker("w1", "other");
    JobSpec other = makeLongRunning(1, 1000);
    other.policy.service = "other";
    addDisplaced("displaced", makeLongRunning(1, 9000));
    addJob("new", other);
    run(20ms);
    EXPECT_TRUE(isStarted("new"));
}

// A displaced task that a worker is reserved for loses nothing to a first start elsewhere.
TEST_F(OvertakingTest, ADisplacedTaskWithAReservationHoldsNothingBack)
{
    addWorker("w1", "svc");
    CellJob &batch = addJob("batch", makeChain(1, 1));
    TaskLedger::place({&batch, 0, 0, 0}, *state.workers.at("w0"), TaskState::Running, 1);
    state.workers.at("w1")->info.capacity.milliCpu = 3000;
    CellTask &displaced = addDisplaced("displaced", makeLongRunning(1, 8000));
    run(10ms);
    ASSERT_EQ(displaced.state, TaskState::Pending);
    ASSERT_TRUE(placement.hasReservation({state.jobs.at("displaced").get(), 0, 0, 0}));
    addJob("new", makeLongRunning(1, 2000));
    run(10ms);
    EXPECT_TRUE(isStarted("new"));
}

} // namespace
} // namespace firefly
