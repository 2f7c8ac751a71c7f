#include "Fleet/RouteTable.h"

#include <algorithm>
#include <cctype>

namespace firefly {
namespace {

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::ranges::equal(
        a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

bool RouteTable::apply(FleetConfig config)
{
    if (m_config && config.version <= m_config->version) {
        return false;
    }
    m_config = std::move(config);
    return true;
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    if (!m_config) {
        return nullptr;
    }
    const Route *best = nullptr;
    for (const Route &it : m_config->routes) {
        const bool isMatch =
            path.starts_with(it.pathPrefix) && equalsIgnoringCase(it.host, withoutPort(host));
        if (isMatch && (!best || it.pathPrefix.size() > best->pathPrefix.size())) {
            best = &it;
        }
    }
    return best;
}

} // namespace firefly
