#include "Core/Clock.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// A machine whose CLOCK_MONOTONIC stops while it is suspended, as on Linux.
struct FakeMachine
{
    std::chrono::seconds running{};
    std::chrono::seconds suspended{};

    int operator()(clockid_t id, std::timespec *time) const
    {
        const auto counted = id == CLOCK_BOOTTIME ? running + suspended : running;
        *time = {counted.count(), 0};
        return 0;
    }
};

TEST(ClockSuspension, MachineTimeIncludesSuspendedTime)
{
    FakeMachine machine{100s, 0s};
    const TimePoint before = Clock::machineTime(machine);
    machine.suspended = 7s;
    EXPECT_EQ(Clock::machineTime(machine) - before, 7s);
}

TEST(ClockSuspension, NowEqualsMachineTimeUnlessPaused)
{
    const TimePoint before = Clock::machineTime(::clock_gettime);
    const TimePoint now = Clock::now();
    EXPECT_LE(before, now);
    EXPECT_LE(now, Clock::machineTime(::clock_gettime));
}

} // namespace
} // namespace firefly
