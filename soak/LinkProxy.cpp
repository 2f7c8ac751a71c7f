#include "LinkProxy.h"

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <utility>

namespace firefly::soak {
namespace {

using asio::ip::tcp;

constexpr std::size_t BufferBytes = 16384;
constexpr auto BlockedPollInterval = std::chrono::milliseconds(10);

tcp::endpoint toAsio(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}

} // namespace

/// Forwards the data of one direction of a connection.
struct LinkProxy::Forwarder : std::enable_shared_from_this<Forwarder>
{
    Forwarder(const LinkProxy &proxyIn, SocketPtr sourceIn, SocketPtr sinkIn,
              const bool &isBlockedIn)
        : proxy(proxyIn)
        , source(std::move(sourceIn))
        , sink(std::move(sinkIn))
        , isBlocked(isBlockedIn)
        , timer(proxyIn.m_context)
    {}

    void read()
    {
        source->async_read_some(asio::buffer(buf),
                                [self = shared_from_this()](asio::error_code ec, std::size_t n) {
                                    if (self->proxy.delay > Duration::zero()) {
                                        self->deliverAfter(self->proxy.delay, ec, n);
                                    } else {
                                        self->deliver(ec, n);
                                    }
                                });
    }

    void deliverAfter(Duration waitTime, asio::error_code ec, std::size_t n)
    {
        timer.expires_after(waitTime);
        timer.async_wait(
            [self = shared_from_this(), ec, n](asio::error_code) { self->deliver(ec, n); });
    }

    void deliver(asio::error_code ec, std::size_t n)
    {
        if (isBlocked) {
            deliverAfter(BlockedPollInterval, ec, n);
            return;
        }
        asio::error_code ignored; // If the peer has closed, the other direction ends by itself.
        if (ec) {
            sink->shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        asio::async_write(*sink, asio::buffer(buf.data(), n),
                          [self = shared_from_this()](asio::error_code failure, std::size_t) {
                              if (!failure) {
                                  self->read();
                                  return;
                              }
                              asio::error_code closed; // Nothing is left to do if closing fails.
                              self->source->close(closed);
                          });
    }

    const LinkProxy &proxy;
    SocketPtr source;
    SocketPtr sink;
    const bool &isBlocked;
    asio::steady_timer timer;
    std::array<char, BufferBytes> buf{};
};

LinkProxy::LinkProxy(asio::io_context &context, const Endpoint &listenEndpoint,
                     const Endpoint &target)
    : m_context(context)
    , m_target(toAsio(target))
    , m_acceptor(context, toAsio(listenEndpoint))
{
    accept();
}

void LinkProxy::accept()
{
    const auto client = std::make_shared<Socket>(m_context);
    m_acceptor.async_accept(*client, [this, client](asio::error_code ec) {
        if (ec == asio::error::operation_aborted) {
            return;
        }
        if (!ec && !isRefusing) {
            connect(client);
        }
        accept();
    });
}

void LinkProxy::connect(const SocketPtr &client)
{
    const auto server = std::make_shared<Socket>(m_context);
    server->async_connect(m_target, [this, client, server](asio::error_code ec) {
        if (ec) {
            return;
        }
        asio::error_code ignored; // Without TCP_NODELAY the link is slower, but still works.
        client->set_option(tcp::no_delay(true), ignored);
        server->set_option(tcp::no_delay(true), ignored);
        std::erase_if(m_openSockets, [](const auto &it) { return it.expired(); });
        m_openSockets.push_back(client);
        m_openSockets.push_back(server);
        std::make_shared<Forwarder>(*this, client, server, isRequestBlocked)->read();
        std::make_shared<Forwarder>(*this, server, client, isResponseBlocked)->read();
    });
}

void LinkProxy::reset()
{
    for (const auto &it : m_openSockets) {
        const SocketPtr socket = it.lock();
        if (!socket || !socket->is_open()) {
            continue;
        }
        asio::error_code ignored; // A closed socket needs no reset.
        socket->set_option(tcp::socket::linger(true, 0), ignored);
        socket->close(ignored);
    }
    m_openSockets.clear();
}

} // namespace firefly::soak
