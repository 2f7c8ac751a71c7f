/// \file Links one module of the installed library.

#include <Routing.h>

#include <cstdlib>

int main()
{
    firefly::WorkerPool pool;
    firefly::WorkerInfo info;
    info.id = firefly::WorkerId("kochi-w1");
    info.capacity = {.milliProcessors = 1000, .memoryMiB = 1024, .slots = 1};
    const auto worker = pool.update(info, firefly::TimePoint{});
    const bool isFirstTaken = pool.reserveUrgent(worker);
    const bool isSecondTaken = pool.reserveUrgent(worker);
    return isFirstTaken && !isSecondTaken ? EXIT_SUCCESS : EXIT_FAILURE;
}
