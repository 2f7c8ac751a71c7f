#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace firefly {
namespace {

using namespace std::chrono_literals;

std::int64_t countDecisions(const CellWorld &world, const std::string &message)
{
    return std::ranges::count(world.decisions, message, &LogDecision::message);
}

/// Runs a job of \a tasks tasks, each of 6 s, for half a second.
void startLongTasks(CellWorld &world, std::uint32_t tasks)
{
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 6s;
    }
    world.submit(JobId("a"), makeChain(1, tasks));
    world.run(500ms);
}

// Reports that a paused owner had yet to read counted as silence: it stopped all running tasks as
// stuck when it woke up.
TEST(CellOwnerPause, AnOwnerThatWasPausedStopsNoRunningTask)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        CellWorld world(seed, 4);
        startLongTasks(world, 16);
        world.pauseOwner(3500ms);
        world.run(8s);
        EXPECT_EQ(countDecisions(world, "task stuck"), 0) << "seed " << seed;
        EXPECT_EQ(world.starts, 16U) << "seed " << seed;
        EXPECT_TRUE(world.isFinished(JobId("a"))) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// Runs that had ended done before their lease were started again, since the owner judged the
// leases before it read the reports that had come during its pause (TWICE).
TEST(CellOwnerPause, ReportsAreReadBeforeLeasesThatEndedInAPauseAreJudged)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        CellWorld world(seed, 4);
        for (auto &[id, worker] : world.workers) {
            worker->workTime = 1200ms;
        }
        world.submit(JobId("a"), makeChain(1, 16));
        world.run(300ms);
        world.pauseOwner(5800ms);
        world.run(5s);
        EXPECT_EQ(world.starts, 16U) << "seed " << seed;
        EXPECT_TRUE(world.isFinished(JobId("a"))) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// An owner whose own link was cut off or saturated heard no worker, and started their work again
// once it heard some of them.
TEST(CellOwnerPause, AnOwnerThatHearsNoWorkerGivesNoWorkUp)
{
    CellWorld world(3, 6);
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 2s;
    }
    world.submit(JobId("a"), makeChain(1, 24));
    world.run(400ms);
    for (auto &[id, worker] : world.workers) {
        worker->isReachable = false;
    }
    world.run(9s);
    EXPECT_EQ(world.starts, 24U);
    EXPECT_EQ(countDecisions(world, "lease over"), 0);
    for (auto &[id, worker] : world.workers) {
        worker->isReachable = true;
    }
    world.run(4s);
    EXPECT_EQ(world.starts, 24U) << "all runs had ended done before their leases did";
    EXPECT_TRUE(world.isFinished(JobId("a")));
}

TEST(CellOwnerPause, WorkersThatAreGoneAreJudgedWhateverTheOthersDo)
{
    CellWorld world(4, 2);
    startLongTasks(world, 8);
    for (const char *id : {"w0", "w1"}) {
        world.workers.at(id)->isReachable = false;
    }
    world.owner->onWorkerGone(WorkerId("w0"), world.now);
    world.run(9s);
    EXPECT_GT(countDecisions(world, "lease over"), 0);
    for (const LogDecision &it : world.decisions) {
        EXPECT_TRUE(std::string_view(it.message) != "lease over" || it.worker == "w0");
    }
}

TEST(CellOwnerPause, ATaskWithoutProgressIsStoppedThoughTheOwnerIsNotPaused)
{
    CellWorld world(5, 2);
    startLongTasks(world, 4);
    for (auto &[id, worker] : world.workers) {
        worker->isProgressing = false;
    }
    world.run(4s);
    EXPECT_GT(countDecisions(world, "task stuck"), 0);
}

} // namespace
} // namespace firefly
