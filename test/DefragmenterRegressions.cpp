#include "Cell/Defragmenter.h"
#include "Cell/TaskLedger.h"
#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// Longest time until the lease of a lost worker is over.
constexpr Duration MaxLease = 7s;

/// A task of 5000 on w0, which is about to drain, and the workers of fillEvenly().
void setUpDisplaced(CellWorld &world, const std::string &label = {})
{
    world.workers.at("w0")->capacity = {5000, 64000, 0};
    world.replaceOwner(world.now);
    world.run(500ms);
    JobSpec displaced = makeLongRunning(1, 5000);
    displaced.steps.front().requiredLabel = label;
    world.submit(JobId("displaced"), displaced);
    world.run(1s);
    ASSERT_FALSE(world.workers.at("w0")->isIdle());
}

// Tasks that no move can help must not use up all searches of each pass.
TEST(DefragmenterRegressions, TasksWithoutASolutionDoNotKeepOthersFromAMove)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        CellWorld world(seed, 4);
        setUpDisplaced(world);
        fillEvenly(world);
        for (const char *id : {"whole0", "whole1"}) {
            JobSpec whole = makeLongRunning(1, 8000);
            whole.policy.priority = 0;
            world.submit(JobId(id), whole);
        }
        world.run(3s);
        world.workers.at("w0")->isReachable = false;
        world.run(MaxLease + MaxDowntime);
        EXPECT_TRUE(isRunning(world, {JobId("displaced"), 0, 0, 0})) << "seed " << seed;
    }
}

/// Besides, w4 with a batch task of 7000 that takes far longer than its estimate.
void setUpBesideLongBatch(CellWorld &world)
{
    world.workers.at("w4")->rack = "r2";
    setUpDisplaced(world);
    JobSpec batch = makeChain(1, 1);
    batch.steps.front().demand.milliCpu = 7000;
    batch.steps.front().estimateMs = 1500;
    batch.steps.front().requiredLabel = "r2";
    world.workers.at("w4")->workTime = 60s;
    world.submit(JobId("batch"), batch);
    world.run(500ms);
    ASSERT_FALSE(world.workers.at("w4")->isIdle());
    fillEvenly(world);
}

// A reservation that waits for a batch task must not use up the whole bound when a move is
// possible.
TEST(DefragmenterRegressions, AMoveFollowsInTimeWhenABatchTaskExceedsItsEstimate)
{
    CellWorld world(1, 5);
    setUpBesideLongBatch(world);
    drain(world, "w0");
    world.run(MaxDowntime);
    EXPECT_TRUE(isRunning(world, {JobId("displaced"), 0, 0, 0}));
}

// The log must show a task that waits behind its reservation, else figures of waits are too low.
TEST(DefragmenterRegressions, ATaskThatWaitsWithAReservationIsLogged)
{
    CellWorld world(1, 5);
    setUpBesideLongBatch(world);
    world.decisions.clear();
    drain(world, "w0");
    world.run(2s);
    ASSERT_FALSE(isRunning(world, {JobId("displaced"), 0, 0, 0}));
    const bool isLogged = std::ranges::any_of(world.decisions, [](const LogDecision &it) {
        return it.task.job == JobId("displaced")
               && std::string_view(it.message) == "long-running task waits";
    });
    EXPECT_TRUE(isLogged);
}

/// Three workers without a scheduler; moves can only go to w1.
class DefragmenterRulesTest : public ::testing::Test
{
protected:
    DefragmenterRulesTest()
        : reservations(state)
        , defragmenter(state, reservations,
                       [this](const TaskRef &, TimePoint, const CellWorker *excluded) {
                           CellWorker *w1 = state.workers.at("w1").get();
                           return w1 == excluded ? nullptr : w1;
                       })
    {
        for (const char *id : {"w0", "w1", "w2"}) {
            auto &worker = state.workers[id];
            worker = std::make_unique<CellWorker>();
            worker->info.id = WorkerId(id);
            worker->info.service = "svc";
            worker->info.capacity = {8000, 64000, 0};
            worker->isRegistered = true;
            worker->isContacted = true;
            worker->isRecorded = true;
        }
        state.workers.at("w1")->reserved = {5000, 100, 0};
    }

    void addJob(const std::string &id, const JobSpec &spec)
    {
        auto &job = state.jobs[id];
        job = std::make_unique<CellJob>();
        job->id = JobId(id);
        job->spec = spec;
        TaskLedger::addOccurrence(*job, 0, TaskState::Pending);
    }

    CellTask &task(const std::string &job, std::uint32_t index)
    {
        return state.findTask({JobId(job), 0, 0, index})->task();
    }

    void run(const std::string &job, std::uint32_t index, const std::string &worker)
    {
        TaskLedger::place(*state.findTask({JobId(job), 0, 0, index}), *state.workers.at(worker),
                          TaskState::Running, 1);
        task(job, index).percent = 100;
    }

    void makeRoom(const std::string &job)
    {
        task(job, 0).run = 1;
        defragmenter.makeRoom({*state.findTask({JobId(job), 0, 0, 0})}, now);
    }

