#include "Placement.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <random>
#include <string>
#include <vector>

using namespace firefly;
using std::chrono::seconds;

namespace {

/// Identical workers in one zone, with all inputs of a placement.
struct Fixture
{
    WorkerPool pool;
    WorkerMixes mixes;
    SlowdownModel model;
    CapacityShapes shapes;
    PlacementSettings settings;
    BatchPlacer<LeastSlowdown> placer;
    std::mt19937_64 random{20261203};
    TimePoint now{};
    WorkloadIndex service = model.service(ServiceId("service"));
    WorkloadIndex kind = model.batchKind("rebuild");

    explicit Fixture(std::size_t workers)
    {
        for (std::size_t i = 0; i < workers; ++i) {
            WorkerInfo info{.id = WorkerId("worker" + std::to_string(i)), .zone = ZoneId("here")};
            info.capacity = {32000, 64000, 0, 8};
            pool.update(info, now);
            shapes.add(info);
        }
    }

    Placement place(const Resources &resources, std::span<const std::string> zones = {})
    {
        const PlacementContext context{pool, mixes, model, service, settings};
        return placer.place(context, shapes, {.kind = kind, .resources = resources, .zones = zones},
                            random, now);
    }
};

EvictionCandidate task(const std::string &job, double slowdown, Duration unsaved, bool checkpoint)
{
    EvictionCandidate it{.job = JobId(job), .attempt = 1};
    it.unsavedWork = unsaved;
    it.canCheckpoint = checkpoint;
    it.urgentSlowdown = slowdown;
    return it;
}

} // namespace

TEST(BatchPlacement, NeverFillsTheCapacityReservedForUrgentCalls)
{
    EXPECT_TRUE(rc::check([] {
        Fixture fixture(4);
        fixture.settings.urgentWeight = 0.5;
        const int jobs = *rc::gen::inRange(1, 60);
        for (int i = 0; i < jobs; ++i) {
            const Resources size{*rc::gen::inRange(1, 9000), *rc::gen::inRange(1, 30000), 0, 0};
            const auto answer = fixture.place(size);
            if (const auto *placed = std::get_if<Placed>(&answer)) {
                RC_ASSERT(fixture.pool.reserveBatch(placed->worker, size));
            }
        }
        for (const WorkerIndex worker : fixture.pool.workers()) {
            RC_ASSERT(fixture.pool.ledger().freeCapacity(worker).milliProcessors >= 4000);
        }
    }));
}

TEST(BatchPlacement, RejectsJobThatCanNeverRunWithReason)
{
    Fixture fixture(2);
    const auto large = std::get<Infeasible>(fixture.place({64000, 1, 0, 0}));
    EXPECT_NE(large.reason.find("64000 milliprocessors"), std::string::npos) << large.reason;
    EXPECT_TRUE(std::holds_alternative<Infeasible>(fixture.place({1000, 1, 1, 0})));
    const std::vector<std::string> elsewhere = {"elsewhere"};
    const auto nowhere = std::get<Infeasible>(fixture.place({1000, 1, 0, 0}, elsewhere));
    EXPECT_NE(nowhere.reason.find("zones"), std::string::npos);
}

TEST(BatchPlacement, LearnsSlowdownPerKindAndLoad)
{
    SlowdownModel model;
    const WorkloadIndex service = model.service(ServiceId("service"));
    const WorkloadIndex mild = model.batchKind("mild");
    const WorkloadIndex noisy = model.batchKind("noisy");
    std::mt19937_64 random{20261203};
    std::uniform_real_distribution<double> uniform(0, 1);
    TimePoint now{};
    for (int i = 0; i < 2000; ++i) {
        now += std::chrono::milliseconds(100);
        const double load = uniform(random);
        const std::vector<WorkloadShare> mix = {{mild, uniform(random) / 2},
                                                {noisy, uniform(random) / 2}};
        const double slowdown = 1 + 0.2 * load + 0.1 * mix[0].share + mix[1].share * (2 + 2 * load);
        model.observe(service, mix, slowdown, now, load);
    }
    EXPECT_NEAR(model.pairwiseSlowdown(service, mild, now).mean, 1.1, 0.15);
    EXPECT_NEAR(model.pairwiseSlowdown(service, noisy, now, 1, 0.2).mean, 3.4, 0.3);
    EXPECT_NEAR(model.pairwiseSlowdown(service, noisy, now, 1, 0.9).mean, 4.8, 0.3);
}

TEST(BatchPlacement, CorrectsDeclaredSizesByActualUse)
{
    SizeEstimator sizes;
    const BatchJobSpec spec{.kind = "rebuild", .resources = {4000, 4000, 0, 0}, .runtimeMs = 1000};
    sizes.recordExceeded(spec, spec.resources);
    EXPECT_GE(sizes.estimate(spec).resources.memoryMiB, 6000);
    for (int i = 0; i < 10; ++i) {
        sizes.recordEnded(spec, {2000, 5000, 0, 0}, 2000);
    }
    const auto estimate = sizes.estimate(spec);
    EXPECT_LT(estimate.resources.milliProcessors, 4000);
    EXPECT_GE(estimate.resources.memoryMiB, 5000);
}

TEST(BatchPlacement, ThrottlesFirstThenEvictsTaskWithLeastLostWorkWithinTheLimit)
{
    EvictionSettings settings;
    EvictionPlanner planner(settings);
    const WorkerIndex worker{};
    std::vector<EvictionCandidate> tasks = {task("long", 1.0, seconds(500), false),
                                            task("saved", 0.8, seconds(500), true)};
    TimePoint now{};
    int evictions = 0;
    int throttles = 0;
    for (int i = 0; i < 60; ++i) { // Two minutes of constant pressure.
        now += seconds(2);
        const auto action = planner.plan(worker, 5, tasks, now);
        if (!action) {
            continue;
        }
        if (const auto *throttle = std::get_if<ThrottleAction>(&*action)) {
            EXPECT_EQ(evictions, 0) << "a task was evicted before all were throttled";
            ++throttles;
            for (EvictionCandidate &it : tasks) {
                it.share = it.job == throttle->job ? throttle->share : it.share;
            }
            continue;
        }
        EXPECT_EQ(std::get<EvictAction>(*action).job, JobId("saved"));
        EXPECT_GE(now - TimePoint(), settings.minRunTime);
        ++evictions;
    }
    EXPECT_EQ(throttles, 2);
    EXPECT_EQ(evictions, int(settings.maxEvictionsPerWindow));
}

TEST(BatchPlacement, TakesNoActionBetweenTheThresholds)
{
    EvictionPlanner planner;
    std::vector<EvictionCandidate> tasks = {task("job", 1.0, seconds(0), true)};
    tasks.front().share = 0.25;
    TimePoint now{};
    for (int i = 0; i < 100; ++i) {
        now += seconds(2);
        EXPECT_FALSE(planner.plan(WorkerIndex{}, planner.highPressure() * 0.9, tasks, now));
    }
}
