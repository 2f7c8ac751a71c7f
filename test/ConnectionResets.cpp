#include "Adapters/CurlLoop.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <optional>
#include <string>
#include <thread>
#include <utility>

using namespace firefly;

namespace {

using asio::ip::tcp;

constexpr Duration LongTimeout = std::chrono::minutes(5);
constexpr Duration ShortTimeout = std::chrono::milliseconds(200);
constexpr Duration PollInterval = std::chrono::milliseconds(5);
/// More than the buffers of both sockets hold, so that a part stays unacknowledged.
constexpr std::size_t LargeBodyBytes = 32U << 20U;
/// Size of the server's receive buffer, which can't hold the whole of a large request.
constexpr std::size_t SmallWindowBytes = 16384;

/// Loopback server that accepts one connection and reads nothing until it is told to.
class PassiveServer
{
public:
    explicit PassiveServer(asio::io_context &context)
        : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_socket(context)
    {
        m_acceptor.set_option(
            asio::socket_base::receive_buffer_size(static_cast<int>(SmallWindowBytes)));
        m_acceptor.async_accept(m_socket, [this](asio::error_code ec) { m_hasConnection = !ec; });
    }

    Endpoint endpoint() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    bool hasConnection() const { return m_hasConnection; }
    /// True once a part of the request has arrived.
    bool hasReceived() const { return m_hasConnection && bytesWaiting() > 0; }

    /// Blocks until the headers and \a bodyBytes of the body have been read.
    void readRequest(std::size_t bodyBytes)
    {
        std::string received;
        const std::size_t headerBytes =
            asio::read_until(m_socket, asio::dynamic_buffer(received), "\r\n\r\n");
        const std::size_t bodyRead = received.size() - headerBytes;
        asio::read(m_socket, asio::dynamic_buffer(received),
                   asio::transfer_exactly(bodyBytes - bodyRead));
    }

    void respond(const std::string &bytes) { asio::write(m_socket, asio::buffer(bytes)); }

    /// Reads until the connection ends; returns how it ended.
    asio::error_code readToEnd()
    {
        asio::error_code ec;
        std::string buf(1U << 16U, '\0');
        while (!ec) {
            m_bytesRead += m_socket.read_some(asio::buffer(buf), ec);
        }
        return ec;
    }

    std::size_t bytesRead() const { return m_bytesRead; }

    /// Bytes that have arrived and not been read.
    std::size_t bytesWaiting() const { return m_socket.available(); }

private:
    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    bool m_hasConnection = false;
    std::size_t m_bytesRead = 0;
};

HttpExchange postTo(const PassiveServer &server, Duration timeout, std::size_t bodyBytes = 2)
{
    HttpExchange exchange;
    exchange.method = "POST";
    exchange.url = baseUrl(server.endpoint()) + "/x";
    exchange.body = std::string(bodyBytes, 'x');
    exchange.timeout = timeout;
    return exchange;
}

class ConnectionResets : public testing::Test
{
protected:
    void start(HttpExchange request)
    {
        loop->start(std::move(request),
                    [this](HttpResult result) { received = std::move(result); });
    }

    template <typename Condition>
    void runUntil(Condition condition)
    {
        while (!condition()) {
            context.run_for(PollInterval);
        }
    }

    HttpResult exchange(HttpExchange request)
    {
        start(std::move(request));
        runUntil([this] { return received.has_value(); });
        return *received;
    }

    asio::io_context context;
    std::optional<CurlLoop> loop{std::in_place, context};
    std::optional<HttpResult> received;
    PassiveServer server{context};
};

} // namespace

TEST_F(ConnectionResets, ExchangeThatTimesOutResetsItsConnection)
{
    EXPECT_EQ(exchange(postTo(server, ShortTimeout)).state, ExchangeState::Uncertain);

    EXPECT_EQ(server.readToEnd(), asio::error::connection_reset);
}

TEST_F(ConnectionResets, ExchangeThatTimesOutDiscardsWhatThePeerHasNotTaken)
{
    EXPECT_EQ(exchange(postTo(server, ShortTimeout, LargeBodyBytes)).state,
              ExchangeState::Uncertain);
    const std::size_t bytesArrived = server.bytesWaiting();

    EXPECT_EQ(server.readToEnd(), asio::error::connection_reset);
    EXPECT_EQ(server.bytesRead(), bytesArrived);
}

TEST_F(ConnectionResets, ExchangeWhoseResponseIsTooLongResetsItsConnection)
{
    HttpExchange request = postTo(server, LongTimeout);
    request.maxResponseBytes = 9;
    start(request);
    runUntil([this] { return server.hasReceived(); });
    server.respond("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789");
    runUntil([this] { return received.has_value(); });

    EXPECT_EQ(received->state, ExchangeState::Uncertain);
    EXPECT_EQ(server.readToEnd(), asio::error::connection_reset);
}

TEST_F(ConnectionResets, LoopThatEndsResetsTheConnectionOfAnExchangeInFlight)
{
    start(postTo(server, LongTimeout));
    runUntil([this] { return server.hasReceived(); });
    loop.reset();

    EXPECT_EQ(server.readToEnd(), asio::error::connection_reset);
}

TEST_F(ConnectionResets, ProcessThatIsKilledResetsTheConnectionOfAnExchangeInFlight)
{
    const pid_t child = ::fork();
    ASSERT_GE(child, 0);
    if (child == 0) {
        asio::io_context childContext;
        CurlLoop childLoop(childContext);
        childLoop.start(postTo(server, LongTimeout), [](const HttpResult &) {});
        childContext.run();
        ::_exit(0);
    }
    runUntil([this] { return server.hasReceived(); });
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);

    EXPECT_EQ(server.readToEnd(), asio::error::connection_reset);
}

/// The reset of the connection afterwards takes nothing from either side.
TEST_F(ConnectionResets, CompleteExchangeIsWholeOnBothSides)
{
    const std::string body(LargeBodyBytes / 8, 'y');
    HttpExchange request = postTo(server, LongTimeout, 10 * SmallWindowBytes);
    request.maxResponseBytes = body.size();
    start(request);
    runUntil([this] { return server.hasConnection(); });
    std::thread responder([this, &request, &body] {
        server.readRequest(request.body.size());
        server.respond("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                       + "\r\nConnection: close\r\n\r\n" + body);
    });
    runUntil([this] { return received.has_value(); });
    responder.join();

    EXPECT_TRUE(received->isSuccess());
    EXPECT_EQ(received->body, body);
}
