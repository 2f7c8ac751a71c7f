#include "LinkProxy.h"

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
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

} // namespace

/// One direction of one connection.
struct LinkProxy::Pump : std::enable_shared_from_this<Pump>
{
    Pump(const LinkProxy &proxyIn, SocketPtr sourceIn, SocketPtr sinkIn, const bool &isCutIn)
        : proxy(proxyIn)
        , source(std::move(sourceIn))
        , sink(std::move(sinkIn))
        , isCut(isCutIn)
        , timer(proxyIn.m_context)
    {}

    void read()
    {
        source->async_read_some(asio::buffer(buf),
                                [self = shared_from_this()](asio::error_code ec, std::size_t n) {
                                    if (self->proxy.delay > Duration::zero()) {
                                        self->later(self->proxy.delay, ec, n);
                                    } else {
                                        self->deliver(ec, n);
                                    }
                                });
    }

    void later(Duration pause, asio::error_code ec, std::size_t n)
    {
        timer.expires_after(pause);
        timer.async_wait(
            [self = shared_from_this(), ec, n](asio::error_code) { self->deliver(ec, n); });
    }

    void deliver(asio::error_code ec, std::size_t n)
    {
        if (isCut) {
            later(CutCheckInterval, ec, n);
            return;
        }
        asio::error_code ignored; // The peer may have closed; its own direction ends then.
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
                              asio::error_code closed; // Closing can't help any further.
                              self->source->close(closed);
                          });
    }

    const LinkProxy &proxy;
    SocketPtr source;
    SocketPtr sink;
    const bool &isCut;
    asio::steady_timer timer;
    std::array<char, BufferBytes> buf{};
};

LinkProxy::LinkProxy(asio::io_context &context, const Endpoint &from, const Endpoint &to)
    : m_context(context)
    , m_to(toAsio(to))
    , m_acceptor(context, toAsio(from))
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
    server->async_connect(m_to, [this, client, server](asio::error_code ec) {
        if (ec) {
            return;
        }
        asio::error_code ignored; // Without it the link is slower, not wrong.
        client->set_option(tcp::no_delay(true), ignored);
        server->set_option(tcp::no_delay(true), ignored);
        std::erase_if(m_open, [](const auto &it) { return it.expired(); });
        m_open.push_back(client);
        m_open.push_back(server);
        std::make_shared<Pump>(*this, client, server, isRequestCut)->read();
        std::make_shared<Pump>(*this, server, client, isAnswerCut)->read();
    });
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
