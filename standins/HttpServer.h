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

/// One request as a stand-in's service sees it.
struct ServerRequest
{
    std::string method;
    std::vector<std::string> path; ///< Decoded segments.
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Firefly-Term, -Request-Id and -Key, or empty.
    std::string body;
    std::string remote; ///< The peer's address.

    /// Value of the query parameter \a name, or \a fallback.
    std::string parameter(const std::string &name, const std::string &fallback = {}) const
    {
        return query.contains(name) ? query.at(name) : fallback;
    }
};

/// Answers one request, at once or later; copies share the request.
class Responder
{
public:
    struct Handle;
    explicit Responder(std::shared_ptr<Handle> handle);

    /// Extra header fields of an answer.
    using Fields = std::map<std::string, std::string>;

    void reply(int status, const nlohmann::json &body, const Fields &fields = {}) const;
    void replyText(int status, std::string body, const Fields &fields = {}) const;
    /// Announces the whole length, sends half of \a body and closes the connection.
    void replyTruncated(int status, std::string_view body, const Fields &fields = {}) const;
    /// Identifies the connection; grows with each accepted one, from 1.
    std::uint64_t connection() const;
    /// Never answers; the connection stays open.
    void swallow() const;

private:
    std::shared_ptr<Handle> m_handle;
};

/// HTTP/1.1 server of a stand-in, on the thread that runs the io_context.
class HttpServer
{
public:
    using Handler = std::function<void(const ServerRequest &, const Responder &)>;

    /// Listens on \a endpoint.  An exception from \a handler is answered with status 400.
    HttpServer(asio::io_context &context, const Endpoint &endpoint, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace firefly::standins
