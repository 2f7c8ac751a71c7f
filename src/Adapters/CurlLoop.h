#pragma once

#include "Adapters/HttpExchange.h"
#include "Core/Clock.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace firefly {

/// Timeouts and connection limits of a CurlLoop.
struct CurlLoopOptions
{
    Duration connectTimeout = std::chrono::milliseconds(500);
    /// Idle time before the first TCP keep-alive probe, and time between probes.
    Duration keepAliveInterval = std::chrono::seconds(5);
    Duration maxIdleTime = std::chrono::seconds(20); ///< Connections idle for longer aren't reused.
    long maxIdleConnections = 512;
    long maxConnectionsPerHost = 0; ///< 0: unlimited; further exchanges are queued.
};

/// Runs HTTP exchanges on an asio::io_context, using libcurl's multi-socket interface.
///
/// Single-threaded: start() and the callbacks run on the thread that runs the io_context.  Each
/// exchange has its own timeout and, while in flight, exclusive use of a connection; a connection
/// on which an exchange failed or timed out is closed, not reused.  A request is sent at most once:
/// libcurl's automatic retry after a reused connection breaks is suppressed and reported as
/// ExchangeState::Uncertain.  Timeouts follow the machine's clock, even while Clock is
/// paused.
///
/// Connections end with a TCP reset, also at the end of the process: what the link still holds of a
/// request that failed, timed out or was cancelled is discarded instead of being carried out late.
/// Of a complete exchange nothing is under way any more.
class CurlLoop
{
public:
    using Callback = std::function<void(HttpResult)>;

    explicit CurlLoop(asio::io_context &context, CurlLoopOptions options = {});
    /// Cancels exchanges in flight without calling their callbacks.
    ~CurlLoop();
    CurlLoop(const CurlLoop &) = delete;
    CurlLoop &operator=(const CurlLoop &) = delete;

    /// Starts \a exchange; \a callback is called exactly once, never from inside start().
    /// \throws std::invalid_argument if the URL's host is not an IP address or a header field
    /// contains a line break or NUL.
    void start(HttpExchange exchange, Callback callback);

    /// Number of exchanges in flight.
    std::size_t inFlight() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace firefly
