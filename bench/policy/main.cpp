/// \file Compares the urgent and batch policies with baselines on the same seeds and arrivals.

#include "bench/policy/Policies.h"
#include "bench/policy/Report.h"

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <future>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace firefly::bench {
namespace {

/// Maximum number of seeds per weight of the frontier.
constexpr std::uint64_t FrontierSeeds = 3;

constexpr const char *Usage = R"(Compares policies with baselines on fake workers.

Usage:
  policy [--json] [--seeds=N] [--scenario=NAME] [--jobs=N] [--no-frontier]

Options:
  --json           Print one JSON document in place of tables.
  --seeds=N        Seeds per policy [default: 10].
  --scenario=NAME  Only scenarios whose name contains NAME [default: ].
  --jobs=N         Runs at one time [default: 3].
  --no-frontier    Leave out the runs at several weights.
)";

/// Runs every policy with every seed, with at most \a jobs runs in parallel.
std::map<std::string, Measures> runAll(const Scenario &scenario,
                                       const std::vector<Policy> &policies, std::uint64_t seeds,
                                       std::size_t jobs)
{
    std::vector<std::future<Measures>> runs;
    std::vector<std::string> names;
    std::map<std::string, Measures> results;
    std::size_t collected = 0;
    const auto collect = [&] {
        results[names[collected]].add(runs[collected].get());
        ++collected;
    };
    for (const Policy &policy : policies) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            if (runs.size() - collected >= jobs) {
                collect();
            }
            names.push_back(policy.options.name);
            runs.push_back(std::async(std::launch::async, policy.run, std::cref(scenario),
                                      std::cref(policy.options), seed));
        }
    }
    while (collected < runs.size()) {
        collect();
    }
    return results;
}

void printRows(std::map<std::string, Measures> &rows)
{
    fmt::print("  {:<31}{:>8}{:>8}{:>8}{:>8}{:>8}{:>9}{:>8}{:>8}{:>7}{:>7}{:>7}{:>6}\n", "policy",
               "p50 ms", "p99 ms", "p99.9", "late %", "refus %", "work ks", "waste %", "lost s",
               "evict", "cross%", "extra%", "over");
    for (auto &[name, it] : rows) {
        fmt::print("  {:<31}{:>8.1f}{:>8.1f}{:>8.1f}{:>8.3f}{:>8.2f}{:>9.1f}{:>8.2f}{:>8.0f}{:>7}"
                   "{:>7.1f}{:>7.2f}{:>6}\n",
                   name, it.quantileMs(0.5), it.quantileMs(0.99), it.quantileMs(0.999),
                   100 * it.lateShare(), 100 * it.refused.share(), it.batchWorkSeconds / 1000,
                   100 * it.wastedShare(), it.evictionLossSeconds, it.evictions,
                   100 * it.crossZone.share(), 100 * it.worstMinuteExtraRatio, it.overruns);
    }
}

nlohmann::json rowsToJson(std::map<std::string, Measures> &rows)
{
    nlohmann::json json = nlohmann::json::object();
    for (auto &[name, measures] : rows) {
        json[name] = toJson(measures);
    }
    return json;
}

void printText(std::vector<ScenarioResult> &results, const std::vector<TargetCheck> &checks)
{
    for (ScenarioResult &result : results) {
        fmt::print("{}\n", result.scenario.name);
        printRows(result.byPolicy);
        if (!result.frontier.empty()) {
            fmt::print("  one weight, from throughput to tail\n");
            printRows(result.frontier);
        }
    }
    for (const TargetCheck &it : checks) {
        fmt::print("{:<8} {:<25} {:<50} {:>9.4f} {} {:.4f}\n",
                   it.isReached() ? "reached" : "MISSED", it.scenario, it.target, it.measured,
                   it.isUpperBound ? "<=" : ">=", it.limit);
    }
}

void printJson(std::vector<ScenarioResult> &results, const std::vector<TargetCheck> &checks,
               std::uint64_t seeds)
{
    nlohmann::json json{{"seeds", seeds}};
    for (ScenarioResult &result : results) {
        auto &scenario = json["scenarios"][result.scenario.name];
        scenario["policies"] = rowsToJson(result.byPolicy);
        if (!result.frontier.empty()) {
            scenario["frontier"] = rowsToJson(result.frontier);
        }
    }
    for (const TargetCheck &it : checks) {
        json["targets"].push_back(toJson(it));
    }
    std::cout << json.dump(2) << '\n';
}

int run(const std::vector<std::string> &arguments)
{
    auto options = docopt::docopt(Usage, arguments);
    const auto seeds = std::uint64_t(options["--seeds"].asLong());
    const auto jobs = std::size_t(std::max(1L, options["--jobs"].asLong()));
    const bool withFrontier = !options["--no-frontier"].asBool();
    std::vector<ScenarioResult> results;
    for (const Scenario &scenario : makeScenarios(options["--scenario"].asString())) {
        ScenarioResult result{.scenario = scenario};
        result.byPolicy = runAll(scenario, policiesFor(scenario), seeds, jobs);
        if (withFrontier && !scenario.noisyWaves.empty()) {
            result.frontier = runAll(scenario, frontier(), std::min(seeds, FrontierSeeds), jobs);
        }
        results.push_back(std::move(result));
    }
    const std::vector<TargetCheck> checks = checkTargets(results);
    if (options["--json"].asBool()) {
        printJson(results, checks, seeds);
    } else {
        printText(results, checks);
    }
    return 0;
}

} // namespace
} // namespace firefly::bench

int main(int argc, char **argv)
{
    return firefly::bench::run({argv + 1, argv + argc});
}
