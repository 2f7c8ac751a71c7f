#include "Adapters/HttpLogClient.h"

#include "Adapters/UrlText.h"
#include "Records/Codec.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace firefly {
namespace {

constexpr std::size_t MaxReadBytes = 64U << 20U;

AppendResult toAppendResult(const HttpResult &result)
{
    if (result.state == ExchangeState::NotSent) {
        return {AppendState::NotSent, 0, result.error};
    }
    if (!result.isWhole()) {
        return {AppendState::Uncertain, 0, result.error};
    }
    if (result.statusCode >= 400 && result.statusCode < 500) {
        return {AppendState::Rejected, 0, result.body};
    }
    const auto json = nlohmann::json::parse(result.body, nullptr, false);
    if (!result.isSuccess() || !json.is_object() || !json.contains("first")
        || !json["first"].is_number_unsigned()) {
        return {AppendState::Uncertain, 0, "status " + std::to_string(result.statusCode)};
    }
    return {AppendState::Appended, json["first"].get<Offset>(), {}};
}

LogRead parseRead(const std::string &body)
{
    const auto json = nlohmann::json::parse(body);
    LogRead read;
    json.at("head").get_to(read.head);
    json.at("tail").get_to(read.tail);
    json.at("first").get_to(read.next);
    for (const auto &text : json.at("records")) {
        const Offset offset = read.next++;
        try {
            read.envelopes.push_back({offset, decode(text.get_ref<const std::string &>())});
        } catch (const CodecError &) {
            continue;
        }
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
    , m_base(baseUrl(endpoint))
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
    exchange.url = m_base + "/append?client=" + m_client;
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
    exchange.url = m_base + "/read?from=" + std::to_string(from)
                   + "&max=" + std::to_string(maxRecords) + "&wait=" + std::to_string(waitMs)
                   + "&client=" + m_client;
    exchange.timeout = m_timeout + wait;
    exchange.maxBody = MaxReadBytes;
    m_loop.start(std::move(exchange), [callback = std::move(callback)](const HttpResult &result) {
        callback(toLogRead(result));
    });
}

} // namespace firefly
