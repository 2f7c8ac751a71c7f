/// \file Randomized soak test of the real processes on one machine, with injected faults.

#include "FaultSchedule.h"
#include "KeepAliveClients.h"
#include "SoakCallers.h"
#include "SoakFleet.h"

#include <docopt/docopt.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <map>

namespace {

using namespace firefly;
using namespace firefly::soak;

constexpr const char *Usage =
    R"(Runs fireflynode processes under injected faults and checks their guarantees.

Usage:
  fleetsoak --node PROGRAM [--seed N] [--faults-s N] [--nodes N] [--workers N] [--cells N]
            [--directory DIR] [--late-requests]

Options:
  --node PROGRAM   The fireflynode to run.
  --seed N         Random seed of the faults and the jobs [default: 1].
  --faults-s N     Seconds during which faults are injected [default: 15].
  --nodes N        Processes [default: 3].
  --workers N      Workers [default: 6].
  --cells N        Cells into which the workers are split [default: 2].
  --directory DIR  For settings and logs of the processes [default: fleetsoak.out].
  --late-requests  Workers also restart under their ids while their links hold requests, which the
                   new incarnations then get, beside faults of the cells' owners.

Exit codes: 0 no violation, 1 violations (one line each), 2 bad command line or failed start.
)";

constexpr int ExitViolation = 1;
constexpr int ExitUsage = 2;
/// Time for the processes to start and read the store before the first fault.
constexpr Duration StartupTime = std::chrono::seconds(2);
constexpr Duration CheckInterval = std::chrono::milliseconds(100);

SoakOptions readOptions(const std::map<std::string, docopt::value> &options)
{
    SoakOptions result;
    result.program = options.at("--node").asString();
    result.seed = static_cast<std::uint64_t>(options.at("--seed").asLong());
    result.directory =
        std::filesystem::path(options.at("--directory").asString()) / std::to_string(result.seed);
    result.nodes = static_cast<int>(options.at("--nodes").asLong());
    result.workers = static_cast<int>(options.at("--workers").asLong());
    result.cells = static_cast<int>(options.at("--cells").asLong());
    result.hasLateRequests = options.at("--late-requests").asBool();
    result.faultPeriod = std::chrono::seconds(options.at("--faults-s").asLong());
    return result;
}

/// Runs \a context until \a isOver returns true or \a limit is reached.
template <typename IsOver>
void runUntil(asio::io_context &context, TimePoint limit, IsOver isOver)
{
    while (Clock::now() < limit && !isOver()) {
        context.run_for(CheckInterval);
    }
}

int runSoak(const SoakOptions &options)
{
    const TimePoint startedAt = Clock::now();
    asio::io_context context(1);
    SoakFleet fleet(context, options);
    fleet.start();
    SoakCallers callers(context, fleet, options.seed);
    callers.start();
    KeepAliveClients keepAliveClients(context, fleet, options.seed);
    keepAliveClients.start();
    runUntil(context, startedAt + StartupTime, [] { return false; });
    FaultSchedule faults(context, fleet, options);
    faults.start(Clock::now() + options.faultPeriod);
    runUntil(context, TimePoint::max(), [&faults] { return faults.isOver(); });
    callers.stopSubmitting();
    keepAliveClients.stopSending();
    const TimePoint faultsEndedAt = Clock::now();
    runUntil(context, faultsEndedAt + options.settlingTimeout,
             [&callers] { return callers.isSettled(); });
    const Duration settlingTime = Clock::now() - faultsEndedAt;
    callers.checkGuarantees();
    fleet.stop();
    std::cout << "seed " << options.seed << ": " << fleet.audit.violations.size() << " violations; "
              << callers.summary() << "; " << keepAliveClients.summary() << "; settled in "
              << settlingTime.count() / 1000 << " ms; " << faults.summary() << '\n';
    for (const std::string &it : fleet.audit.violations) {
        std::cout << "  " << it << '\n';
    }
    return fleet.audit.violations.empty() ? 0 : ExitViolation;
}

} // namespace

int main(int argc, char *argv[])
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return runSoak(readOptions(docopt::docopt(Usage, {argv + 1, argv + argc}, true)));
    } catch (const std::exception &e) {
        std::cerr << "fleetsoak: " << e.what() << '\n';
        return ExitUsage;
    }
}
