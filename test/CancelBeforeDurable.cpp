#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

// A cancel that is lost with its owner must not have stopped anything: the next owner knows nothing
// of it and starts the tasks again.
TEST(CancelBeforeDurable, ATaskRunsUntilTheCancelIsStored)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        CellWorld world(seed, 4);
        world.run(500ms);
        const TaskName task{JobId("long"), 0, 0, 0};
        world.submit(task.job, makeLongRunning(1, 3000));
        world.run(1s);
        ASSERT_TRUE(isRunning(world, task));
        world.isStoreDown = true;
        ASSERT_TRUE(world.owner->cancel(task.job, world.now, world.unixMs(), [](auto) {}));
        world.run(3s);
        EXPECT_TRUE(isRunning(world, task)) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
