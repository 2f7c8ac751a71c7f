#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;
constexpr int JobCount = 18;
constexpr std::uint32_t TasksPerJob = 36; ///< So that a worker can't list all ends at once.
constexpr Duration WorkTime = 4s;

/// A cell whose only worker runs more tasks than a report may list as ended; the store fails
/// before they end.
class BusyWorker
{
public:
    explicit BusyWorker(std::uint32_t seed)
        : world(seed, 1)
    {
        FakeCellWorker &worker = *world.workers.at("w0");
        worker.workTime = WorkTime;
        worker.capacity = {64000, 256000, 0};
        world.owner->onWorkerListed(worker.describe(), world.now);
        world.run(500ms);
        JobSpec spec = makeChain(1, TasksPerJob);
        spec.steps.front().demand = {45, 100, 0};
        spec.steps.front().estimateMs = WorkTime / 1ms;
        for (int i = 0; i < JobCount; ++i) {
            world.submit(JobId("job" + std::to_string(i)), spec);
            world.run(100ms);
        }
        world.run(1s);
        EXPECT_GT(world.workers.at("w0")->runningTasks().size(), FakeCellWorker::MaxListedEnds);
        world.isStoreDown = true;
    }

    void expectEachTaskRanOnce(std::uint32_t seed) const
    {
        for (int i = 0; i < JobCount; ++i) {
            EXPECT_TRUE(world.isFinished(JobId("job" + std::to_string(i)))) << i << " " << seed;
        }
        EXPECT_EQ(world.starts, JobCount * TasksPerJob) << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << seed;
    }

    CellWorld world;
};

bool hasLogged(const CellWorld &world, std::string_view message)
{
    return std::ranges::any_of(world.decisions, [message](const LogDecision &it) {
        return std::string_view(it.message) == message;
    });
}

// Guards against runs that are taken for gone, or stuck, because the report has no room for their
// ends.
TEST(TruncatedLeaseReport, TasksWhoseEndsAreNotListedYetAreNotStartedAgain)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        BusyWorker cell(seed);
        cell.world.run(6500ms);
        cell.world.isStoreDown = false;
        cell.world.run(10s);
        cell.expectEachTaskRanOnce(seed);
        EXPECT_FALSE(hasLogged(cell.world, "task stuck")) << seed;
    }
}

// Guards against a new owner that takes a first report without room for all ends for a whole one.
TEST(TruncatedLeaseReport, ANewOwnerAwaitsTheEndsThatAreNotListedYet)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        BusyWorker cell(seed);
        cell.world.run(4500ms);
        cell.world.replaceOwner(cell.world.now + 5s);
        cell.world.run(seed * 50ms);
        cell.world.isStoreDown = false;
        cell.world.run(15s);
        cell.expectEachTaskRanOnce(seed);
    }
}

// Guards against a new owner that gives up such a worker, when it falls silent, before its lease is
// over.
TEST(TruncatedLeaseReport, ANewOwnerAwaitsTheLeaseOfAWorkerThatFallsSilentBetweenTwoReports)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        BusyWorker cell(seed);
        cell.world.run(4500ms);
        cell.world.replaceOwner(cell.world.now + 1s);
        cell.world.run(1500ms);
        FakeCellWorker &worker = *cell.world.workers.at("w0");
        worker.isReachable = false;
        cell.world.run(1800ms);
        worker.isReachable = true;
        cell.world.run(1500ms);
        cell.world.isStoreDown = false;
        cell.world.run(15s);
        cell.expectEachTaskRanOnce(seed);
    }
}

} // namespace
} // namespace firefly
