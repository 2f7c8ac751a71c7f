#pragma once

#include "bench/policy/Measures.h"
#include "bench/policy/PolicyOptions.h"
#include "bench/policy/Scenario.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace firefly::bench {

/// A policy to compare: its rules as a function that plays a scenario, and its options.
struct Policy
{
    PolicyOptions options;
    std::function<Measures(const Scenario &, const PolicyOptions &, std::uint64_t seed)> play;
};

/// The policies that are compared in \a scenario: the product's own first, then the baselines.
std::vector<Policy> policiesFor(const Scenario &scenario);
/// The product's policy at several values of the one weight.
std::vector<Policy> frontier();

} // namespace firefly::bench
