#include "fakes/FleetWorld.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr int Home = 0;

// A task of a drained worker stayed down for as long as its cell was full, although another cell
// had workers without any task.
TEST(TaskDelegation, ADisplacedTaskOfAFullCellRunsAgainInACellWithRoom)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        FleetWorld world(seed, 2, 3);
        world.run(500ms);
        world.cell(Home).submit(JobId("long"), makeSpreadLongRunning(3, 7000));
        world.run(1s);
        ASSERT_FALSE(world.cell(Home).workers.at("w0")->isIdle());
        drain(world.cell(Home), "w0");
        world.run(MaxDowntime);
        for (std::uint32_t i = 0; i < 3; ++i) {
            EXPECT_EQ(world.countRuns({JobId("long"), 0, 0, i}), 1U)
                << "task " << i << ", seed " << seed;
        }
        for (const auto &it : world.cells) {
            EXPECT_EQ(it->audit.violations, std::vector<std::string>{});
        }
    }
}

} // namespace
} // namespace firefly
