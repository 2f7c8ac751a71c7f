#pragma once

#include "Core/Clock.h"
#include "Workload/JobSpec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace firefly {

/// One queue as the operators' configuration describes it.
struct Route
{
    std::string host;
    std::string pathPrefix;
    Duration timeout = std::chrono::seconds(3);
    QueuePolicy policy;
};

/// One version of the operators' configuration.
struct FleetConfig
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
};

/// The newest configuration that this process has seen; versions never go back.
class RouteTable
{
public:
    /// Takes \a config unless a newer or equal version is in force; true when it was taken.
    bool apply(FleetConfig config);
    bool isConfigured() const { return m_config.has_value(); }
    std::uint64_t version() const { return m_config ? m_config->version : 0; }
    /// The route with the longest prefix of \a path for \a host; null when there is none.
    const Route *find(std::string_view host, std::string_view path) const;

private:
    std::optional<FleetConfig> m_config;
};

} // namespace firefly
