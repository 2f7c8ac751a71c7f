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

/// Limits on the resources that clients of an HttpServer can occupy.
struct HttpLimits
{
    std::size_t maxBodyBytes = 1 << 20;
    std::size_t maxConnections = 1024;
    std::size_t maxBufferedBytes = 64 << 20;            ///< Sum of the bodies of pending requests.
    Duration readTimeout = std::chrono::seconds(10);    ///< For one complete request to arrive.
    Duration handleTimeout = std::chrono::seconds(300); ///< For a handler to respond.
};

/// One complete request.
struct HttpRequest
{
    std::string method;
    std::string path;  ///< Without the query.
    std::string query; ///< Part after the '?', not decoded.
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;

    /// Value of the header \a name, compared case-insensitively; empty if absent.
    std::string_view header(std::string_view name) const;
    /// Segments of the path between slashes, without empty ones.
    std::vector<std::string> segments() const;
};

/// One complete response.
struct HttpResponse
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    bool closesConnection = false; ///< The server closes the connection after the response.
};

/// HTTP server on an io_context; callbacks run on it, one at a time.
///
/// A body over maxBodyBytes is answered with 413; over twice that, or if a request arrives too
/// slowly, the connection is closed.  A body that would exceed maxBufferedBytes is answered with
/// 503.  Buffers take at most maxBufferedBytes for pending requests, plus twice maxBodyBytes for
/// each connection on which a request is arriving.
class HttpServer
{
public:
    /// Responds to one request; to be called exactly once, on the io_context's thread.
    using Respond = std::function<void(HttpResponse)>;
    using Handler = std::function<void(HttpRequest, Respond)>;

    /// Listens on \a endpoint once the io_context runs.
    ///
    /// If the endpoint can't be bound, the io_context's run() throws a std::exception.
    HttpServer(asio::io_context &context, const Endpoint &endpoint, const HttpLimits &limits,
               Handler handler);
    /// Stops listening; a request that still arrives on an open connection is answered with 501.
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Closes the listening socket once the io_context runs; open connections stay usable.
    ///
    /// Connections that the server hasn't accepted yet are reset.
    void stopAccepting();
    /// Number of requests that have arrived whole and whose response isn't written completely.
    std::size_t openRequests() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace firefly
