#include "Adapters/HttpVmListClient.h"

#include "Adapters/WorkerJson.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace firefly {
namespace {

std::optional<VmList> toVmList(const HttpResult &result)
{
    if (!result.isSuccess()) {
        return std::nullopt;
    }
    try {
        return nlohmann::json::parse(result.body).get<VmList>();
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace

HttpVmListClient::HttpVmListClient(CurlLoop &loop, const Endpoint &endpoint, Duration timeout)
    : m_loop(loop)
    , m_url(baseUrl(endpoint) + "/vms")
    , m_timeout(timeout)
{}

void HttpVmListClient::read(std::function<void(std::optional<VmList>)> callback)
{
    HttpExchange exchange;
    exchange.url = m_url;
    exchange.timeout = m_timeout;
    m_loop.start(std::move(exchange), [callback = std::move(callback)](const HttpResult &result) {
        callback(toVmList(result));
    });
}

} // namespace firefly
