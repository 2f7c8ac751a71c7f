#pragma once

#include "bench/policy/Measures.h"
#include "bench/policy/Scenario.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace firefly::bench {

/// Results of one scenario, by policy, over all seeds.
struct ScenarioResult
{
    Scenario scenario;
    std::map<std::string, Measures> byPolicy;
    std::map<std::string, Measures> frontier;
};

/// One target and what was measured against it.
struct TargetCheck
{
    std::string scenario;
    std::string target;
    double measured = 0;
    double limit = 0;
    bool atMost = true; ///< Else at least.

    bool reached() const { return atMost ? measured <= limit : measured >= limit; }
};

/// The row of one policy.
nlohmann::json toJson(Measures &measures);
nlohmann::json toJson(const TargetCheck &check);
/// Checks every target that the scenarios in \a results can tell of.
std::vector<TargetCheck> checkTargets(std::vector<ScenarioResult> &results);

} // namespace firefly::bench
