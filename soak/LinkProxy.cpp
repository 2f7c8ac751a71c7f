#include "LinkProxy.h"

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <sys/socket.h>

#include <array>
#include <limits>
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
              std::uint64_t connectionIn, bool isToServerIn)
        : proxy(proxyIn)
        , source(std::move(sourceIn))
        , sink(std::move(sinkIn))
        , connection(connectionIn)
        , isToServer(isToServerIn)
        , timer(proxyIn.m_context)
    {}

    bool isBlocked() const
    {
        return isToServer ? proxy.isRequestBlocked || proxy.isHeld(connection)
                          : proxy.isResponseBlocked;
    }

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
        if (isBlocked()) {
            isHeldBack = true;
            deliverAfter(BlockedPollInterval, ec, n);
            return;
        }
        const bool isDropped =
            std::exchange(isHeldBack, false) && proxy.dropsHeldDataOnReset && hasSenderReset(ec);
        if (isDropped) {
            reset(*source);
            reset(*sink);
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

    /// True if the sender has reset the connection, given the result of the last read: a reset that
    /// came after the data shows only at the socket.
    bool hasSenderReset(asio::error_code readResult) const
    {
        if (readResult) {
            return readResult != asio::error::eof;
        }
        int error = 0;
        socklen_t size = sizeof(error);
        ::getsockopt(source->native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
        return error != 0;
    }

    const LinkProxy &proxy;
    SocketPtr source;
    SocketPtr sink;
    std::uint64_t connection;
    bool isToServer;
    bool isHeldBack = false; ///< The data in buf has been held back.
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
        const std::uint64_t connection = m_nextConnection++;
        std::erase_if(m_openSockets, [](const OpenSocket &it) { return it.socket.expired(); });
        m_openSockets.push_back({connection, client});
        m_openSockets.push_back({connection, server});
        std::make_shared<Forwarder>(*this, client, server, connection, true)->read();
        std::make_shared<Forwarder>(*this, server, client, connection, false)->read();
    });
}

void LinkProxy::reset()
{
    for (const OpenSocket &it : m_openSockets) {
        reset(it);
    }
    m_openSockets.clear();
}

void LinkProxy::resetOthers()
{
    for (const OpenSocket &it : m_openSockets) {
        if (!isHeld(it.connection)) {
            reset(it);
        }
    }
}

void LinkProxy::reset(const OpenSocket &it)
{
    if (const SocketPtr socket = it.socket.lock()) {
        reset(*socket);
    }
}

void LinkProxy::reset(Socket &socket)
{
    asio::error_code ignored; // A closed socket needs no reset.
    socket.set_option(tcp::socket::linger(true, 0), ignored);
    socket.close(ignored);
}

void LinkProxy::holdRequests(Held connections)
{
    m_heldBegin = connections == Held::New ? m_nextConnection : 0;
    m_heldEnd =
        connections == Held::Open ? m_nextConnection : std::numeric_limits<std::uint64_t>::max();
}

void LinkProxy::releaseRequests()
{
    m_heldBegin = 0;
    m_heldEnd = 0;
}

} // namespace firefly::soak
