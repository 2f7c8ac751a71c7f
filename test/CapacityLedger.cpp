#include "Routing.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

using namespace firefly;

namespace {

WorkerInfo workerNamed(int n, VmState state = VmState::Live)
{
    WorkerInfo info{.id = WorkerId("worker" + std::to_string(n))};
    info.zone = ZoneId("zone" + std::to_string(n % 3));
    info.capacity = {8000, 8192, 0, 4};
    info.state = state;
    return info;
}

} // namespace

TEST(CapacityLedger, NeverReservesMoreThanTheCapacity)
{
    EXPECT_TRUE(rc::check([] {
        WorkerPool pool;
        const WorkerIndex worker = pool.update(workerNamed(0), TimePoint());
        const Resources capacity = pool.ledger().capacity(worker);
        std::vector<Resources> tasks;
        int calls = 0;
        const int steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            const int step = *rc::gen::inRange(0, 4);
            if (step == 0 && pool.reserveUrgent(worker)) {
                ++calls;
            } else if (step == 1 && calls > 0) {
                pool.releaseUrgent(worker, {.callerZone = ZoneId("zone0")}, TimePoint());
                --calls;
            } else if (step == 2) {
                const Resources task{*rc::gen::inRange(0, 5000), *rc::gen::inRange(0, 6000), 0, 0};
                if (pool.reserveBatch(worker, task)) {
                    tasks.push_back(task);
                }
            } else if (step == 3 && !tasks.empty()) {
                pool.releaseBatch(worker, tasks.back());
                tasks.pop_back();
            }
            Resources held;
            for (int call = 0; call < calls; ++call) {
                held += pool.settings().resourcesPerCall;
            }
            for (const Resources &task : tasks) {
                held += task;
            }
            RC_ASSERT(held.fitsIn(capacity));
            RC_ASSERT(pool.ledger().freeCapacity(worker) == capacity - held);
        }
    }));
}

TEST(CapacityLedger, ThrowsWhenMoreIsReleasedThanReserved)
{
    CapacityLedger ledger;
    const WorkerIndex worker = ledger.add({1000, 1000, 0, 1});
    ASSERT_TRUE(ledger.reserve(worker, WorkClass::Batch, {500, 500, 0, 0}));
    EXPECT_THROW(ledger.release(worker, WorkClass::Batch, {501, 0, 0, 0}), InvariantViolation);
}

TEST(CapacityLedger, AdoptedWorkBeyondCapacityBlocksReservations)
{
    WorkerPool pool;
    const WorkerIndex worker = pool.update(workerNamed(0), TimePoint());
    pool.adoptBatch(worker, {9000, 100, 0, 0});
    EXPECT_TRUE(pool.ledger().isOvercommitted(worker));
    EXPECT_FALSE(pool.reserveUrgent(worker));
    EXPECT_EQ(pool.availableCount(), 0U);
}

TEST(CapacityLedger, RemovedWorkerKeepsItsIndexUntilItsWorkEnds)
{
    WorkerPool pool;
    const WorkerIndex first = pool.update(workerNamed(0), TimePoint());
    ASSERT_TRUE(pool.reserveUrgent(first));
    pool.remove(WorkerId("worker0"));
    EXPECT_FALSE(pool.reserveUrgent(first));
    const WorkerIndex second = pool.update(workerNamed(1), TimePoint());
    EXPECT_NE(first, second) << "the index of a worker that still has work was reused";
    pool.releaseUrgent(first, {.callerZone = ZoneId("zone0")}, TimePoint());
    EXPECT_EQ(pool.update(workerNamed(2), TimePoint()), first);
}
