#include "Cell/Defragmenter.h"

#include "Cell/TaskLedger.h"
#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// Two workers with 3000 free beside a task of 3000 and a task of 2000 of the job "small", which
/// has \a small tasks; a task of 5000 waits and needs a move of a task of 2000.
void submitFragmented(CellWorld &world, const JobSpec &small)
{
    JobSpec large = makeLongRunning(2, 3000);
    large.steps.front().maxPerWorker = 1;
    JobSpec blocker = makeChain(1, 2);
    blocker.steps.front().demand.milliCpu = 3000;
    blocker.steps.front().maxPerWorker = 1;
    world.workers.at("w0")->workTime = 2s;
    world.workers.at("w1")->workTime = 2s;
    world.submit(JobId("large"), large);
    world.submit(JobId("blocker"), blocker);
    world.run(500ms);
    world.submit(JobId("small"), small);
    world.run(3s);
    world.submit(JobId("waiting"), makeLongRunning(1, 5000));
    world.run(6s);
}

TEST(Defragmenter, ASmallerTaskMovesToMakeRoom)
{
    CellWorld world(1, 2);
    submitFragmented(world, makeLongRunning(2, 2000));
    EXPECT_EQ(countMoves(world), 1);
    EXPECT_TRUE(isRunning(world, {JobId("waiting"), 0, 0, 0}));
    EXPECT_TRUE(isRunning(world, {JobId("small"), 0, 0, 0}));
    EXPECT_TRUE(isRunning(world, {JobId("small"), 0, 0, 1}));
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
}

