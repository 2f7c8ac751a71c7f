#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// Log line about \a job, if there is one.
const LogDecision *findReport(const CellWorld &world, const JobId &job)
{
    const auto it = std::ranges::find_if(world.decisions, [&job](const LogDecision &line) {
        return std::string_view(line.message) == "batch job idle" && line.task.job == job;
    });
    return it == world.decisions.end() ? nullptr : &*it;
}

// Without this line no log told which job has no run, for how long, and whether the order or a rule
// of placement keeps it back.
TEST(BatchJobIdleReport, NamesTheJobThatWaitsLongestAndWhatRefusesIt)
{
    CellWorld world(1, 1);
    world.workers.at("w0")->workTime = 20s;
    world.run(500ms);
    world.submit(JobId("running"), makeChain(1, 8));
    world.run(500ms);
    world.submit(JobId("waiting"), makeChain(1, 1));
    world.run(2500ms);
    EXPECT_EQ(findReport(world, JobId("waiting")), nullptr);
    world.submit(JobId("later"), makeChain(1, 1));
    world.run(2500ms);
    const LogDecision *report = findReport(world, JobId("waiting"));
    ASSERT_NE(report, nullptr);
    EXPECT_NE(report->detail.find("idle_jobs=2 position=0 of 2"), std::string::npos)
        << report->detail;
    EXPECT_NE(report->detail.find("full=1"), std::string::npos) << report->detail;
    EXPECT_EQ(findReport(world, JobId("running")), nullptr);
    EXPECT_EQ(findReport(world, JobId("later")), nullptr);
}

// A job that gets a run isn't idle any more.
TEST(BatchJobIdleReport, BeginsAnewAfterARun)
{
    CellWorld world(1, 1);
    world.workers.at("w0")->workTime = 2s;
    world.run(500ms);
    JobSpec spec = makeChain(1, 1);
    spec.steps.front().demand.milliCpu = 8000;
    for (const char *id : {"a", "b", "c"}) {
        world.submit(JobId(id), spec);
        world.run(100ms);
    }
    world.run(12s);
    EXPECT_EQ(findReport(world, JobId("a")), nullptr);
    EXPECT_TRUE(world.isFinished(JobId("c")));
}

} // namespace
} // namespace firefly