    CellState state;
    CapacityReservations reservations;
    Defragmenter defragmenter;
    TimePoint now{100s};
};

// AVAIL: a task on a worker that doesn't answer is away for all that is known.
TEST_F(DefragmenterRulesTest, ATaskOnAnUnresponsiveWorkerCountsAsUnavailable)
{
    JobSpec small = makeLongRunning(3, 2000);
    small.steps.front().maxUnavailable = 1;
    addJob("small", small);
    addJob("waiting", makeLongRunning(1, 7000));
    run("small", 0, "w0");
    run("small", 1, "w1");
    run("small", 2, "w2");
    state.workers.at("w2")->renewFailures = 3;
    makeRoom("waiting");
    EXPECT_EQ(task("small", 0).state, TaskState::Running);
}

// The comment of Defragmenter: a move always relocates a smaller task.
TEST_F(DefragmenterRulesTest, OnlyASmallerTaskMoves)
{
    state.workers.at("w1")->reserved = {};
    state.workers.at("w0")->info.labels = {"gpu"};
    JobSpec waiting = makeLongRunning(1, 3000);
    waiting.steps.front().requiredLabel = "gpu";
    waiting.policy.priority = 5;
    addJob("large", makeLongRunning(1, 6000));
    addJob("waiting", waiting);
    run("large", 0, "w0");
    makeRoom("waiting");
    EXPECT_EQ(task("large", 0).state, TaskState::Running);
}

// A batch task without an estimate may run for any time.
TEST_F(DefragmenterRulesTest, ABatchTaskWithoutAnEstimateIsNotExpectedToEnd)
{
    JobSpec batch = makeChain(1, 1);
    batch.steps.front().demand.milliCpu = 8000;
    batch.steps.front().estimateMs = 0;
    addJob("batch", batch);
    addJob("waiting", makeLongRunning(1, 5000));
    state.workers.at("w1")->reserved = {8000, 100, 0};
    state.workers.at("w2")->reserved = {8000, 100, 0};
    run("batch", 0, "w0");
    task("batch", 0).percent = 0;
    makeRoom("waiting");
    EXPECT_EQ(reservations.size(), 0U);
}

// Two reservations that don't come true must not keep a third task from its move.
TEST(DefragmenterRegressions, ReservationsThatDoNotComeTrueDoNotUseUpTheLimit)
{
    CellWorld world(1, 6);
    for (const char *id : {"w4", "w5"}) {
        world.workers.at(id)->rack = "r2";
    }
    setUpDisplaced(world, "r1");
    JobSpec batch = makeChain(1, 2);
    batch.steps.front().demand.milliCpu = 7000;
    batch.steps.front().estimateMs = 1500;
    batch.steps.front().requiredLabel = "r2";
    for (const char *id : {"w4", "w5"}) {
        world.workers.at(id)->workTime = 60s;
    }
    world.submit(JobId("batch"), batch);
    world.run(500ms);
    fillEvenly(world);
    // Of an earlier owner, so that they count as displaced.
    for (const char *id : {"labelled0", "labelled1"}) {
        JobSpec labelled = makeLongRunning(1, 7000);
        labelled.policy.priority = 0;
        labelled.steps.front().requiredLabel = "r2";
        world.submit(JobId(id), labelled);
    }
    world.run(100ms);
    world.replaceOwner(world.now);
    world.run(3s);
    drain(world, "w0");
    world.run(MaxDowntime);
    EXPECT_TRUE(isRunning(world, {JobId("displaced"), 0, 0, 0}));
}

// The same with a drained worker in a busy cell, in which passes follow each other closely.
TEST(DefragmenterRegressions, TasksWithoutASolutionDoNotKeepEvacuatedTasksFromAMove)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        CellWorld world(seed, 4);
        setUpDisplaced(world);
        fillEvenly(world);
        for (const char *id : {"whole0", "whole1"}) {
            JobSpec whole = makeLongRunning(1, 8000);
            whole.policy.priority = 0;
            world.submit(JobId(id), whole);
        }
        for (auto &[id, worker] : world.workers) {
            worker->workTime = 100ms;
        }
        for (int i = 0; i < 5; ++i) {
            JobSpec chain = makeChain(500, 1);
            for (StepSpec &it : chain.steps) {
                it.demand.milliCpu = 100;
            }
            world.submit(JobId("chain" + std::to_string(i)), chain);
        }
        world.run(3s);
        drain(world, "w0");
        world.run(MaxDowntime);
        EXPECT_TRUE(isRunning(world, {JobId("displaced"), 0, 0, 0})) << "seed " << seed;
    }
}