/// A task of 7000 waits.  w0 has 6000 free beside a task of the step "small", which may miss one of
/// its three tasks; w1 has 4000 free; w2 has room for one task of the step only.
class DefragmenterLimitTest : public ::testing::Test
{
protected:
    DefragmenterLimitTest()
        : reservations(state)
        , defragmenter(state, reservations,
                       [this](const TaskRef &ref, TimePoint, const CellWorker *excluded) {
                           CellWorker *w1 = state.workers.at("w1").get();
                           const bool hasRoom =
                               reservations.availableTo(ref, *w1).fits(ref.spec().reservation());
                           return w1 == excluded || !hasRoom ? nullptr : w1;
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
        state.workers.at("w1")->reserved = {2000, 100, 0};
        state.workers.at("w2")->info.capacity = {2000, 64000, 0};
        JobSpec small = makeLongRunning(3, 2000);
        small.steps.front().maxUnavailable = 1;
        addJob("small", small);
        addJob("waiting", makeLongRunning(1, 7000));
        for (std::uint32_t i = 0; i < 2; ++i) {
            run(i, i == 0 ? "w0" : "w1");
        }
        task("waiting", 0).run = 1;
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

    void run(std::uint32_t index, const std::string &worker)
    {
        TaskLedger::place(*state.findTask({JobId("small"), 0, 0, index}), *state.workers.at(worker),
                          TaskState::Running, 1);
        task("small", index).percent = 100;
    }

    bool makesRoomByMove()
    {
        defragmenter.makeRoom({*state.findTask({JobId("waiting"), 0, 0, 0})}, now);
        return task("small", 0).state == TaskState::Stopping;
    }

    CellState state;
    CapacityReservations reservations;
    Defragmenter defragmenter;
    TimePoint now{100s};
};

TEST_F(DefragmenterLimitTest, ATaskMovesWhileNoOtherOfItsStepIsAway)
{
    run(2, "w2");
    EXPECT_TRUE(makesRoomByMove());
}

// A task of more than twice the largest free piece needs two moves.
TEST_F(DefragmenterLimitTest, TwoTasksMoveWhereOneDoesNotSuffice)
{
    addJob("other", makeLongRunning(1, 2000));
    TaskLedger::place(*state.findTask({JobId("other"), 0, 0, 0}), *state.workers.at("w0"),
                      TaskState::Running, 1);
    task("other", 0).percent = 100;
    run(2, "w2");
    EXPECT_TRUE(makesRoomByMove());
    EXPECT_EQ(task("other", 0).state, TaskState::Stopping);
    EXPECT_EQ(reservations.size(), 3U);
}

TEST_F(DefragmenterLimitTest, NothingMovesUnlessAllDestinationsHaveRoom)
{
    addJob("other", makeLongRunning(1, 2000));
    TaskLedger::place(*state.findTask({JobId("other"), 0, 0, 0}), *state.workers.at("w0"),
                      TaskState::Running, 1);
    task("other", 0).percent = 100;
    run(2, "w2");
    state.workers.at("w1")->info.capacity.milliCpu -= 2000;
    EXPECT_FALSE(makesRoomByMove());
    EXPECT_EQ(reservations.size(), 0U);
}

// A task that no move helps must not keep the searches from a smaller task behind it.
TEST_F(DefragmenterLimitTest, ATaskWithoutAPlanDoesNotBlockTheNextOne)
{
    run(2, "w2");
    std::vector<TaskRef> waiting;
    for (int i = 0; i < 4; ++i) {
        const std::string id = "hopeless" + std::to_string(i);
        addJob(id, makeLongRunning(1, 8100 + i));
        task(id, 0).run = 1;
        waiting.push_back(*state.findTask({JobId(id), 0, 0, 0}));
    }
    waiting.push_back(*state.findTask({JobId("waiting"), 0, 0, 0}));
    for (int pass = 0; pass < 2; ++pass) {
        defragmenter.makeRoom(waiting, now);
        now += 20ms;
    }
    EXPECT_EQ(task("small", 0).state, TaskState::Stopping);
}

// A search in vain for a task that has never run, or that is restricted to a label, says nothing of
// a task that has run and is free in its choice.
TEST_F(DefragmenterLimitTest, ASearchInVainDoesNotBlockATaskWithFewerRestrictions)
{
    run(2, "w2");
    JobSpec labelled = makeLongRunning(1, 6500);
    labelled.steps.front().requiredLabel = "absent";
    addJob("labelled", labelled);
    task("labelled", 0).run = 1;
    addJob("new", makeLongRunning(1, 6900));
    task("new", 0).waitingSince = now - 10s;
    state.workers.at("w1")->reserved.milliCpu += 3000;
    const std::vector<TaskRef> inVain{*state.findTask({JobId("labelled"), 0, 0, 0}),
                                      *state.findTask({JobId("new"), 0, 0, 0})};
    defragmenter.makeRoom(inVain, now);
    ASSERT_EQ(task("small", 0).state, TaskState::Running);
    state.workers.at("w1")->reserved.milliCpu -= 3000;
    EXPECT_TRUE(makesRoomByMove());
}

// A step whose limit of unavailable tasks is used up must not lose another task to a move.
TEST_F(DefragmenterLimitTest, ATaskAtTheLimitOfItsStepStays)
{
    EXPECT_FALSE(makesRoomByMove());
}

TEST_F(DefragmenterLimitTest, AMovedTaskStaysForTheMoveInterval)
{
    run(2, "w2");
    task("small", 0).movedAt = now - 9s;
    EXPECT_FALSE(makesRoomByMove());
    now += 1s;
    EXPECT_TRUE(makesRoomByMove());
}

TEST(Defragmenter, TheMembersOfAGangStay)
{
    CellWorld world(1, 2);
    JobSpec small = makeLongRunning(2, 2000);
    small.steps.front().isGang = true;
    submitFragmented(world, small);
    EXPECT_EQ(countMoves(world), 0);
}

/// Runs one random schedule of drains, restarts, cut workers, late orders and changes of owner in a
/// cell that is almost full of long-running tasks; returns the violated invariants.
std::vector<std::string> runFaultSchedule(std::uint32_t seed, int &moves)
{
    constexpr int WorkerCount = 6;
    CellWorld world(seed, WorkerCount);
    std::mt19937 random(seed + 1000);
    const auto draw = [&random](int n) {
        return std::uniform_int_distribution<int>(0, n - 1)(random);
    };
    world.lateOrderFraction = draw(3) == 0 ? 0.05 : 0.0;
    for (int i = 0; i < 12; ++i) {
        world.submit(JobId("l" + std::to_string(i)), makeLongRunning(1, 1500 + 500 * draw(6)));
    }
    for (int i = 0; i < 80; ++i) {
        world.run(std::chrono::milliseconds(100 + draw(300)));
        FakeCellWorker &worker = *world.workers.at("w" + std::to_string(draw(WorkerCount)));
        switch (draw(8)) {
        case 0:
            worker.isDraining = true;
            world.owner->onWorkerListed(worker.describe(), world.now);
            break;
        case 1:
            if (worker.isDraining && worker.isIdle()) {
                worker.reboot(world.now);
                world.owner->onWorkerListed(worker.describe(), world.now);
            }
            break;
        case 2:
            worker.isReachable = false;
            break;
        case 3:
            if (draw(4) == 0) {
                world.replaceOwner(world.now + 9s);
            }
            break;
        case 4:
            world.submit(JobId("b" + std::to_string(i)), makeChain(1, 3));
            break;
        default:
            worker.isReachable = true;
            break;
        }
    }
    moves += countMoves(world);
    return world.audit.violations;
}

TEST(Defragmenter, NoScheduleOfFaultsViolatesAnInvariant)
{
    int moves = 0;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        EXPECT_EQ(runFaultSchedule(seed, moves), std::vector<std::string>{}) << "seed " << seed;
    }
    EXPECT_GT(moves, 0);
}

} // namespace
} // namespace firefly
