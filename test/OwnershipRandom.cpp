#include "OwnershipFaultSchedule.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace firefly;
using namespace firefly::test;

namespace {

ClusterOptions randomOptions(std::uint64_t seed, bool hasWorkerFencing)
{
    ClusterOptions options;
    options.shards = 2;
    options.seed = seed;
    options.lateMessageShare = 0.05;
    options.hasClockDrift = true;
    options.times.times.hasWorkerFencing = hasWorkerFencing;
    return options;
}

/// Number of random schedules run until one violates an invariant; 0 when none of \a limit does.
int schedulesToViolation(const ClusterOptions &options, int limit)
{
    const auto schedules = faultSchedules();
    for (int i = 1; i <= limit; ++i) {
        ClusterOptions run = options;
        run.seed = static_cast<std::uint64_t>(i);
        try {
            runSchedule(run, schedules(rc::Random(run.seed), 12).value());
        } catch (const InvariantViolation &) {
            return i;
        }
    }
    return 0;
}

/// Options without worker fencing and without jobs: a late start could then run beside a start of
/// the new owner.
ClusterOptions withoutFencing()
{
    ClusterOptions options = randomOptions(0, false);
    options.jobs = 0;
    return options;
}

} // namespace

RC_GTEST_PROP(OwnershipRandom, workersHaveOneOwnerAndJobsRunOnOneWorker, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto faults = *faultSchedules();
    RC_ASSERT(runSchedule(randomOptions(seed, true), faults));
}

RC_GTEST_PROP(OwnershipRandom, workersHaveOneOwnerWithoutFencing, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto faults = *faultSchedules();
    ClusterOptions options = withoutFencing();
    options.seed = seed;
    RC_ASSERT(runSchedule(options, faults));
}

TEST(OwnershipRandom, violatesInvariantsWithoutHoldOff)
{
    ClusterOptions options = withoutFencing();
    options.times.times.holdOff = Duration::zero();
    EXPECT_GT(schedulesToViolation(options, 200), 0);
}

TEST(OwnershipRandom, violatesInvariantsWithoutProof)
{
    ClusterOptions options = withoutFencing();
    options.times.switches.needsProof = false;
    EXPECT_GT(schedulesToViolation(options, 200), 0);
}
