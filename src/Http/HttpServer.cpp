#include "Http/HttpServer.h"

#include <restinio/all.hpp>

#include <algorithm>
#include <cctype>

namespace firefly {
namespace {

/// Bodies of up to this many times the limit are read completely and answered with 413; for larger
/// ones the connection is closed.
constexpr std::size_t OversizeFactor = 2;

struct ServerTraits : restinio::default_single_thread_traits_t
{
    static constexpr bool use_connection_count_limiter = true; // NOLINT
};

using Server = restinio::http_server_t<ServerTraits>;

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

HttpRequest toRequest(const restinio::request_t &source)
{
    HttpRequest request;
    request.method = source.header().method().c_str();
    request.path = std::string(source.header().path());
    request.query = std::string(source.header().query());
    request.body = source.body();
    source.header().for_each_field([&request](const auto &field) {
        request.headers.emplace_back(field.name(), field.value());
    });
    return request;
}

/// Keeps destroyed servers for the connections that outlive them, until the io_context's end.
class ServerKeeper : public asio::execution_context::service
{
public:
    static inline asio::execution_context::id id; // NOLINT(readability-identifier-naming)

    explicit ServerKeeper(asio::execution_context &context)
        : service(context)
    {}

    void add(std::shared_ptr<void> server) { m_servers.push_back(std::move(server)); }

private:
    /// The connections are destroyed after this call, and need their servers.
    void shutdown() override {}

    std::vector<std::shared_ptr<void>> m_servers;
};

/// Adds an amount to a counter until it is released or destroyed.
class CounterShare
{
public:
    CounterShare(std::shared_ptr<std::size_t> counter, std::size_t amount)
        : m_counter(std::move(counter))
        , m_amount(amount)
    {
        *m_counter += m_amount;
    }
    ~CounterShare() { release(); }
    CounterShare(const CounterShare &) = delete;
    CounterShare &operator=(const CounterShare &) = delete;

    /// Has no effect when called again.
    void release()
    {
        if (const auto counter = std::exchange(m_counter, nullptr)) {
            *counter -= m_amount;
        }
    }

private:
    std::shared_ptr<std::size_t> m_counter;
    std::size_t m_amount;
};

using CounterSharePtr = std::shared_ptr<CounterShare>;

/// Sends \a response; \a open is released once it is written or its connection has ended.
void send(const restinio::request_handle_t &request, HttpResponse response, CounterSharePtr open)
{
    const auto code = static_cast<std::uint16_t>(response.status);
    auto builder = request->create_response(
        restinio::http_status_line_t(restinio::http_status_code_t(code), ""));
    builder.append_header(restinio::http_field::content_type, response.contentType);
    for (auto &[name, value] : response.headers) {
        builder.append_header(std::move(name), std::move(value));
    }
    if (response.closesConnection) {
        builder.connection_close();
    }
    builder.set_body(std::move(response.body));
    builder.done([open = std::move(open)](const asio::error_code &) { open->release(); });
}

HttpResponse overloadedResponse()
{
    HttpResponse response;
    response.status = 503;
    response.body = R"({"error":"too many bytes are waiting for an answer"})";
    response.headers.emplace_back("Retry-After", "1");
    response.headers.emplace_back("Firefly-Outcome", "not-run");
    return response;
}

HttpResponse bodyTooLargeResponse()
{
    HttpResponse response;
    response.status = 413;
    response.body = R"({"error":"the body is too large"})";
    response.headers.emplace_back("Firefly-Outcome", "not-run");
    return response;
}

} // namespace

std::string_view HttpRequest::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (equalsIgnoreCase(key, name)) {
            return value;
        }
    }
    return {};
}

std::vector<std::string> HttpRequest::segments() const
{
    std::vector<std::string> result;
    std::string segment;
    for (const char c : path) {
        if (c != '/') {
            segment += c;
            continue;
        }
        if (!segment.empty()) {
            result.push_back(std::move(segment));
        }
        segment.clear();
    }
    if (!segment.empty()) {
        result.push_back(std::move(segment));
    }
    return result;
}

struct HttpServer::Private
{
    auto settings(const Endpoint &endpoint, const HttpLimits &limits)
    {
        return [this, &endpoint, &limits](auto &settings) {
            settings.address(endpoint.address)
                .port(endpoint.port)
                .max_parallel_connections(limits.maxConnections)
                .read_next_http_message_timelimit(limits.readTimeout)
                .handle_request_timeout(limits.handleTimeout)
                .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t().max_body_size(
                    OversizeFactor * limits.maxBodyBytes))
                .request_handler([this](auto request) { return handle(std::move(request)); });
        };
    }

    Private(asio::io_context &context, const Endpoint &endpoint, const HttpLimits &limits,
            Handler handlerIn)
        : handler(std::move(handlerIn))
        , bodyLimit(limits.maxBodyBytes)
        , bufferedLimit(limits.maxBufferedBytes)
        , server(restinio::external_io_context(context), settings(endpoint, limits))
    {}

    restinio::request_handling_status_t handle(const restinio::request_handle_t &source)
    {
        if (!handler) {
            return restinio::request_rejected();
        }
        const std::size_t size = source->body().size();
        const auto open = std::make_shared<CounterShare>(openRequests, 1);
        if (size > bodyLimit) {
            send(source, bodyTooLargeResponse(), open);
            return restinio::request_accepted();
        }
        if (*bufferedBytes + size > bufferedLimit) {
            send(source, overloadedResponse(), open);
            return restinio::request_accepted();
        }
        const auto body = std::make_shared<CounterShare>(bufferedBytes, size);
        HttpRequest request = toRequest(*source);
        handler(std::move(request), [source, body, open](HttpResponse response) {
            body->release();
            send(source, std::move(response), open);
        });
        return restinio::request_accepted();
    }

    /// Empty once the HttpServer is destroyed.
    Handler handler;
    std::size_t bodyLimit;
    std::size_t bufferedLimit;
    /// The counters are shared with the requests, which may outlive the server.
    std::shared_ptr<std::size_t> bufferedBytes = std::make_shared<std::size_t>(0);
    std::shared_ptr<std::size_t> openRequests = std::make_shared<std::size_t>(0);
    Server server;
};

HttpServer::HttpServer(asio::io_context &context, const Endpoint &endpoint,
                       const HttpLimits &limits, Handler handler)
    : m_private(std::make_unique<Private>(context, endpoint, limits, std::move(handler)))
{
    m_private->server.open_async(
        [] {}, [](std::exception_ptr e) { std::rethrow_exception(std::move(e)); });
}

HttpServer::~HttpServer()
{
    m_private->server.close_sync();
    // If the io_context hasn't run yet, the server opens later, and is closed then.
    stopAccepting();
    m_private->handler = nullptr;
    asio::io_context &context = m_private->server.io_context();
    asio::use_service<ServerKeeper>(context).add(std::move(m_private));
}

void HttpServer::stopAccepting()
{
    m_private->server.close_async(
        [] {}, [](std::exception_ptr e) { std::rethrow_exception(std::move(e)); });
}

std::size_t HttpServer::openRequests() const
{
    return *m_private->openRequests;
}

} // namespace firefly
