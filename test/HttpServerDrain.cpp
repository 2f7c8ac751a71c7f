#include "Http.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

const Endpoint ServerEndpoint{"127.0.0.1", 18571};
/// More than the socket buffers of both sides hold.
constexpr std::size_t LargeBody = 32U << 20U;

/// A client's connection that reads only when it is told to.
class ClientConnection
{
public:
    ClientConnection()
        : m_socket(m_context)
    {
        m_socket.connect({asio::ip::make_address(ServerEndpoint.address), ServerEndpoint.port});
        m_socket.non_blocking(true);
    }

    void send(std::string_view text) { asio::write(m_socket, asio::buffer(text)); }
    void get() { send("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"); }
    void post(std::size_t bytes)
    {
        send("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: " + std::to_string(bytes)
             + "\r\n\r\n" + std::string(bytes, 'x'));
    }

    /// Closes the connection so that the server gets a reset.
    void reset()
    {
        m_socket.set_option(asio::socket_base::linger(true, 0));
        m_socket.close();
    }

    /// Reads what has arrived.
    void read()
    {
        std::array<char, 65536> buf{};
        asio::error_code ec;
        while (!m_isClosed) {
            const std::size_t n = m_socket.read_some(asio::buffer(buf), ec);
            received.append(buf.data(), n);
            if (ec == asio::error::would_block) {
                return;
            }
            m_isClosed = static_cast<bool>(ec);
        }
    }

    bool isClosed() const { return m_isClosed; }
    /// Status of the first response; 0 if none has arrived.
    int status() const
    {
        constexpr std::string_view Version = "HTTP/1.1 ";
        return received.starts_with(Version) ? std::stoi(received.substr(Version.size())) : 0;
    }

    std::string received;

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
    bool m_isClosed = false;
};

/// A server that keeps its requests until the test answers them.
struct HeldServer
{
    explicit HeldServer(const HttpLimits &limits = {})
        : server(context, ServerEndpoint, limits,
                 [this](const HttpRequest &, HttpServer::Respond respond) {
                     pending.push_back(std::move(respond));
                 })
    {
        context.poll();
    }

    /// Runs the server until \a isDone; false if that takes more than ten seconds.
    template <typename Condition>
    bool runUntil(Condition isDone)
    {
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (!isDone() && std::chrono::steady_clock::now() < end) {
            context.run_for(1ms);
            context.restart();
        }
        return isDone();
    }

    bool runUntilPending(std::size_t n)
    {
        return runUntil([this, n] { return pending.size() == n; });
    }
    bool runUntilOpen(std::size_t n)
    {
        return runUntil([this, n] { return server.openRequests() == n; });
    }
    bool runUntilAnswered(ClientConnection &client)
    {
        return runUntil([&client] {
            client.read();
            return client.status() != 0;
        });
    }

    /// Answers the oldest pending request.
    void answer(std::size_t bodyBytes = 0)
    {
        HttpResponse response;
        response.body = std::string(bodyBytes, 'x');
        std::exchange(pending.front(), nullptr)(std::move(response));
        pending.erase(pending.begin());
    }

    asio::io_context context;
    std::vector<HttpServer::Respond> pending;
    HttpServer server;
};

} // namespace

// A count that misses a request lets a draining process end before the response is written (issue
// 33); one that leaks keeps it from ending.
TEST(HttpServerDrain, RequestIsOpenFromItsArrivalUntilItsResponseIsWritten)
{
    HeldServer held;
    ClientConnection client;
    client.send("GET / HTTP/1.1\r\n");
    held.context.run_for(20ms);
    held.context.restart();
    EXPECT_EQ(held.server.openRequests(), 0U);
    client.send("Host: a.example\r\n\r\n");
    ASSERT_TRUE(held.runUntilPending(1));
    EXPECT_EQ(held.server.openRequests(), 1U);
    held.answer();
    EXPECT_TRUE(held.runUntilOpen(0));
    EXPECT_TRUE(held.runUntilAnswered(client));
}

// A reset connection could leave its request open for ever, so that a drain lasts until its limit.
TEST(HttpServerDrain, ResetBeforeTheResponseClosesTheRequestWithItsAnswer)
{
    HeldServer held;
    ClientConnection client;
    client.get();
    ASSERT_TRUE(held.runUntilPending(1));
    client.reset();
    held.answer(LargeBody);
    EXPECT_TRUE(held.runUntilOpen(0));
}

// A reset in the middle of a response could leave its request open for ever.
TEST(HttpServerDrain, ResetDuringTheResponseClosesTheRequest)
{
    HeldServer held;
    ClientConnection client;
    client.get();
    ASSERT_TRUE(held.runUntilPending(1));
    held.answer(LargeBody);
    ASSERT_TRUE(held.runUntilAnswered(client));
    EXPECT_EQ(held.server.openRequests(), 1U);
    client.reset();
    EXPECT_TRUE(held.runUntilOpen(0));
}

// An answer without a connection is never written, which could leave its request open for ever.
TEST(HttpServerDrain, AnswerAfterTheHandleTimeoutClosesTheRequest)
{
    HttpLimits limits;
    limits.handleTimeout = 10ms;
    HeldServer held(limits);
    ClientConnection client;
    client.get();
    ASSERT_TRUE(held.runUntilPending(1));
    ASSERT_TRUE(held.runUntil([&client] {
        client.read();
        return client.isClosed();
    }));
    EXPECT_EQ(client.status(), 0);
    EXPECT_EQ(held.server.openRequests(), 1U);
    held.answer();
    EXPECT_TRUE(held.runUntilOpen(0));
}

