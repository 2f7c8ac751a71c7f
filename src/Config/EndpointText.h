#pragma once

#include "Core/VmInfo.h"

#include <string>
#include <string_view>

namespace firefly {

/// Reads "IP:port" or "[IPv6]:port".
/// \throws std::invalid_argument for a host name, a bad IP number or a bad port.
Endpoint parseEndpoint(std::string_view text);

/// Writes what parseEndpoint() reads.
std::string toString(const Endpoint &endpoint);

} // namespace firefly
