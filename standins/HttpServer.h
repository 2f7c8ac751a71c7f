#pragma once

#include "Core/VmInfo.h"

#include <asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace firefly::standins {

/// A parsed HTTP request.
struct ServerRequest
{
    std::string method;
    std::vector<std::string> path; ///< Percent-decoded segments.
    std::map<std::string, std::string> query;
    /// Firefly-Term, Firefly-Request-Id and Firefly-Key; empty if absent.
    std::map<std::string, std::string> headers;
    std::string body;
    std::string remote; ///< IP address of the client.

    /// Returns the query parameter \a name, or \a fallback if the request lacks it.
    std::string parameter(const std::string &name, const std::string &fallback = {}) const
    {
        return query.contains(name) ? query.at(name) : fallback;
    }
};

/// Replies to one request, immediately or later; copies refer to the same request.
class Responder
{
public:
    struct Handle;
    explicit Responder(std::shared_ptr<Handle> handle);

    /// Additional header fields of a reply.
    using Fields = std::map<std::string, std::string>;

    /// Replies with \a body as JSON.
    void reply(int status, const nlohmann::json &body, const Fields &fields = {}) const;
    /// Replies with \a body, which is JSON text already.
    void replyText(int status, std::string body, const Fields &fields = {}) const;
    /// Sends the Content-Length of the whole \a body but only its first half, then closes the
    /// connection.
    void replyTruncated(int status, std::string_view body, const Fields &fields = {}) const;
    /// Returns the number of the connection; connections are numbered from 1 as accepted.
    std::uint64_t connection() const;
    /// Sends no reply and keeps the connection open.
    void leaveUnanswered() const;

private:
    std::shared_ptr<Handle> m_handle;
};

/// HTTP/1.1 server that calls its handler on the thread that runs the io_context.
class HttpServer
{
public:
    using Handler = std::function<void(const ServerRequest &, const Responder &)>;

    /// Listens on \a endpoint.  Replies with status 400 when \a handler throws.
    HttpServer(asio::io_context &context, const Endpoint &endpoint, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace firefly::standins
