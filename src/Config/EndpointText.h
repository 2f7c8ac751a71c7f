#pragma once

#include "Core/VmInfo.h"

#include <string>
#include <string_view>

namespace firefly {

/// Parses "IP:port" or "[IPv6]:port".
/// \throws std::invalid_argument for a host name, an invalid IP address or an invalid port.
Endpoint parseEndpoint(std::string_view text);

/// Formats \a endpoint for parseEndpoint().
std::string toString(const Endpoint &endpoint);

} // namespace firefly
