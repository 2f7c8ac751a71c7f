#pragma once

#include "Core/Clock.h"
#include "Workload/JobSpec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace firefly {

/// Maps requests for one host and path prefix to a queue, with the policy of the queue.
struct Route
{
    std::string host;
    std::string pathPrefix;
    Duration timeout = std::chrono::seconds(3); ///< Longest time for the answer to a client.
    QueuePolicy policy;
};

/// One version of the operators' configuration.
struct FleetConfig
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
};

/// The newest configuration that this process has read; its version never decreases.
class RouteTable
{
public:
    /// Applies \a config if its version is higher than the current one; true if it was applied.
    bool apply(FleetConfig config);
    bool isConfigured() const { return m_config.has_value(); }
    std::uint64_t version() const { return m_config ? m_config->version : 0; }
    /// The route of \a host whose prefix is the longest match of \a path; null when none matches.
    /// Ignores the letter case and the port of \a host.
    const Route *find(std::string_view host, std::string_view path) const;

private:
    std::optional<FleetConfig> m_config;
};

} // namespace firefly
