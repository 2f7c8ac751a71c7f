#include "soak/LinkProxy.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <string>
#include <string_view>

namespace firefly::soak {
namespace {

using asio::ip::tcp;

constexpr std::string_view Request = "a request";
constexpr Duration PollInterval = std::chrono::milliseconds(5);
/// Longer than the proxy takes to forward what it doesn't hold back.
constexpr Duration ForwardTime = std::chrono::milliseconds(100);

/// What the server of a connection has read, and how the connection ended.
struct Received
{
    std::string bytes;
    asio::error_code end;
};

/// A client and a server, connected by a proxy.
class ProxiedConnection
{
public:
    explicit ProxiedConnection(bool dropsHeldDataOnReset)
        : m_acceptor(m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_proxyPort(unusedPort())
        , m_proxy(m_context, {"127.0.0.1", m_proxyPort}, {"127.0.0.1", port(m_acceptor)})
        , m_client(m_context)
        , m_server(m_context)
    {
        m_proxy.dropsHeldDataOnReset = dropsHeldDataOnReset;
        bool isConnected = false;
        m_acceptor.async_accept(m_server,
                                [&isConnected](asio::error_code ec) { isConnected = !ec; });
        m_client.connect({asio::ip::address_v4::loopback(), m_proxyPort});
        while (!isConnected) {
            m_context.run_for(PollInterval);
        }
    }

    void hold() { m_proxy.holdRequests(LinkProxy::Held::All); }
    void release() { m_proxy.releaseRequests(); }

    void send()
    {
        asio::write(m_client, asio::buffer(Request));
        m_context.run_for(ForwardTime);
    }

    void closeClient()
    {
        m_client.close();
        m_context.run_for(ForwardTime);
    }

    void resetClient()
    {
        m_client.set_option(tcp::socket::linger(true, 0));
        closeClient();
    }

    /// Everything that the server gets until the connection ends.
    Received receive()
    {
        Received received;
        read(received);
        while (!received.end) {
            m_context.run_for(PollInterval);
        }
        return received;
    }

private:
    static std::uint16_t port(const tcp::acceptor &acceptor)
    {
        return acceptor.local_endpoint().port();
    }

    std::uint16_t unusedPort()
    {
        return port(tcp::acceptor(m_context, {asio::ip::address_v4::loopback(), 0}));
    }

    void read(Received &received)
    {
        m_server.async_read_some(asio::buffer(m_buf),
                                 [this, &received](asio::error_code ec, std::size_t n) {
                                     received.bytes.append(m_buf, 0, n);
                                     received.end = ec;
                                     if (!ec) {
                                         read(received);
                                     }
                                 });
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::uint16_t m_proxyPort;
    LinkProxy m_proxy;
    tcp::socket m_client;
    tcp::socket m_server;
    std::string m_buf = std::string(1024, '\0');
};

} // namespace

TEST(LinkProxy, HeldDataOfAResetSenderIsDelivered)
{
    ProxiedConnection connection(false);
    connection.hold();
    connection.send();
    connection.resetClient();
    connection.release();

    EXPECT_EQ(connection.receive().bytes, Request);
}

TEST(LinkProxy, HeldDataOfAResetSenderIsDroppedByALinkThatDrops)
{
    ProxiedConnection connection(true);
    connection.hold();
    connection.send();
    connection.resetClient();
    connection.release();

    const Received received = connection.receive();
    EXPECT_EQ(received.bytes, "");
    EXPECT_EQ(received.end, asio::error::connection_reset);
}

TEST(LinkProxy, HeldDataOfAClosedSenderIsDeliveredByALinkThatDrops)
{
    ProxiedConnection connection(true);
    connection.hold();
    connection.send();
    connection.closeClient();
    connection.release();

    EXPECT_EQ(connection.receive().bytes, Request);
}

TEST(LinkProxy, DataBeforeAResetThatWasNotHeldIsDelivered)
{
    ProxiedConnection connection(true);
    connection.send();
    connection.hold();
    connection.resetClient();
    connection.release();

    EXPECT_EQ(connection.receive().bytes, Request);
}

} // namespace firefly::soak
