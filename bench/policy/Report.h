#pragma once

#include "bench/policy/Measures.h"
#include "bench/policy/Scenario.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace firefly::bench {

/// Results of one scenario, summed over all seeds.
struct ScenarioResult
{
    Scenario scenario;
    std::map<std::string, Measures> byPolicy;
    std::map<std::string, Measures> frontier; ///< By weight; see frontier().
};

/// One target and its measured value.
struct TargetCheck
{
    std::string scenario;
    std::string target;
    double measured = 0;
    double limit = 0;
    bool isUpperBound = true; ///< Otherwise a lower bound.

    bool isReached() const { return isUpperBound ? measured <= limit : measured >= limit; }
};

/// Results of one policy.
nlohmann::json toJson(Measures &measures);
nlohmann::json toJson(const TargetCheck &check);
/// Checks every target that applies to a scenario in \a results.
std::vector<TargetCheck> checkTargets(std::vector<ScenarioResult> &results);

} // namespace firefly::bench
