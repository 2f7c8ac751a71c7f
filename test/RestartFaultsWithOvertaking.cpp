#include "fakes/RestartSchedule.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

constexpr std::uint32_t SeedCount = 20;

// Guards against two runs of a task when its start is overtaken by the stop, which one incarnation
// of the worker accepts, and carried out by the next one.
TEST(RestartFaultsWithOvertaking, OvertakenStartsStartNoTaskTwice)
{
    expectNoFinding(SeedCount, {.hasOvertaking = true});
}

// The same with starts of earlier owners.
TEST(RestartFaultsWithOvertaking, OvertakenStartsOfEarlierOwnersStartNoTaskTwice)
{
    expectNoFinding(
        150,
        {.hasOvertaking = true, .hasOwnerChanges = true, .hasGangs = true, .hasLongRunning = true});
}

} // namespace
} // namespace firefly
