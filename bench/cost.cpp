/// \file Google Benchmark of the time and memory of one decision, by the number of workers.

#include "Admission.h"
#include "Interference.h"
#include "Placement.h"
#include "Records.h"
#include "Routing.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <new>
#include <random>
#include <string>
#include <vector>

namespace {

std::atomic<std::int64_t> bytesInUse{0};     // NOLINT(*-avoid-non-const-global-variables)
std::atomic<std::int64_t> bytesAllocated{0}; // NOLINT(*-avoid-non-const-global-variables)

} // namespace

void *operator new(std::size_t size)
{
    void *memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    bytesInUse += std::int64_t(malloc_usable_size(memory));
    bytesAllocated += std::int64_t(size);
    return memory;
}

void operator delete(void *memory) noexcept
{
    bytesInUse -= std::int64_t(malloc_usable_size(memory));
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    operator delete(memory);
}

namespace firefly::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t KindCount = 20;
constexpr std::size_t ZoneCount = 30;
constexpr Resources WorkerCapacity{32000, 128000, 0, 8};
constexpr Resources TaskSize{2000, 4000, 0, 0};

/// State of an owner whose workers each use a third of their processors for batch tasks.
struct Fleet
{
    WorkerPool pool;
    WorkerMixes mixes;
    SlowdownModel model;
    CapacityShapes shapes;
    PlacementSettings settings;
    std::mt19937_64 random{20261203};
    TimePoint now{};
    WorkloadIndex service = model.service(ServiceId("service"));
    std::vector<WorkloadIndex> kinds;

    explicit Fleet(std::size_t workers)
    {
        for (std::size_t i = 0; i < KindCount; ++i) {
            kinds.push_back(model.batchKind("kind" + std::to_string(i)));
        }
        for (std::size_t i = 0; i < workers; ++i) {
            addWorker(i);
        }
        now += seconds(60);
    }

    void addWorker(std::size_t n)
    {
        WorkerInfo info{.id = WorkerId("worker" + std::to_string(n))};
        info.zone = ZoneId("zone" + std::to_string(n % ZoneCount));
        info.capacity = WorkerCapacity;
        const WorkerIndex worker = pool.update(info, now);
        shapes.add(info);
        for (std::size_t task = 0; task < 5; ++task) {
            addTask(worker, (n + task) % KindCount);
        }
    }

    void addTask(WorkerIndex worker, std::size_t kind)
    {
        pool.reserveBatch(worker, TaskSize);
        mixes.add(worker, kinds[kind], shareOf(TaskSize));
        model.observe(service, mixes.of(worker), 1.5, now);
    }

    static double shareOf(const Resources &size)
    {
        return double(size.milliProcessors) / double(WorkerCapacity.milliProcessors);
    }
};

void reportBytesPerIteration(benchmark::State &state, std::int64_t before)
{
    state.counters["bytes"] =
        benchmark::Counter(double(bytesAllocated - before) / double(state.iterations()));
}

template <typename Policy>
void BM_RoutingDecision(benchmark::State &state)
{
    Fleet fleet(std::size_t(state.range(0)));
    UrgentRouter<Policy> router(fleet.pool);
    const ZoneId zone("zone0");
    const std::int64_t before = bytesAllocated;
    for (auto _ : state) {
        fleet.now += Duration(100);
        const auto decision = router.route({.idempotent = true}, fleet.random, fleet.now);
        fleet.pool.releaseUrgent(decision->worker, {CallResult::Succeeded, milliseconds(20), zone},
                                 fleet.now);
    }
    reportBytesPerIteration(state, before);
}

template <typename Policy>
void BM_Placement(benchmark::State &state)
{
    Fleet fleet(std::size_t(state.range(0)));
    BatchPlacer<Policy> placer;
    const PlacementContext context{fleet.pool, fleet.mixes, fleet.model, fleet.service,
                                   fleet.settings};
    const PlacementRequest request{.kind = fleet.kinds[0], .resources = TaskSize};
    const std::int64_t before = bytesAllocated;
    for (auto _ : state) {
        const Placement answer =
            placer.place(context, fleet.shapes, request, fleet.random, fleet.now);
        const WorkerIndex worker = std::get<Placed>(answer).worker;
        fleet.pool.reserveBatch(worker, TaskSize);
        fleet.pool.releaseBatch(worker, TaskSize);
    }
    reportBytesPerIteration(state, before);
}

/// Processes one worker report: learning, expected slowdown, throttling or eviction.
void BM_WorkerReport(benchmark::State &state)
{
    Fleet fleet(std::size_t(state.range(0)));
    EvictionPlanner planner;
    std::vector<EvictionCandidate> tasks(5);
    std::size_t next = 0;
    const std::int64_t before = bytesAllocated;
    for (auto _ : state) {
        const auto worker = WorkerIndex(next);
        next = (next + 1) % fleet.pool.size();
        fleet.now += Duration(100);
        fleet.model.observe(fleet.service, fleet.mixes.of(worker), 1.5, fleet.now);
        const auto estimate = fleet.model.predict(fleet.service, fleet.mixes.of(worker), fleet.now);
        fleet.pool.setExpectedSlowdown(worker, estimate.mean);
        benchmark::DoNotOptimize(planner.plan(worker, 1.5, tasks, fleet.now));
    }
    reportBytesPerIteration(state, before);
}

