#include "Adapters/HttpWorkerClient.h"

#include "Adapters/PercentEncoding.h"
#include "Adapters/WorkerJson.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace firefly {
namespace {

constexpr int StatusRequestTimeout = 408;
constexpr int StatusInternalError = 500;
constexpr int StatusInsufficientStorage = 507;

std::string workerUrl(const WorkerInfo &worker, std::string_view operation)
{
    return baseUrl(worker.endpoint) + "/workers/" + percentEncode(worker.id.value()) + "/"
           + std::string(operation);
}

/// True for statuses that a worker sends only if it has run nothing: 4xx except 408, and 507.
bool isRefusal(int status)
{
    const bool isClientError = status >= 400 && status < 500 && status != StatusRequestTimeout;
    return isClientError || status == StatusInsufficientStorage;
}

WorkerResult toWorkerResult(const HttpResult &result)
{
    if (result.state == ExchangeState::NotSent) {
        return WorkerResult::NotSent;
    }
    if (!result.isComplete()) {
        return WorkerResult::Uncertain;
    }
    if (result.isSuccess()) {
        return WorkerResult::Done;
    }
    return isRefusal(result.statusCode) ? WorkerResult::Refused : WorkerResult::Uncertain;
}

WorkerCallReply toCallReply(const RequestId &request, HttpResult result)
{
    WorkerCallReply reply;
    reply.result = toWorkerResult(result);
    reply.request = RequestId(result.header("firefly-request-id"));
    const bool isServiceError = result.isComplete() && result.statusCode == StatusInternalError;
    if (isServiceError) {
        reply.result = WorkerResult::ServiceError;
    }
    const bool isServiceAnswer = isServiceError || reply.result == WorkerResult::Done;
    if (isServiceAnswer && reply.request != request) {
        reply.result = WorkerResult::Uncertain;
        return reply;
    }
    if (isServiceAnswer) {
        reply.body = std::move(result.body);
    }
    return reply;
}

HttpExchange postExchange(const WorkerInfo &worker, std::string_view operation, std::string body)
{
    HttpExchange exchange;
    exchange.method = "POST";
    exchange.url = workerUrl(worker, operation);
    exchange.headers = {{"Content-Type", "application/json"}};
    exchange.body = std::move(body);
    return exchange;
}

} // namespace

HttpWorkerClient::HttpWorkerClient(CurlLoop &loop, Duration timeout)
    : m_loop(loop)
    , m_timeout(timeout)
{}

void HttpWorkerClient::sync(const WorkerInfo &worker, const WorkerSync &message,
                            std::function<void(WorkerResult, WorkerSyncReply)> callback)
{
    HttpExchange exchange = postExchange(worker, "sync", nlohmann::json(message).dump());
    exchange.timeout = m_timeout;
    auto onDone = [callback = std::move(callback)](const HttpResult &result) {
        const WorkerResult outcome = toWorkerResult(result);
        if (outcome != WorkerResult::Done) {
            callback(outcome, {});
            return;
        }
        WorkerSyncReply reply;
        try {
            reply = nlohmann::json::parse(result.body).get<WorkerSyncReply>();
        } catch (const nlohmann::json::exception &) {
            callback(WorkerResult::Uncertain, {});
            return;
        }
        callback(WorkerResult::Done, std::move(reply));
    };
    m_loop.start(std::move(exchange), std::move(onDone));
}

template <typename Message>
void HttpWorkerClient::post(const WorkerInfo &worker, std::string_view operation,
                            const Message &message, ResultCallback callback)
{
    HttpExchange exchange = postExchange(worker, operation, nlohmann::json(message).dump());
    exchange.timeout = m_timeout;
    m_loop.start(std::move(exchange), [callback = std::move(callback)](const HttpResult &result) {
        callback(toWorkerResult(result));
    });
}

void HttpWorkerClient::start(const WorkerInfo &worker, const StartAttempt &message,
                             ResultCallback callback)
{
    post(worker, "tasks", message, std::move(callback));
}

void HttpWorkerClient::stop(const WorkerInfo &worker, const StopAttempt &message,
                            ResultCallback callback)
{
    post(worker, "stop", message, std::move(callback));
}

void HttpWorkerClient::throttle(const WorkerInfo &worker, const ThrottleAttempt &message,
                                ResultCallback callback)
{
    post(worker, "throttle", message, std::move(callback));
}

void HttpWorkerClient::call(const WorkerInfo &worker, WorkerCall message,
                            std::function<void(WorkerCallReply)> callback)
{
    HttpExchange exchange = postExchange(worker, "calls/" + percentEncode(message.service.value()),
                                         std::move(message.body));
    exchange.headers.push_back({"Firefly-Term", std::to_string(message.term)});
    exchange.headers.push_back({"Firefly-Request-Id", message.request.value()});
    if (!message.key.empty()) {
        exchange.headers.push_back({"Firefly-Key", message.key});
    }
    exchange.timeout = message.timeout;
    auto onDone = [request = message.request, callback = std::move(callback)](HttpResult result) {
        callback(toCallReply(request, std::move(result)));
    };
    m_loop.start(std::move(exchange), std::move(onDone));
}

} // namespace firefly
