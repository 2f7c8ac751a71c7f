#pragma once

#include "Fleet/NodeSettings.h"

#include <asio/io_context.hpp>

#include <memory>

namespace firefly {

/// One node process: serves clients, follows the configuration and takes part in the cells.
class NodeRuntime
{
public:
    /// Starts to listen as soon as \a context runs.
    NodeRuntime(asio::io_context &context, NodeSettings settings);
    ~NodeRuntime();
    NodeRuntime(const NodeRuntime &) = delete;
    NodeRuntime &operator=(const NodeRuntime &) = delete;

    /// Fails the readiness check, releases the cells, answers open requests, then stops \a context.
    void drain();
    /// Logs that the settings were read again; a running process doesn't apply them.
    void onSettingsChanged(const NodeSettings &settings);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace firefly
