#pragma once

#include "bench/policy/Measures.h"
#include "bench/policy/PolicyOptions.h"
#include "bench/policy/Scenario.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace firefly::bench {

/// A policy to compare: its options and the function that simulates a scenario with it.
struct Policy
{
    PolicyOptions options;
    std::function<Measures(const Scenario &, const PolicyOptions &, std::uint64_t seed)> run;
};

/// The policies compared in \a scenario: first the one under test, then the baselines.
std::vector<Policy> policiesFor(const Scenario &scenario);
/// The policy under test at several values of urgentWeight, from throughput to tail latency.
std::vector<Policy> frontier();

} // namespace firefly::bench
