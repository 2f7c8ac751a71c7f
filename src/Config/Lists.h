#pragma once

#include "Config/Finding.h"
#include "Records/Record.h"

#include <string>
#include <string_view>
#include <vector>

namespace firefly {

/// Thrown with all findings of a list.
class ListError : public FindingsError
{
public:
    using FindingsError::FindingsError;
};

/// Parses the list of plans from YAML: `plans:` maps each customer to its plan.
///
/// With \a limits, a plan that has no limits there is a finding too.
/// \throws ListError with all findings, which name \a file.
PlansList parsePlans(std::string_view text, const std::string &file,
                     const LimitsList *limits = nullptr);

/// Parses the list of limits from YAML: `limits:` maps each plan to its limits.
///
/// With \a plans, the absence of a plan that a customer holds is a finding too.
/// \throws ListError with all findings, which name \a file.
LimitsList parseLimits(std::string_view text, const std::string &file,
                       const PlansList *plans = nullptr);

/// Formats \a list as YAML that parsePlans() parses to the same list.
std::string toYaml(const PlansList &list);

/// Formats \a list as YAML that parseLimits() parses to the same list.
std::string toYaml(const LimitsList &list);

/// Errors of \a list by itself and against \a limits, without a position in a file.
std::vector<Finding> validate(const PlansList &list, const LimitsList &limits);

/// Errors of \a list by itself and against \a plans, without a position in a file.
std::vector<Finding> validate(const LimitsList &list, const PlansList &plans);

} // namespace firefly
