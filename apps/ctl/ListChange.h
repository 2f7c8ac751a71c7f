#pragma once

#include "Core/Id.h"

#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace firefly::ctl {

/// Thrown for a change that cannot be read.
class BadChange : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// First line of a shown list, which names the version that it is.
std::string versionLine(Offset version);

/// Version in the first line of \a yaml, if it is a version line.
std::optional<Offset> versionOf(std::string_view yaml);

/// \a yaml of the list of plans with each "CUSTOMER=PLAN" applied; "CUSTOMER=" removes one.
/// \throws BadChange
std::string changedPlans(const std::string &yaml, std::span<const std::string> changes);

/// \a yaml of the list of limits with each "PLAN.FIELD=VALUE" applied; "PLAN=" removes one.
/// \throws BadChange
std::string changedLimits(const std::string &yaml, std::span<const std::string> changes);

} // namespace firefly::ctl
