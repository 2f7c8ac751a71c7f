#pragma once

#include "Fleet/NodeSettings.h"

#include <asio/io_context.hpp>

#include <memory>

namespace firefly {

/// One process of the fleet: client requests, configuration, and its part in the cells.
class NodeRuntime
{
public:
    /// Listens as soon as \a context runs.
    NodeRuntime(asio::io_context &context, NodeSettings settings);
    ~NodeRuntime();
    NodeRuntime(const NodeRuntime &) = delete;
    NodeRuntime &operator=(const NodeRuntime &) = delete;

    /// Leaves the balancer, hands the cell over, answers what is open, then stops \a context.
    void drain();
    /// Notes that the settings file has changed.
    void settingsChanged(const NodeSettings &settings);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace firefly
