#pragma once

#include "Core/Clock.h"
#include "Core/VmInfo.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace firefly {

/// One HTTP header field; names of received fields are in lower case.
struct HttpHeader
{
    std::string name;
    std::string value;
};

/// One HTTP/1.1 request and the bounds on its answer.
struct HttpExchange
{
    std::string method = "GET";
    std::string url; ///< "http://" with an IP number as host.
    std::vector<HttpHeader> headers;
    std::string body;
    Duration timeout = std::chrono::seconds(1); ///< From start to the whole answer.
    std::size_t maxBody = 4U << 20U;            ///< Largest accepted answer, in bytes.
};

/// How far an exchange got.
enum class ExchangeState {
    NotSent,   ///< Surely no byte of the request left: refused, unreachable or connect timeout.
    Uncertain, ///< Bytes may have left, and no whole answer came.
    Whole,     ///< The whole answer came: its length was announced and matches.
};

/// What became of one HttpExchange.
struct HttpResult
{
    ExchangeState state = ExchangeState::Uncertain;
    int statusCode = 0; ///< 0 unless an answer's status line came.
    std::vector<HttpHeader> headers;
    std::string body;
    std::string error; ///< Description for logs; empty when Whole.

    bool isWhole() const { return state == ExchangeState::Whole; }

    /// True for a whole answer with a status from 200 to 299.
    bool isSuccess() const { return isWhole() && statusCode >= 200 && statusCode < 300; }

    /// Value of the first header field called \a name (lower case); empty when there is none.
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
