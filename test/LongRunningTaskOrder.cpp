#include "fakes/CellWorld.h"
#include "fakes/LongRunningTasks.h"
#include "fakes/SingleTaskJobs.h"

#include <gtest/gtest.h>

#include <string>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 5;
constexpr std::int64_t Demand = 5000; ///< Fits a worker only alone.

void submit(CellWorld &cell, const std::string &id)
{
    cell.submit(JobId(id), makeLongRunning(1, Demand));
}

/// A cell of three workers with a task each, of which two are displaced: \a second, whose job was
/// submitted first, three seconds after \a first.
void displaceTwo(CellWorld &cell, const std::string &first, const std::string &second)
{
    cell.run(500ms);
    submit(cell, second);
    cell.run(200ms);
    submit(cell, first);
    submit(cell, "blocker");
    cell.run(1s);
    displace(cell, first);
    cell.run(3s);
    displace(cell, second);
    cell.run(1s);
    ASSERT_FALSE(isRunning(cell, taskOf(first)));
    ASSERT_FALSE(isRunning(cell, taskOf(second)));
}

// Guards against a long-running task that stays down while another one of its cell that was
// displaced later takes the room that both wait for.
TEST(LongRunningTaskOrder, ThePieceGoesToTheTaskThatHasWaitedLongest)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld cell(seed, 3);
        displaceTwo(cell, "first", "second");
        cancel(cell, "blocker");
        cell.run(1s);
        EXPECT_TRUE(isRunning(cell, taskOf("first"))) << "seed " << seed;
        EXPECT_FALSE(isRunning(cell, taskOf("second"))) << "seed " << seed;
    }
}

// Guards against the same after a change of owner, which doesn't end the wait.
TEST(LongRunningTaskOrder, ThePieceGoesToTheTaskThatHasWaitedLongestOverOwners)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld cell(seed, 3);
        displaceTwo(cell, "first", "second");
        cell.replaceOwner(cell.now);
        cell.run(2s);
        cancel(cell, "blocker");
        cell.run(1s);
        EXPECT_TRUE(isRunning(cell, taskOf("first"))) << "seed " << seed;
        EXPECT_FALSE(isRunning(cell, taskOf("second"))) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
