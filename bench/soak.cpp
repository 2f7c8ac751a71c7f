/// \file Runs randomised soak tests of whole entries, or of the ledgers with log writers and
/// readers.

#include "fakes/ClusterWorld.h"
#include "fakes/LedgerWorld.h"

#include <docopt/docopt.h>

#include <chrono>
#include <cstdint>
#include <exception>
#include <iostream>
#include <map>
#include <string>

namespace {

constexpr char Usage[] = R"(Runs random schedules with faults and checks invariants.

Usage:
  soak [--world=NAME] [--seed=S] [--seconds=N] [--schedules=K]

Options:
  --world=NAME   cluster (whole entries) or ledger [default: cluster].
  --seed=S       Seed of the first schedule; the next ones count up [default: 1].
  --seconds=N    Stop after N seconds; 0 means no limit [default: 10].
  --schedules=K  Stop after K schedules; 0 means no limit [default: 0].
)";

constexpr int ExitInvariantViolated = 1;
constexpr int ExitUsage = 2;

void print(const firefly::fakes::SoakFailure &failure)
{
    std::cout << "FAILED seed " << failure.seed << ": " << failure.what << "\nshrunk trace:\n";
    for (const std::string &it : failure.trace) {
        std::cout << "  " << it << '\n';
    }
}

template <typename World>
int run(std::uint64_t seed, long seconds, std::uint64_t schedules)
{
    using Clock = std::chrono::steady_clock;
    const auto start = Clock::now();
    firefly::fakes::SoakRunner<World> runner;
    int status = 0;
    while (status == 0) {
        const bool isOutOfTime =
            seconds > 0 && Clock::now() - start >= std::chrono::seconds(seconds);
        if (isOutOfTime || (schedules > 0 && runner.schedules() >= schedules)) {
            break;
        }
        if (const auto failure = runner.run(seed++)) {
            print(*failure);
            status = ExitInvariantViolated;
        }
    }
    for (const auto &[name, n] : runner.counts()) {
        std::cout << "  " << name << ' ' << n << '\n';
    }
    const std::chrono::duration<double> elapsed = Clock::now() - start;
    std::cout << "schedules " << runner.schedules() << ", steps " << runner.steps() << ", seconds "
              << elapsed.count() << '\n';
    return status;
}

} // namespace

int main(int argc, char **argv)
{
    const auto options = docopt::docopt(Usage, {argv + 1, argv + argc});
    try {
        const long seconds = options.at("--seconds").asLong();
        const auto seed = static_cast<std::uint64_t>(options.at("--seed").asLong());
        const auto schedules = static_cast<std::uint64_t>(options.at("--schedules").asLong());
        if (options.at("--world").asString() == "ledger") {
            return run<firefly::fakes::LedgerWorld>(seed, seconds, schedules);
        }
        return run<firefly::fakes::ClusterWorld>(seed, seconds, schedules);
    } catch (const std::exception &e) {
        std::cerr << e.what() << '\n';
        return ExitUsage;
    }
}
