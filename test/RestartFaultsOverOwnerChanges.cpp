#include "fakes/RestartSchedule.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

// Guards against two runs of a task when a link has held the start of an earlier owner, which
// reaches a later incarnation of its worker after the present owner has started the task elsewhere.
TEST(RestartFaultsOverOwnerChanges, HeldOrdersOfEarlierOwnersStartNoTaskTwice)
{
    expectNoFinding(60, {.hasOwnerChanges = true, .hasGangs = true, .hasLongRunning = true});
}

} // namespace
} // namespace firefly
