/// \file Links a single module of the installed library.

#include <Routing.h>

#include <cstdlib>

int main()
{
    firefly::WorkerPool pool;
    firefly::WorkerInfo info;
    info.id = firefly::WorkerId("kochi-w1");
    info.capacity = {.milliProcessors = 1000, .memoryMiB = 1024, .slots = 1};
    const auto worker = pool.update(info, firefly::TimePoint{});
    const bool isFirstReserved = pool.reserveUrgent(worker);
    const bool isSecondReserved = pool.reserveUrgent(worker);
    return isFirstReserved && !isSecondReserved ? EXIT_SUCCESS : EXIT_FAILURE;
}
