#include "fakes/RestartSchedule.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

constexpr std::uint32_t SeedCount = 60;

// Guards against two runs of a task, or a start after its end, when orders that a link has held
// reach a later incarnation of their worker, in the order in which they were sent.
TEST(RestartFaults, HeldOrdersStartNoTaskTwice)
{
    expectNoFinding(SeedCount, {});
}

// The same with gangs and long-running tasks.
TEST(RestartFaults, HeldOrdersStartNoGangTwice)
{
    expectNoFinding(SeedCount, {.hasGangs = true, .hasLongRunning = true});
}

} // namespace
} // namespace firefly
