#pragma once

#include "Core/Clock.h"
#include "Core/VmInfo.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace firefly {

/// Bounds on what a client of an HttpServer can make it hold.
struct HttpLimits
{
    std::size_t maxBodyBytes = 1 << 20;
    std::size_t maxConnections = 1024;
    std::size_t maxBufferedBytes = 64 << 20;         ///< Sum of the bodies of unanswered requests.
    Duration readTimeout = std::chrono::seconds(10); ///< For one whole request to arrive.
    Duration handleTimeout = std::chrono::seconds(300); ///< For a handler to respond.
};

/// One whole request.
struct HttpRequest
{
    std::string method;
    std::string path;  ///< Without the query.
    std::string query; ///< Behind the '?', undecoded.
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;

    /// Value of the header \a name, compared without case; empty when absent.
    std::string_view header(std::string_view name) const;
    /// Segments of the path between slashes, empty ones left out.
    std::vector<std::string> segments() const;
};

/// One whole response.
struct HttpResponse
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    bool closesConnection = false; ///< The client must use another connection from now on.
};

/// HTTP server on an io_context; callbacks run on it, one at a time.
///
/// A body over its limit is answered 413, and one over twice the limit closes its connection, as
/// does a request that arrives too slowly.  The memory held is at most maxBufferedBytes for
/// unanswered requests, plus twice maxBodyBytes for each connection on which a request is arriving.
class HttpServer
{
public:
    /// Answers one request; call exactly once, from the io_context's thread.
    using Respond = std::function<void(HttpResponse)>;
    using Handler = std::function<void(HttpRequest, Respond)>;

    /// Listens on \a endpoint as soon as the io_context runs.
    ///
    /// When the endpoint can't be bound, the io_context's run() throws std::exception.
    HttpServer(asio::io_context &context, const Endpoint &endpoint, const HttpLimits &limits,
               Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Closes the listening socket and all connections, once the io_context runs.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace firefly
