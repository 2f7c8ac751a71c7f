#pragma once

#include "Core/Clock.h"
#include "Core/VmInfo.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace firefly {

/// One HTTP header field; the names of received fields are in lower case.
struct HttpHeader
{
    std::string name;
    std::string value;
};

/// One HTTP/1.1 request and the limits on its response.
struct HttpExchange
{
    std::string method = "GET";
    std::string url; ///< "http://" with an IP address as host.
    std::vector<HttpHeader> headers;
    std::string body;
    Duration timeout = std::chrono::seconds(1); ///< From the start to the complete response.
    std::size_t maxResponseBytes = 4U << 20U;   ///< Limit on the response body.
};

/// How far an exchange got.
enum class ExchangeState {
    NotSent,   ///< No byte of the request was sent: refused, unreachable or connect timeout.
    Uncertain, ///< The request may have been sent, but no complete response arrived.
    Complete,  ///< A complete response arrived: its length was announced and matches, or it was
               ///< chunked.
};

/// Result of one HttpExchange.
struct HttpResult
{
    ExchangeState state = ExchangeState::Uncertain;
    int statusCode = 0;     ///< 0 if no status line arrived.
    bool isRefused = false; ///< NotSent, because no process listens at the address.
    std::vector<HttpHeader> headers;
    std::string body;
    std::string error; ///< Description for logs; empty if Complete.

    bool isComplete() const { return state == ExchangeState::Complete; }

    /// True for a complete response with a status from 200 to 299.
    bool isSuccess() const { return isComplete() && statusCode >= 200 && statusCode < 300; }

    /// Value of the first header field called \a name (lower case); empty if there is none.
    std::string_view header(std::string_view name) const
    {
        const auto it = std::ranges::find(headers, name, &HttpHeader::name);
        return it == headers.end() ? std::string_view() : std::string_view(it->value);
    }
};

/// Base URL of \a endpoint, without a trailing slash.
inline std::string baseUrl(const Endpoint &endpoint)
{
    const bool isV6 = endpoint.address.find(':') != std::string::npos;
    const std::string host = isV6 ? "[" + endpoint.address + "]" : endpoint.address;
    return "http://" + host + ":" + std::to_string(endpoint.port);
}

} // namespace firefly
