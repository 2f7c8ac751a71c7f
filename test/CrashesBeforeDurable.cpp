#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

// A task that crashed its worker starts again before the crash is stored, so that the next owner
// doesn't count it.
TEST(CrashesBeforeDurable, ATaskIsGivenUpOverTwoOutagesOfTheStoreWithAChangeOfOwner)
{
    constexpr int WorkerCount = 16;
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        CellWorld world(seed, WorkerCount);
        world.run(1s);
        world.submit(JobId("sound"), makeSpreadLongRunning(WorkerCount, 2000));
        world.run(1s);
        const TaskName task{JobId("crashing"), 0, 0, 0};
        world.crashingTasks.insert(task);
        world.submit(task.job, makeChain(1, 1));
        for (int i = 0; i < 2; ++i) {
            const std::size_t count = world.audit.runs[task].size();
            const TimePoint end = world.now + 15s;
            while (world.audit.runs[task].size() == count && world.now < end) {
                world.step();
            }
            world.isStoreDown = true;
            world.run(5s);
            world.isStoreDown = false;
            world.replaceOwner(world.now + 6s);
        }
        world.run(60s);
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
