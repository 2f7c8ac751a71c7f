#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;
const std::string Joined = "w2";
/// Longer than a worker that isn't listed any more keeps its lease.
constexpr Duration LeaseTime = 8s;

/// Steps until \a holds, for at most \a limit.
template <typename Condition>
bool runUntil(CellWorld &world, Duration limit, Condition holds)
{
    for (const TimePoint end = world.now + limit; world.now < end && !holds();) {
        world.step();
    }
    return holds();
}

const CellWorker *findWorker(const CellWorld &world, const std::string &id)
{
    const auto &workers = world.owner->state().workers;
    const auto it = workers.find(id);
    return it == workers.end() ? nullptr : it->second.get();
}

// A worker that left before its record was stored and is listed again while the deletion of that
// record is on its way counted as recorded, and got tasks that the next owner didn't know of.
TEST(RelistedWorkerRecord, TheStoredDeletionOfItsRecordDoesNotMakeAWorkerRecorded)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 2);
        world.workers.at("w1")->isReachable = false;
        world.run(500ms);
        world.workers.at("w0")->workTime = 8s;
        world.submit(JobId("a"), makeChain(1, 16));
        world.run(500ms);
        ASSERT_TRUE(world.accepted.contains("a")) << "seed " << seed;

        // The batch in flight is the record of another job, so that the worker's waits.
        world.isStoreDown = true;
        world.submit(JobId("b"), makeChain(1, 1));
        world.step();
        auto &worker = world.workers[Joined];
        worker = std::make_unique<FakeCellWorker>(Joined, world.audit);
        worker->endpoint.address = "10.0.0.3";
        worker->workTime = 8s;
        world.owner->onWorkerListed(worker->describe(), world.now);
        ASSERT_TRUE(runUntil(world, 300ms, [&] { return findWorker(world, Joined)->isContacted; }));
        ASSERT_FALSE(findWorker(world, Joined)->isRecorded) << "seed " << seed;
        worker->state = FakeCellWorker::State::Down;
        worker->isRegistered = false;
        world.owner->onWorkerGone(WorkerId(Joined), world.now);
        ASSERT_TRUE(runUntil(world, LeaseTime, [&] { return !findWorker(world, Joined); }));

        // The batch with the deletion is sent.
        world.isStoreDown = false;
        ASSERT_TRUE(runUntil(world, 1s, [&] {
            return world.store.contains(JobRecords::specKey(JobId("b")))
                   && world.owner->journal().waitingRecords() == 0
                   && !world.owner->journal().isIdle();
        }));
        worker->state = FakeCellWorker::State::Up;
        worker->isRegistered = true;
        world.owner->onWorkerListed(worker->describe(), world.now);
        runUntil(world, 100ms, [&] { return findWorker(world, Joined)->isRecorded; });
        world.isStoreDown = true;
        EXPECT_TRUE(!findWorker(world, Joined)->isRecorded
                    || world.store.contains(JobRecords::workerKey(Joined)))
            << "seed " << seed;

        world.run(1s);
        world.isStoreDown = false;
        world.workers.at("w1")->isReachable = true;
        worker->isRegistered = false;
        world.replaceOwner(world.now + 9s);
        world.run(100ms);
        worker->isRegistered = true;
        world.owner->onWorkerListed(worker->describe(), world.now);
        world.run(40s);
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
