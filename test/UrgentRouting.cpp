#include "Routing.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <random>
#include <set>
#include <vector>

using namespace firefly;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

WorkerInfo workerNamed(std::size_t n, VmState state = VmState::Live)
{
    WorkerInfo info{.id = WorkerId("worker" + std::to_string(n)), .zone = ZoneId("here")};
    info.capacity = {8000, 8192, 0, 4};
    info.state = state;
    return info;
}

/// A pool of identical workers in one zone, past their slow start.
struct Fixture
{
    WorkerPool pool;
    std::mt19937_64 random{20261203};
    TimePoint now{};

    explicit Fixture(std::size_t workers)
    {
        for (std::size_t i = 0; i < workers; ++i) {
            pool.update(workerNamed(i), now);
        }
        now += seconds(60);
    }

    void endCall(WorkerIndex worker, CallResult result, Duration latency = milliseconds(20))
    {
        pool.releaseUrgent(worker, {result, latency, ZoneId("here")}, now);
    }

    /// Routes \a n idempotent calls one after another, 10 ms apart, which fail on the workers in
    /// \a failing; returns the number of calls per worker.
    std::vector<int> routeCalls(int n, const std::set<std::size_t> &failing)
    {
        UrgentRouter<TwoChoice> router(pool);
        std::vector<int> calls(pool.size());
        for (int i = 0; i < n; ++i) {
            now += milliseconds(10);
            pool.tick(now);
            const auto decision = router.route({.idempotent = true}, random, now);
            const bool fails = failing.contains(toPosition(decision->worker));
            ++calls[toPosition(decision->worker)];
            endCall(decision->worker, fails ? CallResult::ServiceFailed : CallResult::Succeeded,
                    fails ? milliseconds(1) : milliseconds(20));
        }
        return calls;
    }
};

} // namespace

TEST(UrgentRouting, FailingWorkerGetsFewCallsAndRegainsItsShareAfterRecovery)
{
    Fixture fixture(10);
    fixture.routeCalls(500, {3}); // 5 s
    EXPECT_LT(fixture.routeCalls(2000, {3})[3], 20);
    fixture.routeCalls(3000, {}); // 30 s after the fault
    EXPECT_GT(fixture.routeCalls(1000, {})[3], 50);
}

TEST(UrgentRouting, NeverEjectsMoreThanMaxEjectedShare)
{
    EXPECT_TRUE(rc::check([] {
        const auto workers = std::size_t(*rc::gen::inRange(1, 20));
        Fixture fixture(workers);
        const auto failing =
            *rc::gen::container<std::set<std::size_t>>(rc::gen::inRange<std::size_t>(0, workers));
        for (int i = 0; i < 20; ++i) {
            fixture.routeCalls(20, failing);
            const std::size_t ejected = fixture.pool.outliers().ejectedCount();
            RC_ASSERT(double(ejected) <= 0.3 * double(workers));
        }
    }));
}

TEST(UrgentRouting, LeavingWorkerGetsNoNewCallsAndFinishesItsOwn)
{
    Fixture fixture(2);
    const WorkerIndex leaving = *fixture.pool.find(WorkerId("worker0"));
    ASSERT_TRUE(fixture.pool.reserveUrgent(leaving));
    fixture.pool.update(workerNamed(0, VmState::Leaving), fixture.now);
    UrgentRouter<TwoChoice> router(fixture.pool);
    for (int i = 0; i < 4; ++i) {
        EXPECT_NE(router.route({}, fixture.random, fixture.now)->worker, leaving);
    }
    EXPECT_FALSE(router.route({}, fixture.random, fixture.now));
    fixture.endCall(leaving, CallResult::Succeeded);
    EXPECT_FALSE(router.route({}, fixture.random, fixture.now));
}

TEST(UrgentRouting, AvoidsWorkerWithHighExpectedSlowdown)
{
    Fixture fixture(6);
    fixture.pool.setExpectedSlowdown(*fixture.pool.find(WorkerId("worker0")), 3);
    EXPECT_EQ(fixture.routeCalls(300, {})[0], 0);
}

TEST(UrgentRouting, NewWorkerGetsFewerCallsDuringSlowStart)
{
    Fixture fixture(5);
    const WorkerIndex newWorker = fixture.pool.update(workerNamed(5), fixture.now);
    const auto early = fixture.routeCalls(100, {})[toPosition(newWorker)];
    fixture.routeCalls(1000, {});
    const auto later = fixture.routeCalls(100, {})[toPosition(newWorker)];
    EXPECT_LT(early, later);
}

TEST(UrgentRouting, CallStaysWithinTheZonesOfItsPlan)
{
    Fixture fixture(3);
    WorkerInfo there = workerNamed(3);
    there.zone = ZoneId("there");
    const WorkerIndex onlyAllowed = fixture.pool.update(there, fixture.now);
    const std::vector<ZoneIndex> zones{fixture.pool.links().index(ZoneId("there"))};
    UrgentRouter<TwoChoice> router(fixture.pool);
    const RoutingRequest request{.zones = zones};
    for (int i = 0; i < 4; ++i) {
        const auto decision = router.route(request, fixture.random, fixture.now);
        ASSERT_TRUE(decision);
        EXPECT_EQ(decision->worker, onlyAllowed);
    }
    EXPECT_FALSE(router.route(request, fixture.random, fixture.now));
}

TEST(UrgentRouting, RetryAvoidsWorkersAlreadyTried)
{
    Fixture fixture(2);
    const std::vector<WorkerIndex> tried = {*fixture.pool.find(WorkerId("worker0"))};
    UrgentRouter<TwoChoice> router(fixture.pool);
    for (int i = 0; i < 4; ++i) {
        const auto decision = router.route({.exclude = tried}, fixture.random, fixture.now);
        EXPECT_NE(decision->worker, tried.front());
    }
    EXPECT_FALSE(router.route({.exclude = tried}, fixture.random, fixture.now));
}

TEST(UrgentRouting, RetriesStayWithinTheBudget)
{
    EXPECT_TRUE(rc::check([] {
        RetryBudget budget;
        const int steps = *rc::gen::inRange(1, 2000);
        for (int i = 0; i < steps; ++i) {
            if (*rc::gen::weightedElement<bool>({{1, true}, {2, false}})) {
                budget.recordRequest();
            } else {
                budget.tryConsume();
            }
            RC_ASSERT(double(budget.extraRequests()) <= 0.08 * double(budget.requests()) + 1e-6);
        }
    }));
}
