#pragma once

#include "Config/Settings.h"

#include <asio/io_context.hpp>

#include <memory>

namespace firefly {

/// An entry process: an EntryCore connected to its sockets, its timer and its event log.
///
/// Runs single-threaded on the io_context; only the RPC between entries has its own thread.
class EntryRuntime
{
public:
    /// Starts to listen and to tick as soon as \a context runs.
    /// \throws std::exception if the endpoint for peers cannot be bound.
    EntryRuntime(asio::io_context &context, const Settings &settings);
    ~EntryRuntime();
    EntryRuntime(const EntryRuntime &) = delete;
    EntryRuntime &operator=(const EntryRuntime &) = delete;

    /// Begins a graceful shutdown: the health check fails, shards are handed over, requests in
    /// progress are completed; then the io_context is stopped.
    void drain();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace firefly