// A handler that drops its respond function could leave its request open for ever.
TEST(HttpServerDrain, DroppedRespondClosesTheRequest)
{
    HeldServer held;
    ClientConnection client;
    client.get();
    ASSERT_TRUE(held.runUntilPending(1));
    held.pending.clear();
    EXPECT_EQ(held.server.openRequests(), 0U);
}

// The body of a request whose respond function was dropped counted against the limit for ever.
TEST(HttpServerDrain, DroppedRespondFreesItsShareOfTheBufferLimit)
{
    HttpLimits limits;
    limits.maxBodyBytes = 100;
    limits.maxBufferedBytes = 100;
    HeldServer held(limits);
    ClientConnection first;
    first.post(100);
    ASSERT_TRUE(held.runUntilPending(1));
    held.pending.clear();
    ClientConnection second;
    second.post(100);
    EXPECT_TRUE(held.runUntilPending(1));
}

// An answer after the end of the server changed the counters of the destroyed server.
TEST(HttpServerDrain, AnswerAfterTheEndOfTheServerHasNoEffect)
{
    asio::io_context context;
    std::vector<HttpServer::Respond> pending;
    auto server =
        std::make_unique<HttpServer>(context, ServerEndpoint, HttpLimits{},
                                     [&pending](const HttpRequest &, HttpServer::Respond respond) {
                                         pending.push_back(std::move(respond));
                                     });
    context.poll();
    ClientConnection client;
    client.post(10);
    while (pending.empty()) {
        context.run_one();
    }
    server.reset();
    pending.front()(HttpResponse{});
}

// A response that a slow client was still reading didn't count, so that a process ended inside it.
TEST(HttpServerDrain, LargeResponseToASlowClientIsOpenUntilItIsWritten)
{
    HeldServer held;
    ClientConnection client;
    client.get();
    ASSERT_TRUE(held.runUntilPending(1));
    held.answer(LargeBody);
    held.context.run_for(100ms);
    held.context.restart();
    EXPECT_EQ(held.server.openRequests(), 1U);
    EXPECT_TRUE(held.runUntil([&] {
        client.read();
        return client.received.size() > LargeBody;
    }));
    EXPECT_TRUE(held.runUntilOpen(0));
    EXPECT_FALSE(client.isClosed());
}

// Responses by the server itself could be missing from the count, or stay in it.
TEST(HttpServerDrain, RejectionByTheServerIsOpenUntilItIsWritten)
{
    HttpLimits limits;
    limits.maxBodyBytes = 100;
    limits.maxBufferedBytes = 50;
    HeldServer held(limits);
    ClientConnection tooLarge;
    tooLarge.post(101);
    EXPECT_TRUE(held.runUntilAnswered(tooLarge));
    EXPECT_EQ(tooLarge.status(), 413);
    ClientConnection overloaded;
    overloaded.post(51);
    EXPECT_TRUE(held.runUntilAnswered(overloaded));
    EXPECT_EQ(overloaded.status(), 503);
    EXPECT_TRUE(held.runUntilOpen(0));
}

// A draining process took new connections until it ended, so that it never owed nothing (issue 33).
TEST(HttpServerDrain, StoppedServerRefusesNewConnectionsAndServesOpenOnes)
{
    HeldServer held;
    ClientConnection client;
    client.get();
    ASSERT_TRUE(held.runUntilPending(1));
    held.server.stopAccepting();
    held.context.poll();
    EXPECT_THROW(ClientConnection(), asio::system_error);
    held.answer();
    EXPECT_TRUE(held.runUntilAnswered(client));
    client.received.clear();
    client.get();
    ASSERT_TRUE(held.runUntilPending(1));
    held.answer();
    EXPECT_TRUE(held.runUntilAnswered(client));
    EXPECT_EQ(client.status(), 200);
}

// Without its timeouts a stopped server could wait for ever for a client that doesn't read.
TEST(HttpServerDrain, StoppedServerStillClosesConnectionsAfterTheHandleTimeout)
{
    HttpLimits limits;
    limits.handleTimeout = 10ms;
    HeldServer held(limits);
    ClientConnection client;
    client.get();
    ASSERT_TRUE(held.runUntilPending(1));
    held.server.stopAccepting();
    EXPECT_TRUE(held.runUntil([&client] {
        client.read();
        return client.isClosed();
    }));
}

// A connection that outlived its server used the destroyed handler and the destroyed acceptor.
TEST(HttpServerDrain, RequestAfterTheEndOfTheServerIsRejected)
{
    asio::io_context context;
    auto server =
        std::make_unique<HttpServer>(context, ServerEndpoint, HttpLimits{},
                                     [](const HttpRequest &, const HttpServer::Respond &) {});
    context.poll();
    ClientConnection client;
    context.run_for(20ms);
    server->stopAccepting();
    context.restart();
    context.poll();
    server.reset();
    client.get();
    for (int i = 0; i < 1000 && !client.isClosed(); ++i) {
        context.restart();
        context.run_for(1ms);
        client.read();
    }
    EXPECT_EQ(client.status(), 501);
    EXPECT_TRUE(client.isClosed());
}

// A server that was destroyed before its io_context ran opened its port with a destroyed handler.
TEST(HttpServerDrain, ServerDestroyedBeforeItOpensDoesNotListen)
{
    asio::io_context context;
    std::make_unique<HttpServer>(context, ServerEndpoint, HttpLimits{},
                                 [](const HttpRequest &, const HttpServer::Respond &) {})
        .reset();
    context.poll();
    EXPECT_THROW(ClientConnection(), asio::system_error);
}

} // namespace firefly
