#include "fakes/RoomAudit.h"
#include "fakes/SingleTaskJobs.h"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 5;
constexpr Duration Slice = 20ms;

/// Leaves 3000 free on each of w0 and w1, beside a long-running task of 3000 and a batch task of
/// 2000 that takes longer than its estimate; "large0", "large1" and "small" run on workers of their
/// own.
void fill(CellWorld &world)
{
    world.workers.at("w2")->capacity = {5000, 64000, 0};
    world.workers.at("w3")->capacity = {5000, 64000, 0};
    world.workers.at("w4")->capacity = {3000, 64000, 0};
    world.replaceOwner(world.now);
    world.pauseWorker("w0", 2s);
    world.pauseWorker("w1", 2s);
    world.run(500ms);
    world.submit(JobId("large0"), makeLongRunning(1, 5000));
    world.submit(JobId("large1"), makeLongRunning(1, 5000));
    world.run(300ms);
    world.submit(JobId("small"), makeLongRunning(1, 3000));
    world.run(2s);
    world.submit(JobId("beside"), makeSpreadLongRunning(2, 3000));
    world.run(500ms);
    JobSpec batch = makeChain(1, 2);
    batch.steps.front().demand.milliCpu = 2000;
    batch.steps.front().maxPerWorker = 1;
    batch.steps.front().estimateMs = 1900;
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 10s;
    }
    world.submit(JobId("batch"), batch);
    world.run(200ms);
}

// Guards against free capacity that is kept for a displaced task until batch tasks end, while
// another displaced task that it fits stays down.
TEST(IdleRoomBesideWaitingTasks, CapacityDoesNotStandIdleUntilBatchTasksEnd)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 5);
        const std::array<const CellWorld *, 1> cells{&world};
        fill(world);
        displace(world, "large0");
        displace(world, "large1");
        world.run(200ms);
        displace(world, "small");
        RoomAudit audit;
        for (const TimePoint end = world.now + 5s; world.now < end;) {
            world.run(Slice);
            audit.observe(cells, world.now);
        }
        EXPECT_LT(audit.longestIdle, RoomAudit::MaxIdleTime) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

// Guards against an offer of capacity that is kept for a displaced task of this cell: first starts
// and batch tasks of other cells couldn't take it here.
TEST(IdleRoomBesideWaitingTasks, KeptCapacityIsNotOfferedToOtherCells)
{
    CellWorld world(1, 5);
    fill(world);
    displace(world, "large0");
    displace(world, "large1");
    world.run(200ms);
    EXPECT_LT(world.owner->roomByService().at("svc").largestFree.milliCpu, 3000);
}

} // namespace
} // namespace firefly
