#include "HttpServer.h"

#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

#include <algorithm>
#include <utility>

namespace firefly::standins {
namespace {

constexpr std::uint64_t MaxBodyBytes = 64U << 20U;
constexpr std::size_t ReadBufferBytes = 16384;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr auto RequestTimeout = std::chrono::hours(24); // Requests may stay unanswered.
constexpr auto IdleTimeout = std::chrono::minutes(5);

using Traits =
    restinio::single_thread_traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t>;

std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> segments;
    while (!path.empty()) {
        const auto slash = std::min(path.find('/'), path.size());
        if (slash > 0) {
            segments.push_back(restinio::utils::unescape_percent_encoding(
                restinio::string_view_t(path.data(), slash)));
        }
        path.remove_prefix(std::min(slash + 1, path.size()));
    }
    return segments;
}

ServerRequest toServerRequest(const restinio::request_t &source)
{
    ServerRequest request;
    const auto &header = source.header();
    request.method = header.method().c_str();
    request.path = splitPath(std::string_view(header.path().data(), header.path().size()));
    for (const auto &parameter : restinio::parse_query(header.query())) {
        request.query[std::string(parameter.first)] = std::string(parameter.second);
    }
    for (const char *name : {"Firefly-Term", "Firefly-Request-Id", "Firefly-Key"}) {
        request.headers[name] = header.get_field_or(name, "");
    }
    request.body = source.body();
    request.remote = source.remote_endpoint().address().to_string();
    return request;
}

restinio::http_status_line_t statusLine(int status)
{
    const std::string reason = status < StatusBadRequest ? "OK" : "Error";
    return {restinio::http_status_code_t(static_cast<std::uint16_t>(status)), reason};
}

} // namespace

struct Responder::Handle
{
    using List = std::vector<std::shared_ptr<Handle>>;

    Handle(restinio::request_handle_t handle, List &unansweredRequests)
        : request(std::move(handle))
        , unanswered(unansweredRequests)
    {}
    restinio::request_handle_t request;
    List &unanswered; ///< Keeps requests alive that never get a reply.
};

Responder::Responder(std::shared_ptr<Handle> handle)
    : m_handle(std::move(handle))
{}

std::uint64_t Responder::connection() const
{
    return m_handle->request->connection_id();
}

void Responder::reply(int status, const nlohmann::json &body, const Fields &fields) const
{
    replyText(status, body.dump(), fields);
}

void Responder::replyText(int status, std::string body, const Fields &fields) const
{
    auto response = m_handle->request->create_response(statusLine(status));
    response.append_header(restinio::http_field::content_type, "application/json");
    for (const auto &[name, value] : fields) {
        response.append_header(name, value);
    }
    response.set_body(std::move(body)).done();
}

void Responder::replyTruncated(int status, std::string_view body, const Fields &fields) const
{
    auto response =
        m_handle->request->create_response<restinio::user_controlled_output_t>(statusLine(status));
    for (const auto &[name, value] : fields) {
        response.append_header(name, value);
    }
    response.set_content_length(body.size());
    response.connection_close();
    response.append_body(std::string(body.substr(0, body.size() / 2)));
    response.done();
}

void Responder::leaveUnanswered() const
{
    m_handle->unanswered.push_back(m_handle);
}

struct HttpServer::Impl
{
    Impl(asio::io_context &context, const Endpoint &endpoint, Handler onRequest)
        : handler(std::move(onRequest))
        , server(restinio::external_io_context(context),
                 [this, &endpoint](auto &settings) { configure(settings, endpoint); })
    {}

    void configure(restinio::server_settings_t<Traits> &settings, const Endpoint &endpoint)
    {
        settings.address(endpoint.address)
            .port(endpoint.port)
            .buffer_size(ReadBufferBytes)
            .read_next_http_message_timelimit(IdleTimeout)
            .handle_request_timeout(RequestTimeout)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}.max_body_size(MaxBodyBytes))
            .socket_options_setter(
                [](auto &options) { options.set_option(asio::ip::tcp::no_delay(true)); })
            .request_handler([this](const restinio::request_handle_t &request) {
                handle(request);
                return restinio::request_accepted();
            });
    }

    void handle(const restinio::request_handle_t &request)
    {
        const Responder responder(std::make_shared<Responder::Handle>(request, unanswered));
        try {
            handler(toServerRequest(*request), responder);
        } catch (const std::exception &e) {
            responder.reply(StatusBadRequest, {{"error", e.what()}});
        }
    }

    Handler handler;
    Responder::Handle::List unanswered;
    restinio::http_server_t<Traits> server;
};

HttpServer::HttpServer(asio::io_context &context, const Endpoint &endpoint, Handler handler)
    : m_impl(std::make_unique<Impl>(context, endpoint, std::move(handler)))
{
    m_impl->server.open_sync();
}

HttpServer::~HttpServer() = default;

} // namespace firefly::standins
