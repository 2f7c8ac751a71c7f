#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// Submits \a spec, whose task \a task crashes its workers; twice the store is away from its next
/// start on until the owner changes.
void runOverTwoOutages(CellWorld &world, const JobSpec &spec, const TaskName &task)
{
    const auto workerCount = static_cast<std::uint32_t>(world.workers.size());
    world.run(1s);
    world.submit(JobId("sound"), makeSpreadLongRunning(workerCount, 2000));
    world.run(1s);
    world.crashingTasks.insert(task);
    world.submit(task.job, spec);
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
}

// Guards against a task that starts again before the crash of its worker is stored, so that the
// next owner doesn't count that crash.
TEST(CrashesBeforeDurable, ATaskIsGivenUpOverTwoOutagesOfTheStoreWithAChangeOfOwner)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        CellWorld world(seed, 16);
        const TaskName task{JobId("crashing"), 0, 0, 0};
        runOverTwoOutages(world, makeChain(1, 1), task);
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// Guards against the same by a gang, whose members start together.
TEST(CrashesBeforeDurable, AGangIsGivenUpOverTwoOutagesOfTheStoreWithAChangeOfOwner)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        CellWorld world(seed, 16);
        JobSpec spec = makeChain(1, 4);
        spec.steps[0].isGang = true;
        const TaskName task{JobId("crashing"), 0, 0, 2};
        runOverTwoOutages(world, spec, task);
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
