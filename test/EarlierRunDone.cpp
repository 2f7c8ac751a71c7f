#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;
/// Time that the platform tolerates without a run of a task whose turn has come.
constexpr Duration MaxIdleTime = 3s;

/// A task that ends on a worker without a connection, and has been started again on the other one
/// by the time that its end is read.
class EarlierRunDone : public ::testing::TestWithParam<std::uint32_t>
{
protected:
    void SetUp() override
    {
        setWorkTime(1500ms);
        world.run(1s);
        world.submit(JobId("a"), makeChain(stepCount(), 1));
        while (world.audit.starts[first].empty()) {
            world.step();
        }
        world.run(700ms);
        earlier = world.workers.at(world.audit.starts[first].front().worker).get();
        earlier->isReachable = false;
        setWorkTime(60s);
        const TimePoint limit = world.now + 20s;
        while (world.audit.starts[first].size() < 2 && world.now < limit) {
            world.step();
        }
        ASSERT_EQ(world.audit.starts[first].size(), 2U);
        ASSERT_TRUE(world.audit.everDone.contains(first));
        later = world.workers.at(world.audit.starts[first].back().worker).get();
        ASSERT_NE(later, earlier);
        world.run(500ms);
        setWorkTime(300ms);
    }

    virtual std::uint32_t stepCount() const { return 2; }

    void setWorkTime(Duration workTime)
    {
        for (auto &[id, worker] : world.workers) {
            worker->workTime = workTime;
        }
    }

    void runToAcknowledgement()
    {
        const TimePoint limit = world.now + MaxIdleTime;
        while (earlier->hasEndedRuns() && world.now < limit) {
            world.step();
        }
        ASSERT_FALSE(earlier->hasEndedRuns());
    }

    /// Replaces the owner once it has acknowledged the end, whose worker leaves.
    void expectNextOwnerFinishesJob()
    {
        earlier->isReachable = true;
        runToAcknowledgement();
        world.removeWorker(world.audit.starts[first].front().worker);
        world.replaceOwner(world.now + 1s);
        world.run(9s);
        EXPECT_EQ(world.audit.starts[first].size(), 2U);
        EXPECT_TRUE(world.isFinished(JobId("a")));
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
    }

    CellWorld world{GetParam(), 2};
    const TaskName first{JobId("a"), 0, 0, 0};
    const TaskName next{JobId("a"), 0, 1, 0};
    FakeCellWorker *earlier = nullptr;
    FakeCellWorker *later = nullptr;
};

INSTANTIATE_TEST_SUITE_P(Seeds, EarlierRunDone, ::testing::Range(1U, SeedCount + 1));

// Guards against an end that is acknowledged and dropped, as a later run of its task is placed: the
// next step waits for that run, however long it takes.
TEST_P(EarlierRunDone, ItsEndCounts)
{
    earlier->isReachable = true;
    world.run(MaxIdleTime);
    EXPECT_FALSE(world.audit.starts[next].empty());
    EXPECT_TRUE(world.audit.runningOn[first].empty());
    world.run(1s);
    EXPECT_TRUE(world.isFinished(JobId("a")));
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
}

// The end isn't acknowledged before it is stored, so the later run may be needed until then.
TEST_P(EarlierRunDone, TheLaterRunGoesOnUntilTheEndIsStored)
{
    world.isStoreDown = true;
    earlier->isReachable = true;
    world.run(1500ms);
    EXPECT_TRUE(world.audit.runningOn[first].contains(world.audit.starts[first].back().worker));
    EXPECT_TRUE(earlier->hasEndedRuns());
    world.isStoreDown = false;
    world.run(MaxIdleTime);
    EXPECT_TRUE(world.isFinished(JobId("a")));
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
}

TEST_P(EarlierRunDone, TheNextOwnerKnowsTheEnd)
{
    expectNextOwnerFinishesJob();
}

class EarlierRunDoneOfLastTask : public EarlierRunDone
{
    std::uint32_t stepCount() const override { return 1; }
};

INSTANTIATE_TEST_SUITE_P(Seeds, EarlierRunDoneOfLastTask, ::testing::Range(1U, SeedCount + 1));

// Guards against a job that stays unfinished: its owner recorded the end of its last task and was
// lost before the later run had left its worker.
TEST_P(EarlierRunDoneOfLastTask, TheNextOwnerCompletesTheJob)
{
    expectNextOwnerFinishesJob();
}

// A failure of the later run says nothing of the job, which has the result of the earlier one.
TEST_P(EarlierRunDone, AFailureOfTheLaterRunDoesNotCount)
{
    earlier->isReachable = true;
    runToAcknowledgement();
    const auto tasks = later->runningTasks();
    if (std::ranges::find(tasks, first) != tasks.end()) {
        later->end(first, RunEndReason::Failed, world.now);
    }
    world.run(MaxIdleTime);
    EXPECT_TRUE(world.isFinished(JobId("a")));
    EXPECT_EQ(world.audit.starts[first].size(), 2U);
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
}

} // namespace
} // namespace firefly
