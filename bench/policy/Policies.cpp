#include "bench/policy/Policies.h"

#include "bench/policy/FirstComeQueue.h"
#include "bench/policy/PolicyRun.h"

#include <cmath>

namespace firefly::bench {
namespace {

PolicyOptions baselineOptions(const std::string &name)
{
    return {.name = name,
            .hasEjection = false,
            .hasHedging = false,
            .hasLearning = false,
            .hasSizeCorrection = false,
            .pressureResponse = PressureResponse::None};
}

Policy fireflyPolicy(const PolicyOptions &options)
{
    return {options, runScenario<TwoChoice, LeastSlowdown, AdmissionControl>};
}

} // namespace

std::vector<Policy> policiesFor(const Scenario &scenario)
{
    std::vector<Policy> all;
    all.push_back(fireflyPolicy({.name = "firefly"}));
    all.push_back(
        {baselineOptions("random"), runScenario<RandomChoice, RandomFit, AdmissionControl>});
    all.push_back({baselineOptions("least-outstanding"),
                   runScenario<LeastOutstanding, FirstFit, AdmissionControl>});
    if (scenario.batchLoad == 0) {
        PolicyOptions queue = baselineOptions("first-come-queue");
        queue.hasFairShedding = false;
        all.push_back({queue, runScenario<LeastOutstanding, FirstFit, FirstComeQueue>});
        return all;
    }
    if (scenario.noisyWaves.empty()) {
        return all;
    }
    all.push_back({{.name = "least-outstanding-only-routing"},
                   runScenario<LeastOutstanding, LeastSlowdown, AdmissionControl>});
    all.push_back({{.name = "first-fit", .pressureResponse = PressureResponse::None},
                   runScenario<TwoChoice, FirstFit, AdmissionControl>});
    all.push_back(fireflyPolicy({.name = "no-learning", .hasLearning = false}));
    all.push_back(
        fireflyPolicy({.name = "undamped", .pressureResponse = PressureResponse::Undamped}));
    all.push_back(fireflyPolicy({.name = "no-batch", .hasBatch = false}));
    return all;
}

std::vector<Policy> frontier()
{
    std::vector<Policy> all;
    for (const double weight : {0.0, 0.25, 0.5, 0.75, 1.0}) {
        const std::string percent = std::to_string(std::lround(weight * 100));
        all.push_back(fireflyPolicy({.name = "weight-" + percent, .urgentWeight = weight}));
    }
    return all;
}

} // namespace firefly::bench