/// Admits and finishes one call, with its accounting per plan; the argument is the number of plans.
void BM_Admission(benchmark::State &state)
{
    AdmissionControl control;
    PlansList plans;
    LimitsList limits;
    for (int i = 0; i < state.range(0); ++i) {
        const std::string name = std::to_string(i);
        plans.planOfCustomer["customer" + name] = "plan" + name;
        limits.limitsOfPlan["plan" + name] = {.resources = {1 << 30, 1 << 30, 0, 1 << 20}};
    }
    control.setLists(plans, limits, TimePoint());
    const AdmissionRequest request{RequestId("request"),
                                   CustomerId("customer0"),
                                   ServiceId("service"),
                                   {1000, 512, 0, 1},
                                   TimePoint(seconds(1))};
    std::vector<Refused> displaced;
    const std::int64_t before = bytesAllocated;
    for (auto _ : state) {
        const auto answer = control.admit(request, {.free = 1}, TimePoint(), displaced);
        control.finish(std::get<Admitted>(answer), milliseconds(20));
    }
    reportBytesPerIteration(state, before);
}

/// Applies edited lists; the argument is the number of plans.
void BM_ListEdit(benchmark::State &state)
{
    AdmissionControl control;
    PlansList plans;
    LimitsList limits;
    for (int i = 0; i < state.range(0); ++i) {
        const std::string name = std::to_string(i);
        plans.planOfCustomer["customer" + name] = "plan" + name;
        limits.limitsOfPlan["plan" + name] = {.urgentPerSecond = 10};
    }
    const std::int64_t before = bytesAllocated;
    for (auto _ : state) {
        control.setLists(plans, limits, TimePoint());
    }
    reportBytesPerIteration(state, before);
}

/// Memory of one worker with five tasks, and of one more task of a kind new to the worker.
void BM_MemoryPerWorker(benchmark::State &state)
{
    const auto workers = std::size_t(state.range(0));
    std::int64_t perWorker = 0;
    std::int64_t perTask = 0;
    for (auto _ : state) {
        const std::int64_t empty = bytesInUse;
        const auto fleet = std::make_unique<Fleet>(workers);
        const std::int64_t full = bytesInUse;
        for (const WorkerIndex worker : fleet->pool.workers()) {
            fleet->addTask(worker, KindCount - 1);
        }
        perWorker = (full - empty) / std::int64_t(workers);
        perTask = (bytesInUse - full) / std::int64_t(workers);
    }
    state.counters["bytesPerWorker"] = double(perWorker);
    state.counters["bytesPerTask"] = double(perTask);
}

void fleetSizes(benchmark::internal::Benchmark *it)
{
    for (const std::int64_t workers : {50, 500, 5000, 29000}) {
        it->Arg(workers);
    }
}

BENCHMARK_TEMPLATE(BM_RoutingDecision, TwoChoice)->Apply(fleetSizes);
BENCHMARK_TEMPLATE(BM_RoutingDecision, RandomChoice)->Apply(fleetSizes);
BENCHMARK_TEMPLATE(BM_RoutingDecision, LeastOutstanding)->Apply(fleetSizes);
BENCHMARK_TEMPLATE(BM_Placement, LeastSlowdown)->Apply(fleetSizes);
BENCHMARK_TEMPLATE(BM_Placement, RandomFit)->Apply(fleetSizes);
BENCHMARK_TEMPLATE(BM_Placement, FirstFit)->Apply(fleetSizes);
BENCHMARK(BM_WorkerReport)->Apply(fleetSizes);
BENCHMARK(BM_Admission)->Arg(4)->Arg(78)->Arg(1000);
BENCHMARK(BM_ListEdit)->Arg(4)->Arg(78)->Arg(1000);
BENCHMARK(BM_MemoryPerWorker)->Apply(fleetSizes)->Iterations(1);

/// Replaces `--json` by the equivalent option of Google Benchmark.
int run(int argc, char **argv)
{
    std::string json = "--benchmark_format=json";
    std::vector<char *> arguments(argv, argv + argc);
    for (char *&it : arguments) {
        if (std::strcmp(it, "--json") == 0) {
            it = json.data();
        }
    }
    benchmark::Initialize(&argc, arguments.data());
    benchmark::RunSpecifiedBenchmarks();
    benchmark::Shutdown();
    return 0;
}

} // namespace
} // namespace firefly::bench

int main(int argc, char **argv)
{
    return firefly::bench::run(argc, argv);
}
