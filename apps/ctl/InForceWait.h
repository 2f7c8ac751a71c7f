#pragma once

#include "ctl/Commands.h"

#include <string>

namespace firefly::ctl {

/// Waits until every known entry has at least \a version of \a list in force.
///
/// Prints each entry with the time at which the version was first seen in force there.
/// \returns ExitCode::TryAgain if some entries do not have it after \a timeout.
ExitCode waitUntilInForce(const OperatorClient &client, const std::string &list, Offset version,
                          Duration timeout, Output output);

} // namespace firefly::ctl
