/// \file Measures the processor time of a cell's owner, with the numbers of started tasks and
/// reports.

#include "fakes/CellWorld.h"

#include <docopt/docopt.h>

#include <chrono>
#include <ctime>
#include <iostream>
#include <map>
#include <string>

namespace {

using namespace firefly;

constexpr const char *Usage = R"(Runs the owner of one cell in simulated time.

Usage:
  cell [--workers N] [--seconds N] [--rate N] [--fillers N]

Options:
  --workers N  Workers of 32 cores [default: 490].
  --seconds N  Simulated seconds [default: 20].
  --rate N     Jobs submitted each second [default: 27].
  --fillers N  Of them, each Nth only fills unused processor time [default: 2].
)";

constexpr std::int64_t WorkerMilliCpu = 32'000;
constexpr int TasksPerStep = 20;

JobSpec makeJob(bool isFiller, std::uint32_t number)
{
    JobSpec spec = makeChain(isFiller ? 1 : 2, TasksPerStep);
    for (StepSpec &it : spec.steps) {
        it.demand = {3500, 2000, 0};
        it.isFiller = isFiller;
        it.isCheckpointing = isFiller;
        it.image = "image-" + std::to_string(number % 5);
        it.estimateMs = 2500;
    }
    return spec;
}

JobSpec makeServingJob(std::uint32_t number)
{
    JobSpec spec = makeChain(1, 14);
    spec.steps.front().demand = {4000, 4000, 0};
    spec.steps.front().isLongRunning = true;
    spec.steps.front().targetMs = 500;
    spec.steps.front().image = "serving-" + std::to_string(number % 3);
    return spec;
}

double usedProcessorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

} // namespace

int main(int argc, char *argv[])
{
    const auto options = docopt::docopt(Usage, {argv + 1, argv + argc}, true);
    const auto workers = static_cast<int>(options.at("--workers").asLong());
    const auto seconds = options.at("--seconds").asLong();
    const auto rate = static_cast<std::uint32_t>(options.at("--rate").asLong());
    const auto fillers = static_cast<std::uint32_t>(options.at("--fillers").asLong());
    CellWorld world(1, workers);
    for (auto &[id, worker] : world.workers) {
        worker->capacity = {WorkerMilliCpu, 125'000, 0};
        worker->workTime = std::chrono::milliseconds(2500);
        world.owner->onWorkerListed(worker->describe(), world.now);
    }
    std::uint32_t number = 0;
    const auto submit = [&](const JobSpec &spec) {
        world.submit(JobId(std::to_string(++number)), spec);
    };
    for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(workers) / 10; ++i) {
        submit(makeServingJob(i));
    }
    world.run(std::chrono::seconds(2));
    const double before = usedProcessorSeconds();
    world.ownerSeconds = 0.0;
    for (long i = 0; i < seconds * rate; ++i) {
        submit(makeJob(number % fillers == 0, number));
        world.run(std::chrono::microseconds(1'000'000 / rate));
    }
    std::size_t running = 0;
    for (const auto &[id, worker] : world.owner->state().workers) {
        running += worker->tasks.size();
    }
    std::cout << "workers " << workers << ", simulated s " << seconds << ", started "
              << world.starts << ", reports " << world.reports << ", placed now " << running
              << ", owner cpu s per s " << world.ownerSeconds / static_cast<double>(seconds)
              << ", all cpu s " << usedProcessorSeconds() - before << '\n';
    return 0;
}
