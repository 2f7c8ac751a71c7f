#include "fakes/IdleJobs.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;
using namespace idle;

// Guards against jobs that have no run as long as others that rank before them have tasks to start.
TEST(IdleBatchJobs, OverdueJobBehindOverdueOnesOfAHigherPriority)
{
    forEachSeed([](CellWorld &world) {
        submitMany(world, "high", 12, makeFillers(60, 1000, 0));
        submitMany(world, "low", 1, makeFillers(60, 1000, 2));
        EXPECT_LE(idleTimeAtFinish(world), MaxIdleTime);
    });
}

TEST(IdleBatchJobs, OverdueJobBesideJobsThatCanBeInTime)
{
    forEachSeed([](CellWorld &world) {
        submitMany(world, "urgent", 12, makeFillersInTime(60));
        submitMany(world, "overdue", 1, makeFillers(60));
        EXPECT_LE(idleTimeAtFinish(world, "overdue0"), MaxIdleTime);
    });
}

TEST(IdleBatchJobs, LateJobBesideJobsThatCanBeInTime)
{
    forEachSeed([](CellWorld &world) {
        submitMany(world, "urgent", 12, makeFillersInTime(60));
        JobSpec late = makeFillersInTime(60);
        late.policy.stretch = 0.5;
        submitMany(world, "late", 1, late);
        EXPECT_LE(idleTimeAtFinish(world, "late0"), MaxIdleTime);
    });
}

// Of jobs that are handed in at once, one that can be in time waits for the others.
TEST(IdleBatchJobs, JobInTimeBesideMoreUrgentOnes)
{
    forEachSeed([](CellWorld &world) {
        submitMany(world, "urgent", 12, makeFillersInTime(60));
        JobSpec patient = makeFillersInTime(60);
        patient.policy.stretch = 3.0;
        submitMany(world, "patient", 1, patient);
        EXPECT_LE(idleTimeAtFinish(world, "patient0"), MaxIdleTime);
    });
}

TEST(IdleBatchJobs, OverdueReservingGangBesideSingleTasks)
{
    forEachSeed([](CellWorld &world) {
        submitMany(world, "single", 12, makeChain(1, 60));
        world.run(500ms);
        submitMany(world, "gang", 1, makeGang(makeChain(1, 8)));
        EXPECT_LE(idleTimeAtFinish(world), MaxIdleTime);
    });
}

TEST(IdleBatchJobs, OverdueJobsAfterAColdStart)
{
    forEachSeed([](CellWorld &world) {
        submitMany(world, "job", 12, makeFillers(60));
        runWithVariedWork(world, 7s);
        world.loseOwner(600ms);
        EXPECT_LE(idleTimeAtFinish(world), MaxIdleTime);
    });
}

// The machine of the next owner may tell another time of day.
TEST(IdleBatchJobs, OverdueJobsAfterAColdStartOnAnotherWallClock)
{
    for (const Duration error : {-5s, 5s}) {
        forEachSeed([error](CellWorld &world) {
            submitMany(world, "job", 12, makeFillers(60));
            runWithVariedWork(world, 7s);
            world.loseOwner(600ms);
            world.wallClockError = error;
            EXPECT_LE(idleTimeAtFinish(world), MaxIdleTime);
        });
    }
}

TEST(IdleBatchJobs, OverdueJobsInTheFirstSecondsAfterAColdStart)
{
    forEachSeed([](CellWorld &world) {
        submitMany(world, "job", 12, makeFillers(60));
        runWithVariedWork(world, FinishTime - 1s);
        world.loseOwner(600ms);
        runWithVariedWork(world, 1s);
        IdleTimes times(world);
        times.run(15s);
        EXPECT_LE(times.longest(), MaxIdleTime);
    });
}

} // namespace
} // namespace firefly
