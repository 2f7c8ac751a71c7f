#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;
/// Of the first owner's wall clock; the next owner's is right.
constexpr Duration ClockError = 1000ms;
constexpr Duration ShortWork = 200ms;
constexpr std::uint32_t Repetitions = 3;
constexpr Duration Interval = 3000ms;

/// Submits a scheduled job to an owner whose clock is fast, and returns once the second occurrence
/// is due for that owner.
void runUntilSecondOccurrence(CellWorld &world, Duration workTime = ShortWork)
{
    for (auto &[id, worker] : world.workers) {
        worker->workTime = workTime;
    }
    world.wallClockError = ClockError;
    JobSpec spec = makeChain(1, 4);
    spec.repetitions = Repetitions;
    spec.startAtUnixMs = world.unixMs() + 1000;
    spec.intervalMs = std::chrono::duration_cast<std::chrono::milliseconds>(Interval).count();
    world.submit(JobId("a"), spec);
    world.run(1000ms + Interval);
}

/// Replaces the owner by one for which the second occurrence isn't due yet.
void replaceOwner(CellWorld &world)
{
    world.wallClockError = {};
    world.replaceOwner(world.now + 9s);
}

void expectNoViolation(CellWorld &world, std::uint32_t seed)
{
    world.run(Repetitions * Interval + 10s);
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    EXPECT_TRUE(world.isFinished(JobId("a"))) << "seed " << seed;
}

// A next owner whose clock was behind dropped the recorded ends of an occurrence that wasn't due
// for it yet, and started its tasks again.
TEST(EarlyOccurrenceOwnerChange, RecordedEndsLastAlthoughTheOccurrenceIsNotDueYet)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 2);
        runUntilSecondOccurrence(world);
        world.run(ShortWork + 200ms);
        ASSERT_TRUE(world.audit.everDone.contains({JobId("a"), 1, 0, 0})) << "seed " << seed;
        replaceOwner(world);
        expectNoViolation(world, seed);
    }
}

// A next owner whose clock was behind acknowledged ends of such an occurrence without recording
// them, and started its tasks again.
TEST(EarlyOccurrenceOwnerChange, ReportedEndsCountAlthoughTheOccurrenceIsNotDueYet)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 2);
        runUntilSecondOccurrence(world);
        world.isStoreDown = true;
        world.run(ShortWork + 200ms);
        ASSERT_TRUE(world.audit.everDone.contains({JobId("a"), 1, 0, 0})) << "seed " << seed;
        world.isStoreDown = false;
        replaceOwner(world);
        expectNoViolation(world, seed);
    }
}

// A next owner whose clock was behind stopped the runs of such an occurrence, and started the tasks
// elsewhere without waiting for the ends of these runs.
TEST(EarlyOccurrenceOwnerChange, NoTaskRunsTwiceWhenTheOccurrenceBecomesDue)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 2);
        runUntilSecondOccurrence(world, 3000ms);
        world.run(ClockError - 400ms);
        const TaskName task{JobId("a"), 1, 0, 0};
        ASSERT_FALSE(world.audit.runningOn[task].empty()) << "seed " << seed;
        world.lateOrderFraction = 0.5;
        replaceOwner(world);
        world.run(1s);
        world.lateOrderFraction = 0.0;
        expectNoViolation(world, seed);
    }
}

} // namespace
} // namespace firefly
