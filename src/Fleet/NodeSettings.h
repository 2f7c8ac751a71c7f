#pragma once

#include "Cell/CellState.h"
#include "Core/Clock.h"
#include "Core/VmInfo.h"

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace firefly {

/// What a process of the fleet is told at its start.
struct NodeSettings
{
    std::string node;
    std::string zone;
    Endpoint callers;              ///< Where clients connect.
    std::optional<Endpoint> ready; ///< Where the balancer asks whether to send connections.
    std::vector<std::uint16_t> internalPorts; ///< Free for our own processes; first and last.
    std::string address;                      ///< This VM's IP number.
    Endpoint store;
    int storePartitions = 12; ///< Of a topic, numbered from 0.
    double cpuShare = 1.0;    ///< Of one core.
    std::size_t maxConnections = 2048;
    Duration gracePeriod = std::chrono::seconds(6); ///< From SIGTERM to SIGKILL.
    CellBounds bounds;
};

/// Settings that can't be used: all findings, a line each, with file, line and field.
class NodeSettingsError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace firefly
