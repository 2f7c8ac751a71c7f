#include "Adapters/HttpLogClient.h"

#include "Adapters/PercentEncoding.h"
#include "Records/Codec.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace firefly {
namespace {

constexpr std::size_t MaxReadBytes = 64U << 20U;

AppendResult toAppendResult(const HttpResult &result)
{
    if (result.state == ExchangeState::NotSent) {
        return AppendResult::NotSent;
    }
    if (!result.isComplete()) {
        return AppendResult::Uncertain;
    }
    if (result.statusCode >= 400 && result.statusCode < 500) {
        return AppendResult::NotSent;
    }
    return result.isSuccess() ? AppendResult::Done : AppendResult::Uncertain;
}

/// Decodes the record at \a offset; one that this version can't decode is replaced by an empty
/// envelope, which every fold ignores, so that the offsets have no gap.
LoggedEnvelope parseRecord(Offset offset, const std::string &text)
{
    try {
        return {offset, decode(text)};
    } catch (const CodecError &) {
        return {offset, Envelope{}};
    }
}

LogRead parseRead(const std::string &body)
{
    const auto json = nlohmann::json::parse(body);
    LogRead read;
    json.at("head").get_to(read.head);
    json.at("tail").get_to(read.tail);
    auto first = json.at("first").get<Offset>();
    for (const auto &text : json.at("records")) {
        read.envelopes.push_back(parseRecord(first++, text.get_ref<const std::string &>()));
    }
    return read;
}

std::optional<LogRead> toLogRead(const HttpResult &result)
{
    if (!result.isSuccess()) {
        return std::nullopt;
    }
    try {
        return parseRead(result.body);
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace

HttpLogClient::HttpLogClient(CurlLoop &loop, const Endpoint &endpoint, std::string_view client,
                             Duration timeout)
    : m_loop(loop)
    , m_baseUrl(baseUrl(endpoint))
    , m_client(percentEncode(client))
    , m_timeout(timeout)
{}

void HttpLogClient::append(const LogAppend &append, std::function<void(AppendResult)> callback)
{
    nlohmann::json batch = nlohmann::json::array();
    for (const Envelope &envelope : append.envelopes) {
        batch.push_back(encode(envelope));
    }
    HttpExchange exchange;
    exchange.method = "POST";
    exchange.url = m_baseUrl + "/append?client=" + m_client;
    exchange.headers = {{"Content-Type", "application/json"}};
    exchange.body = batch.dump();
    exchange.timeout = m_timeout;
    m_loop.start(std::move(exchange), [callback = std::move(callback)](const HttpResult &result) {
        callback(toAppendResult(result));
    });
}

void HttpLogClient::read(Offset from, std::size_t maxRecords,
                         std::function<void(std::optional<LogRead>)> callback, Duration wait)
{
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    HttpExchange exchange;
    exchange.url = m_baseUrl + "/read?from=" + std::to_string(from)
                   + "&max=" + std::to_string(maxRecords) + "&wait=" + std::to_string(waitMs)
                   + "&client=" + m_client;
    exchange.timeout = m_timeout + wait;
    exchange.maxResponseBytes = MaxReadBytes;
    m_loop.start(std::move(exchange), [callback = std::move(callback)](const HttpResult &result) {
        callback(toLogRead(result));
    });
}

} // namespace firefly
