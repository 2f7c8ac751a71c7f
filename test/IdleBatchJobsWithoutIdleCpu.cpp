#include "fakes/IdleJobs.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;
using namespace idle;

// Guards against jobs whose turn has come but that find no idle processor time in one piece, as
// other fillers take each piece that ends.
TEST(IdleBatchJobsWithoutIdleCpu, OverdueGangBesideSingleTasks)
{
    forEachSeed([](CellWorld &world) {
        submitMany(world, "single", 12, makeFillers(60));
        world.run(500ms);
        submitMany(world, "gang", 1, makeGang(makeFillers(8)));
        EXPECT_LE(idleTimeAtFinish(world, "gang0"), MaxIdleTime);
    });
}

TEST(IdleBatchJobsWithoutIdleCpu, OverdueJobOfLargeTasksBesideSmallOnes)
{
    forEachSeed([](CellWorld &world) {
        submitMany(world, "small", 12, makeFillers(60));
        world.run(500ms);
        submitMany(world, "large", 1, makeFillers(4, 4000));
        EXPECT_LE(idleTimeAtFinish(world, "large0"), MaxIdleTime);
    });
}

// No filler ends within the time that the platform tolerates.
TEST(IdleBatchJobsWithoutIdleCpu, JobBesideLongRunsOfOthers)
{
    forEachSeed([](CellWorld &world) {
        setWorkTime(world, 25s);
        submitMany(world, "long", 1, makeFillers(60));
        world.run(500ms);
        submitMany(world, "short", 1, makeFillers(60));
        EXPECT_LE(idleTimeAtFinish(world, "short0"), MaxIdleTime);
    });
}

} // namespace
} // namespace firefly
