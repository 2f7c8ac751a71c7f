#pragma once

#include "Core/Id.h"

#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace firefly::ctl {

/// Thrown for a command-line argument, file or change that is invalid.
class InvalidInput : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// First line of a printed list, which states its version.
std::string versionLine(Offset version);

/// Version stated in the first line of \a yaml; none if that is no version line.
std::optional<Offset> versionOf(std::string_view yaml);

/// Applies each "CUSTOMER=PLAN" to the plans in \a yaml; "CUSTOMER=" removes the customer.
/// \throws InvalidInput if a change is malformed
std::string applyPlanChanges(const std::string &yaml, std::span<const std::string> changes);

/// Applies each "PLAN.FIELD=VALUE" to the limits in \a yaml; "PLAN=" removes the plan.
/// \throws InvalidInput if a change is malformed
std::string applyLimitChanges(const std::string &yaml, std::span<const std::string> changes);

} // namespace firefly::ctl
