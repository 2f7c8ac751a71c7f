/// \file Routes urgent calls to a pool of workers until all slots are taken.

#include "Routing.h"

#include <cstdlib>
#include <iostream>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace firefly;

constexpr int Workers = 3;
constexpr int SlotsPerWorker = 2;
constexpr Duration CallDuration = std::chrono::milliseconds(20);
const ZoneId Kochi("kochi");

WorkerInfo makeWorkerInfo(int n)
{
    WorkerInfo info;
    info.id = WorkerId("kochi-w" + std::to_string(n));
    info.zone = Kochi;
    info.rack = "rack-1";
    info.capacity = {.milliProcessors = 8000, .memoryMiB = 8192, .slots = SlotsPerWorker};
    return info;
}

} // namespace

int main()
{
    WorkerPool pool;
    TimePoint now{};
    for (int n = 1; n <= Workers; ++n) {
        pool.update(makeWorkerInfo(n), now);
    }
    now += std::chrono::minutes(1); // After the slow start of new workers.

    UrgentRouter<TwoChoice> router(pool);
    std::mt19937_64 random(1);
    RoutingRequest request;
    request.callerZone = pool.links().index(Kochi);
    request.idempotent = true;

    std::vector<WorkerIndex> running;
    while (const auto decision = router.route(request, random, now)) {
        std::cout << "call " << running.size() + 1 << " goes to "
                  << pool.view(decision->worker).info.id.value() << '\n';
        running.push_back(decision->worker);
    }
    std::cout << "no worker has room for call " << running.size() + 1 << '\n';
    const bool areAllSlotsUsed = running.size() == std::size_t{Workers} * SlotsPerWorker;

    now += CallDuration;
    for (const WorkerIndex worker : running) {
        pool.releaseUrgent(worker, {CallResult::Succeeded, CallDuration, Kochi}, now);
    }
    std::cout << "after the calls ended, " << pool.availableCount() << " workers have room\n";
    return areAllSlotsUsed && pool.availableCount() == Workers ? EXIT_SUCCESS : EXIT_FAILURE;
}
