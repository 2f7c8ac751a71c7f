#pragma once

#include "Cell/CellState.h"
#include "Core/Clock.h"
#include "Core/VmCapacity.h"
#include "Core/VmInfo.h"

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace firefly {

/// Start-up settings of one node process.
struct NodeSettings
{
    std::string node; ///< Name of this VM.
    std::string zone;
    Endpoint clientEndpoint;                   ///< Where this process listens for clients.
    std::optional<Endpoint> readinessEndpoint; ///< Where the load balancer checks readiness.
    std::vector<std::uint16_t> internalPorts;  ///< Range for traffic between nodes: first and last.
    std::string address;                       ///< This VM's IP address.
    Endpoint storeEndpoint;                    ///< Of the platform's record store.
    int storePartitions = 12;                  ///< Partitions of each topic, numbered from 0.
    VmCapacity capacity;                       ///< What this process may use.
    std::size_t maxConnections = 2048;
    Duration gracePeriod = std::chrono::seconds(6); ///< From SIGTERM to SIGKILL.
    CellBounds bounds;
};

/// Invalid settings: lists all findings, one per line, with file, line and field.
class NodeSettingsError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace firefly
