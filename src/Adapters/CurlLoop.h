#pragma once

#include "Adapters/HttpExchange.h"
#include "Core/Clock.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace firefly {

/// Limits of a CurlLoop.
struct CurlLoopOptions
{
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration keepAliveProbe = std::chrono::seconds(5); ///< Idle time before a TCP probe.
    Duration maxIdle = std::chrono::seconds(20);       ///< Older idle connections are not reused.
    long maxIdleConnections = 512;
    long maxConnectionsPerHost = 0; ///< 0 means no limit; exchanges beyond it wait their turn.
};

/// Runs HTTP exchanges by libcurl's multi-socket interface on an asio::io_context.
///
/// Single-threaded: start() and the callbacks run on the thread that runs the io_context.  Each
/// exchange has its own deadline and its own connection while it lasts; a connection on which an
/// exchange broke or timed out is closed, not reused.  A request is sent at most once: libcurl's
/// silent repeat on a reused connection is suppressed and reported as ExchangeState::Uncertain.
/// Deadlines follow the machine's clock.
class CurlLoop
{
public:
    using Callback = std::function<void(HttpResult)>;

    explicit CurlLoop(asio::io_context &context, CurlLoopOptions options = {});
    /// Drops exchanges in flight without calling back.
    ~CurlLoop();
    CurlLoop(const CurlLoop &) = delete;
    CurlLoop &operator=(const CurlLoop &) = delete;

    /// Starts \a exchange; \a callback is called exactly once, never from inside start().
    /// \throws std::invalid_argument for a URL without an IP number and for a line end in a header.
    void start(HttpExchange exchange, Callback callback);

    /// Number of exchanges in flight.
    std::size_t inFlight() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace firefly
