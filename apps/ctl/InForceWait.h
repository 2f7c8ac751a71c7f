#pragma once

#include "ctl/Commands.h"

#include <string>

namespace firefly::ctl {

/// Waits until every entry that is known has at least \a version of \a list in force.
///
/// Shows each entry with the time when it was first seen to have it.
/// \returns TryAgain when some have not after \a timeout.
ExitCode waitInForce(const OperatorClient &client, const std::string &list, Offset version,
                     Duration timeout, Output output);

} // namespace firefly::ctl
