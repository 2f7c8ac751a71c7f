#pragma once

#include "Config/Finding.h"
#include "Records/Record.h"

#include <string>
#include <string_view>
#include <vector>

namespace firefly {

/// Thrown with every finding of a list.
class ListError : public FindingsError
{
public:
    using FindingsError::FindingsError;
};

/// Reads the list of plans from YAML: `plans:` maps each customer to its plan.
///
/// With \a limits, a plan that it does not know is a finding too.
/// \throws ListError with all findings; \a file is the name that they show.
PlansList parsePlans(std::string_view text, const std::string &file,
                     const LimitsList *limits = nullptr);

/// Reads the list of limits from YAML: `limits:` maps each plan to what it may use.
///
/// With \a plans, the absence of a plan that a customer holds is a finding too.
/// \throws ListError with all findings; \a file is the name that they show.
LimitsList parseLimits(std::string_view text, const std::string &file,
                       const PlansList *plans = nullptr);

/// YAML that parsePlans() reads back as the same list.
std::string toYaml(const PlansList &list);

/// YAML that parseLimits() reads back as the same list.
std::string toYaml(const LimitsList &list);

/// Faults of the list as such, and against \a limits; without a place in a file.
std::vector<Finding> validate(const PlansList &list, const LimitsList &limits);

/// Faults of the list as such, and against \a plans; without a place in a file.
std::vector<Finding> validate(const LimitsList &list, const PlansList &plans);

} // namespace firefly
