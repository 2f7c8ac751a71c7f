#include "bench/policy/Policies.h"

#include "bench/policy/FirstComeQueue.h"
#include "bench/policy/PolicyRun.h"

#include <cmath>

namespace firefly::bench {
namespace {

PolicyOptions plain(const std::string &name)
{
    return {.name = name,
            .ejection = false,
            .hedging = false,
            .learning = false,
            .correctSizes = false,
            .relief = Relief::None};
}

Policy fireflyPolicy(const PolicyOptions &options)
{
    return {options, playScenario<TwoChoice, LeastSlowdown, AdmissionControl>};
}

} // namespace

std::vector<Policy> policiesFor(const Scenario &scenario)
{
    std::vector<Policy> all;
    all.push_back(fireflyPolicy({.name = "firefly"}));
    all.push_back({plain("random"), playScenario<RandomChoice, RandomFit, AdmissionControl>});
    all.push_back(
        {plain("least-outstanding"), playScenario<LeastOutstanding, FirstFit, AdmissionControl>});
    if (scenario.batchLoad == 0) {
        PolicyOptions queue = plain("first-come-queue");
        queue.fairShedding = false;
        all.push_back({queue, playScenario<LeastOutstanding, FirstFit, FirstComeQueue>});
        return all;
    }
    if (scenario.noisyWaves.empty()) {
        return all;
    }
    all.push_back({{.name = "least-outstanding-only-routing"},
                   playScenario<LeastOutstanding, LeastSlowdown, AdmissionControl>});
    all.push_back({{.name = "first-fit", .relief = Relief::None},
                   playScenario<TwoChoice, FirstFit, AdmissionControl>});
    all.push_back(fireflyPolicy({.name = "no-learning", .learning = false}));
    all.push_back(fireflyPolicy({.name = "undamped", .relief = Relief::Undamped}));
    all.push_back(fireflyPolicy({.name = "no-batch", .batch = false}));
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
