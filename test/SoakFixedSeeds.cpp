#include "fakes/LedgerWorld.h"

#include <gtest/gtest.h>

using namespace firefly;

namespace {

constexpr std::uint64_t FirstSeed = 20261203;
constexpr std::uint64_t Schedules = 1600;

} // namespace

TEST(SoakFixedSeeds, noScheduleBreaksAnInvariant)
{
    fakes::SoakRunner<fakes::LedgerWorld> runner;
    for (std::uint64_t seed = FirstSeed; seed < FirstSeed + Schedules; ++seed) {
        const auto failure = runner.run(seed);
        ASSERT_FALSE(failure) << "seed " << seed << ": " << failure->what << "\n"
                              << testing::PrintToString(failure->trace);
    }
}
