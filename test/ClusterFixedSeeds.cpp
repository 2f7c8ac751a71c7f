#include "fakes/ClusterWorld.h"

#include <gtest/gtest.h>

using namespace firefly;

namespace {

constexpr std::uint64_t FirstSeed = 20261203;
constexpr std::uint64_t Schedules = 400;

} // namespace

/// Guards against sending the start of an attempt while its eviction is appended but not read back.
/// The schedule of seed 1081 once did so.
TEST(ClusterFixedSeeds, pendingEvictionPreventsStart)
{
    fakes::SoakRunner<fakes::ClusterWorld> runner;
    EXPECT_FALSE(runner.run(1081));
}

TEST(ClusterFixedSeeds, noScheduleBreaksAnInvariant)
{
    fakes::SoakRunner<fakes::ClusterWorld> runner;
    for (std::uint64_t seed = FirstSeed; seed < FirstSeed + Schedules; ++seed) {
        const auto failure = runner.run(seed);
        ASSERT_FALSE(failure) << "seed " << seed << ": " << failure->what << "\n"
                              << testing::PrintToString(failure->trace);
    }
}