// While a batch task exceeds its estimate, no task may move to and fro for a reservation that can't
// come true.
TEST(DefragmenterRegressions, MovesThatDoNotHelpAreNotRepeated)
{
    CellWorld world(1, 3);
    world.run(500ms);
    JobSpec batch = makeChain(1, 2);
    batch.steps.front().demand.milliCpu = 3000;
    batch.steps.front().estimateMs = 1500;
    batch.steps.front().maxPerWorker = 1;
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 300s;
    }
    world.submit(JobId("displaced"), makeLongRunning(1, 8000));
    world.run(500ms);
    world.submit(JobId("batch"), batch);
    world.run(500ms);
    world.submit(JobId("small"), makeLongRunning(1, 2000));
    world.run(1s);
    for (auto &[id, worker] : world.workers) {
        if (isRunningOn(world, {JobId("displaced"), 0, 0, 0}, id)) {
            drain(world, id);
        }
    }
    world.run(60s);
    const auto moves = std::ranges::count_if(world.decisions, [](const LogDecision &it) {
        return std::string_view(it.message) == "task moves";
    });
    EXPECT_LE(moves, 1);
}

// Reservations must respect the limit of tasks per worker, as starts do.
TEST(DefragmenterRegressions, TwoTasksOfAStepDoNotReserveAWorkerThatMayRunOneOfThem)
{
    CellWorld world(1, 4);
    world.workers.at("w2")->capacity = {7000, 64000, 0};
    world.replaceOwner(world.now);
    world.run(500ms);
    // On w2 and w3, until the pair runs on w0 and w1.
    JobSpec blocker = makeChain(1, 2);
    blocker.steps.front().demand.milliCpu = 6500;
    blocker.steps.front().maxPerWorker = 1;
    JobSpec pair = makeLongRunning(2, 3000);
    pair.steps.front().maxPerWorker = 1;
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 2s;
    }
    for (const char *id : {"w0", "w1"}) {
        world.workers.at(id)->isDraining = true;
        world.owner->onWorkerListed(world.workers.at(id)->describe(), world.now);
    }
    world.submit(JobId("blocker"), blocker);
    world.run(300ms);
    for (const char *id : {"w0", "w1"}) {
        world.workers.at(id)->isDraining = false;
        world.owner->onWorkerListed(world.workers.at(id)->describe(), world.now);
    }
    world.submit(JobId("pair"), pair);
    world.run(3s);
    ASSERT_TRUE(world.isFinished(JobId("blocker")));
    ASSERT_FALSE(world.workers.at("w0")->isIdle());
    ASSERT_FALSE(world.workers.at("w1")->isIdle());
    drain(world, "w0");
    drain(world, "w1");
    // The second task ends later than the first one.
    world.workers.at("w1")->isReachable = false;
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 10s;
    }
    JobSpec backlog = makeChain(1, 20);
    backlog.steps.front().demand.milliCpu = 2000;
    backlog.steps.front().estimateMs = 10000;
    world.submit(JobId("backlog"), backlog);
    world.run(1200ms);
    world.workers.at("w1")->isReachable = true;
    world.run(MaxDowntime);
    EXPECT_TRUE(isRunning(world, {JobId("pair"), 0, 0, 0}));
    EXPECT_TRUE(isRunning(world, {JobId("pair"), 0, 0, 1}));
}

int countMoves(const CellWorld &world, const std::string &job)
{
    return static_cast<int>(std::ranges::count_if(world.decisions, [&job](const LogDecision &it) {
        return std::string_view(it.message) == "task moves" && it.task.job == JobId(job);
    }));
}

/// Shortest time without work after which the platform counts a task as unavailable.
constexpr Duration NoticeTime = 4500ms;

// AVAIL in a whole cell: a worker crashes with a task of the step "small", which may miss one;
// after the notice time, but before the worker's lease is over, a move would take another one of
// them.
TEST(DefragmenterRegressions, NoTaskMovesWhileAnotherOfItsStepIsDownWithItsWorker)
{
    for (int i = 0; i < 20; ++i) {
        CellWorld world(1, 4);
        setUpDisplaced(world);
        JobSpec large = makeLongRunning(3, 3000);
        large.steps.front().maxPerWorker = 1;
        world.submit(JobId("large"), large);
        JobSpec blocker = makeChain(1, 3);
        blocker.steps.front().demand.milliCpu = 3000;
        blocker.steps.front().maxPerWorker = 1;
        for (auto &[id, worker] : world.workers) {
            worker->workTime = 2s;
        }
        world.submit(JobId("blocker"), blocker);
        world.run(500ms);
        JobSpec small = makeLongRunning(3, 2000);
        small.steps.front().maxUnavailable = 1;
        world.submit(JobId("small"), small);
        world.run(3s);
        ASSERT_TRUE(world.isFinished(JobId("blocker")));
        world.run(i * 50ms);
        world.workers.at("w3")->isReachable = false;
        world.workers.at("w3")->reboot(world.now);
        world.run(NoticeTime);
        int running = 0;
        for (std::uint32_t i = 0; i < 3; ++i) {
            running += isRunning(world, {JobId("small"), 0, 0, i}) ? 1 : 0;
        }
        if (running != 2) {
            continue; // The lease is over already.
        }
        drain(world, "w0");
        world.run(100ms);
        EXPECT_EQ(countMoves(world, "small"), 0) << "crash after " << i * 50 << " ms";
    }
}

} // namespace
} // namespace firefly
