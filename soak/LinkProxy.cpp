#include "LinkProxy.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <array>
#include <string_view>
#include <utility>

namespace firefly::soak {
namespace {

using asio::ip::tcp;

constexpr std::size_t BufferBytes = 16384;
constexpr auto CutCheckInterval = std::chrono::milliseconds(10);

tcp::endpoint toAsio(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}

asio::awaitable<void> pause(asio::io_context &context, Duration duration)
{
    asio::steady_timer timer(context, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

LinkProxy::LinkProxy(asio::io_context &context, const Endpoint &from, const Endpoint &to)
    : m_context(context)
    , m_to(toAsio(to))
    , m_acceptor(context, toAsio(from))
{
    asio::co_spawn(context, accept(), asio::detached);
}

asio::awaitable<void> LinkProxy::accept()
{
    while (true) {
        const auto client = std::make_shared<Socket>(m_context);
        asio::error_code ec;
        co_await m_acceptor.async_accept(*client, asio::redirect_error(asio::use_awaitable, ec));
        if (!ec && !isRefusing) {
            asio::co_spawn(m_context, connect(client), asio::detached);
        }
    }
}

asio::awaitable<void> LinkProxy::connect(SocketPtr client)
{
    const auto server = std::make_shared<Socket>(m_context);
    asio::error_code ec;
    co_await server->async_connect(m_to, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return;
    }
    asio::error_code ignored; // Without it the link is slower, not wrong.
    client->set_option(tcp::no_delay(true), ignored);
    server->set_option(tcp::no_delay(true), ignored);
    std::erase_if(m_open, [](const auto &it) { return it.expired(); });
    m_open.push_back(client);
    m_open.push_back(server);
    asio::co_spawn(m_context, pump(client, server, isRequestCut), asio::detached);
    asio::co_spawn(m_context, pump(server, client, isAnswerCut), asio::detached);
}

asio::awaitable<void> LinkProxy::pump(SocketPtr source, SocketPtr sink, const bool &isCut)
{
    std::array<char, BufferBytes> buf{};
    while (true) {
        asio::error_code ec;
        const std::size_t n = co_await source->async_read_some(
            asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
        if (delay > Duration::zero()) {
            co_await pause(m_context, delay);
        }
        while (isCut) {
            co_await pause(m_context, CutCheckInterval);
        }
        asio::error_code ignored; // The peer may have closed; its own pump ends then.
        if (ec) {
            sink->shutdown(tcp::socket::shutdown_send, ignored);
            co_return;
        }
        co_await asio::async_write(*sink, asio::buffer(buf.data(), n),
                                   asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            source->close(ignored);
            co_return;
        }
    }
}

void LinkProxy::reset()
{
    for (const auto &it : m_open) {
        const SocketPtr socket = it.lock();
        if (!socket || !socket->is_open()) {
            continue;
        }
        asio::error_code ignored; // A socket that is gone already needs no reset.
        socket->set_option(tcp::socket::linger(true, 0), ignored);
        socket->close(ignored);
    }
    m_open.clear();
}

} // namespace firefly::soak
