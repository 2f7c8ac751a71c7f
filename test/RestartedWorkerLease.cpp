#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;
const TaskName Task{JobId("a"), 0, 0, 0};

/// Restarts the only worker while a renewal to it is held up, so that its new incarnation starts
/// the task of a job before its first report, and cuts it off.  Another worker joins, for when the
/// lease is over.
void startBeforeFirstReport(CellWorld &world)
{
    FakeCellWorker &worker = *world.workers.at("w0");
    worker.workTime = 20s;
    world.run(10s);
    for (const auto reports = world.reports; world.reports == reports;) {
        world.step();
    }
    world.lateOrderFraction = 1.0;
    world.run(50ms);
    world.lateOrderFraction = 0.0;
    worker.reboot(world.now);
    world.submit(JobId("a"), makeChain(1, 1));
    while (!isRunning(world, Task)) {
        world.step();
    }
    worker.isReachable = false;
    world.joinWorker(0ms);
}

void expectOneRun(CellWorld &world, std::uint32_t seed)
{
    world.run(12s);
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(world.audit.startedOn[Task], (std::vector<std::string>{"w0", "n1"}))
        << "seed " << seed;
}

// A task ran twice at the same time: the deadline of its start, by the clock of the earlier
// incarnation, granted the longest lease, and the owner took it for over by the shorter one that it
// had asked for.
TEST(RestartedWorkerLease, ATaskDoesNotRunTwiceIfTheWorkerIsCutOffBeforeItsFirstReport)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 1);
        startBeforeFirstReport(world);
        expectOneRun(world, seed);
    }
}

// The same, as the owner recorded that shorter lease and the next one waited no longer.
TEST(RestartedWorkerLease, ATaskDoesNotRunTwiceAfterAChangeOfOwner)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 1);
        startBeforeFirstReport(world);
        world.run(2s);
        world.replaceOwner(world.now + 8800ms);
        expectOneRun(world, seed);
    }
}

} // namespace
} // namespace firefly
