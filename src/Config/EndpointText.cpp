#include "Config/EndpointText.h"

#include <arpa/inet.h>

#include <charconv>
#include <stdexcept>

namespace firefly {
namespace {

bool isIpAddress(int family, const std::string &address)
{
    in6_addr parsed{}; // Large enough for both address families.
    return inet_pton(family, address.c_str(), &parsed) == 1;
}

std::uint16_t parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, port);
    if (ec != std::errc() || rest != end || port == 0) {
        throw std::invalid_argument("port must be from 1 to 65535");
    }
    return port;
}

} // namespace

Endpoint parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        throw std::invalid_argument("expected \"IP:port\"");
    }
    std::string_view address = text.substr(0, colon);
    const bool isBracketed = address.starts_with('[') && address.ends_with(']');
    if (isBracketed) {
        address = address.substr(1, address.size() - 2);
    }
    Endpoint endpoint{std::string(address), parsePort(text.substr(colon + 1))};
    if (!isIpAddress(isBracketed ? AF_INET6 : AF_INET, endpoint.address)) {
        throw std::invalid_argument("\"" + endpoint.address + "\" is not an IP address");
    }
    return endpoint;
}

std::string toString(const Endpoint &endpoint)
{
    const bool isBracketed = endpoint.address.find(':') != std::string::npos;
    const std::string address = isBracketed ? "[" + endpoint.address + "]" : endpoint.address;
    return address + ":" + std::to_string(endpoint.port);
}

} // namespace firefly
