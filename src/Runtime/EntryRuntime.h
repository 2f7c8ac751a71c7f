#pragma once

#include "Config/Settings.h"

#include <asio/io_context.hpp>

#include <memory>

namespace firefly {

/// One entry process: an EntryCore wired to its sockets, its timer and its log.
///
/// Single-threaded on the io_context, but for the thread of the peers' RPC.
class EntryRuntime
{
public:
    /// Starts to listen and to tick as soon as \a context runs.
    /// \throws std::exception when the peers' endpoint can't be bound.
    EntryRuntime(asio::io_context &context, const Settings &settings);
    ~EntryRuntime();
    EntryRuntime(const EntryRuntime &) = delete;
    EntryRuntime &operator=(const EntryRuntime &) = delete;

    /// Begins a graceful shutdown: the health check fails, shards are handed over, requests in
    /// progress end; then the io_context is stopped.
    void drain();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace firefly
