#include "fakes/CellWorld.h"
#include "fakes/SingleTaskJobs.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;

JobSpec makeBatch(std::uint32_t maxAttempts)
{
    JobSpec spec = makeChain(1, 1);
    spec.policy.maxAttempts = maxAttempts;
    return spec;
}

/// Runs until the owner has counted the failure of the job's only attempt.
void runToFailure(CellWorld &world, const JobId &job)
{
    const TimePoint limit = world.now + 5s;
    while (!world.isFinished(job) && world.now < limit) {
        world.step();
    }
    ASSERT_EQ(world.owner->stateOf(job), JobState::Failed);
}

// Guards against an audit that blames an owner for a justified failure, as the worker of a counted
// run restarts before the acknowledgement.
TEST(UnacknowledgedFailures, CountAfterTheRestartOfTheirWorker)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 1);
        world.workers.at("w0")->hasFailingRuns = true;
        world.run(500ms);
        world.submit(JobId("failing"), makeBatch(1));
        runToFailure(world, JobId("failing"));
        world.restartWorker("w0");
        world.run(3s);
        ASSERT_EQ(world.owner->stateOf(JobId("failing")), JobState::Failed) << "seed " << seed;
        EXPECT_TRUE(world.audit.hasUsedUpAttempts(JobId("failing"))) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// Guards against the same, as the lease of the worker lapses before the owner can read the failure.
TEST(UnacknowledgedFailures, CountAfterTheirWorkersLeaseHasLapsed)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 1);
        world.workers.at("w0")->hasFailingRuns = true;
        world.run(500ms);
        world.submit(JobId("failing"), makeBatch(1));
        world.run(300ms);
        world.disconnectWorker("w0", 8s);
        world.run(8s);
        runToFailure(world, JobId("failing"));
        EXPECT_TRUE(world.audit.hasUsedUpAttempts(JobId("failing"))) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// Guards against an audit that lets an owner fail a job by attempts that no report has shown it.
TEST(UnacknowledgedFailures, CountOnlyOnceListed)
{
    CellAudit audit;
    audit.specs["failing"] = makeBatch(1);
    const TaskName task = taskOf("failing");
    audit.recordEnd("w0", 1, task, RunEndReason::Failed);
    EXPECT_FALSE(audit.hasUsedUpAttempts(JobId("failing")));
    audit.recordListed({1, task, 1001, RunEndReason::Failed, {}});
    EXPECT_TRUE(audit.hasUsedUpAttempts(JobId("failing")));
}

// Guards against an audit that lets an owner count a failure each time that it is listed.
TEST(UnacknowledgedFailures, CountOnceHoweverOftenListed)
{
    CellAudit audit;
    audit.specs["failing"] = makeBatch(2);
    const TaskName task = taskOf("failing");
    audit.recordEnd("w0", 1, task, RunEndReason::Failed);
    audit.recordListed({1, task, 1001, RunEndReason::Failed, {}});
    audit.recordListed({1, task, 1001, RunEndReason::Failed, {}});
    EXPECT_FALSE(audit.hasUsedUpAttempts(JobId("failing")));
    audit.recordEnd("w1", 1, task, RunEndReason::Stopped);
    audit.recordListed({1, task, 1002, RunEndReason::Stopped, {}});
    EXPECT_FALSE(audit.hasUsedUpAttempts(JobId("failing")));
}

} // namespace
} // namespace firefly
