#include "fakes/IdleJobs.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;
using namespace idle;

/// Run time of fillers that outlast each test.
constexpr Duration LongWork = 60s;

std::vector<LogDecision> findDecisions(const CellWorld &world, std::string_view message)
{
    std::vector<LogDecision> found;
    std::ranges::copy_if(world.decisions, std::back_inserter(found),
                         [message](const LogDecision &it) { return it.message == message; });
    return found;
}

int countRunning(const CellWorld &world, const std::string &job)
{
    return static_cast<int>(std::ranges::count_if(world.audit.runningOn, [&job](const auto &it) {
        return it.first.job == JobId(job) && !it.second.empty();
    }));
}

void runWithLongWork(CellWorld &world, Duration span)
{
    setWorkTime(world, LongWork);
    world.run(span);
}

TEST(FillerSharing, AJobWithSeveralFillersGivesOneUpForAnIdleJob)
{
    forEachSeed([](CellWorld &world) {
        submitMany(world, "holder", 1, makeFillers(60));
        runWithLongWork(world, 1s);
        const int held = countRunning(world, "holder0");
        submitMany(world, "idle", 1, makeFillers(60));
        runWithLongWork(world, 10s);
        EXPECT_EQ(findDecisions(world, "filler yields").size(), 1);
        EXPECT_EQ(countRunning(world, "holder0"), held - 1);
        EXPECT_EQ(countRunning(world, "idle0"), 1);
    });
}

TEST(FillerSharing, AJobKeepsItsLastFiller)
{
    forEachSeed([](CellWorld &world) {
        // Each worker has places for two of these fillers.
        submitMany(world, "holder", 2 * WorkerCount, makeFillers(1, 4000));
        runWithLongWork(world, 1s);
        submitMany(world, "idle", 1, makeFillers(1, 4000));
        runWithLongWork(world, 10s);
        EXPECT_TRUE(findDecisions(world, "filler yields").empty());
        EXPECT_EQ(countRunning(world, "idle0"), 0);
    });
}

TEST(FillerSharing, NoFillerIsStoppedIfTheOthersLeaveTooLittle)
{
    forEachSeed([](CellWorld &world) {
        submitMany(world, "single", 2 * WorkerCount, makeFillers(1, 3000));
        submitMany(world, "double", 1, makeFillers(2, 1000));
        runWithLongWork(world, 1s);
        // A place for this one takes a whole worker.
        submitMany(world, "idle", 1, makeFillers(1, 8000));
        runWithLongWork(world, 10s);
        EXPECT_TRUE(findDecisions(world, "filler yields").empty());
    });
}

TEST(FillerSharing, FillersWithCheckpointsAreStoppedFirst)
{
    forEachSeed([](CellWorld &world) {
        JobSpec saving = makeFillers(WorkerCount * 4);
        saving.steps.front().isCheckpointing = true;
        submitMany(world, "saving", 1, saving);
        runWithLongWork(world, 1s);
        submitMany(world, "holder", 1, makeFillers(60));
        runWithLongWork(world, 1s);
        submitMany(world, "idle", 1, makeFillers(60));
        runWithLongWork(world, 10s);
        const auto yields = findDecisions(world, "filler yields");
        ASSERT_EQ(yields.size(), 1);
        EXPECT_EQ(yields.front().task.job, JobId("saving0"));
    });
}

// A worker that is kept for a gang takes other fillers again once the gang has started.
TEST(FillerSharing, AKeptWorkerIsReleasedOnceTheJobHasStarted)
{
    forEachSeed([](CellWorld &world) {
        submitMany(world, "single", 12, makeFillers(60));
        runWithVariedWork(world, 500ms);
        submitMany(world, "gang", 1, makeGang(makeFillers(8)));
        const TimePoint deadline = world.now + 5s;
        while (world.now < deadline && countRunning(world, "gang0") < 8) {
            runWithVariedWork(world, 10ms);
        }
        EXPECT_EQ(countRunning(world, "gang0"), 8);
        EXPECT_FALSE(findDecisions(world, "worker kept for filler").empty());
        runWithVariedWork(world, 3s);
        EXPECT_TRUE(std::ranges::none_of(world.owner->state().workers, [&world](const auto &it) {
            return it.second->fillersKeptUntil > world.now
                   && it.second->fillersKeptFor == JobId("gang0");
        }));
    });
}

} // namespace
} // namespace firefly
