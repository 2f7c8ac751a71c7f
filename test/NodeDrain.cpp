#include "Node/NodeRuntime.h"
#include "Node/RequestRouter.h"
#include "platform/standins/PartnerWire.h"
#include "platform/standins/StoreStandin.h"
#include "platform/StoreClient.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace firefly {
namespace {

constexpr Duration Step = std::chrono::milliseconds(5);
/// Until the platform's load balancer sends no more connections: two failed checks, a second apart.
constexpr Duration BalancerDetectionTime = std::chrono::milliseconds(2500);
/// For the steps of the clock and the polls of the process.
constexpr Duration Tolerance = std::chrono::milliseconds(200);

/// A client's connection to a node; reads whatever comes.
class ClientConnection
{
public:
    ClientConnection(asio::io_context &context, const Endpoint &endpoint)
        : m_socket(context)
    {
        m_socket.connect({asio::ip::make_address(endpoint.address), endpoint.port});
        m_socket.non_blocking(true);
    }

    void send(std::string_view text) { asio::write(m_socket, asio::buffer(text)); }

    /// Submits \a job with a body of at least \a minBodySize bytes.
    void submit(const std::string &job, std::size_t minBodySize = 0)
    {
        std::string body = Body;
        body.resize(std::max(body.size(), minBodySize), ' ');
        send("POST /q/" + job + " HTTP/1.1\r\nHost: a.example\r\nContent-Length: "
             + std::to_string(body.size()) + "\r\nX-Deadline-Ms: 3000\r\n\r\n" + body);
    }

    void poll()
    {
        std::array<char, 4096> buf{};
        asio::error_code ec;
        while (!m_isClosed) {
            const std::size_t n = m_socket.read_some(asio::buffer(buf), ec);
            received.append(buf.data(), n);
            if (ec == asio::error::would_block) {
                return;
            }
            m_isClosed = static_cast<bool>(ec);
            m_isReset = m_isClosed && ec != asio::error::eof;
        }
    }

    bool isClosed() const { return m_isClosed; }
    /// Closed while the node had bytes that it hadn't read.
    bool isReset() const { return m_isReset; }
    bool isAnswered() const { return received.starts_with("HTTP/1.1 "); }

    std::string received;

private:
    static inline const std::string Body =
        R"({"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":1000}]})";
    asio::ip::tcp::socket m_socket;
    bool m_isClosed = false;
    bool m_isReset = false;
};

/// A node process whose configuration is known and whose cells have no owner, on a paused clock.
struct DrainingNode
{
    DrainingNode()
    {
        Clock::pause(TimePoint(std::chrono::hours(1)));
        FleetConfig config;
        config.version = 1;
        Route route;
        route.host = "a.example";
        route.pathPrefix = "/q/";
        route.timeout = std::chrono::milliseconds(3000);
        route.policy.queue = QueueName("q");
        config.routes.push_back(route);
        store.put("keyed.op", platform::ConfigKey, platform::encodeConfig(config));
        node = std::make_unique<NodeRuntime>(*nodeContext, settings);
        run(std::chrono::milliseconds(500));
    }

    ~DrainingNode()
    {
        exit();
        Clock::resume();
    }

    static NodeSettings makeSettings()
    {
        NodeSettings settings;
        settings.node = "n";
        settings.address = "127.0.0.1";
        settings.clientEndpoint = {"127.0.0.1", 18701};
        settings.readinessEndpoint = Endpoint{"127.0.0.1", 18702};
        settings.internalPorts = {18703, 18704};
        settings.storeEndpoint = {"127.0.0.1", 18700};
        return settings;
    }

    /// Runs both sides until nothing is ready.
    void settle()
    {
        for (int i = 0; i < 20; ++i) {
            nodeContext->poll();
            partners.poll();
            std::this_thread::sleep_for(std::chrono::microseconds(200));
        }
    }

    void run(Duration time)
    {
        for (Duration passed{}; passed < time; passed += Step) {
            Clock::advance(Step);
            for (asio::steady_timer *it : {&nodePoke, &partnersPoke}) {
                it->expires_after(std::chrono::seconds(0));
                it->async_wait([](asio::error_code) {});
            }
            for (int i = 0; i < 3; ++i) {
                nodeContext->poll();
                partners.poll();
            }
        }
        settle();
    }

    bool hasStopped() const { return nodeContext->stopped(); }

    /// Ends the process once its loop has ended.
    void exit()
    {
        node.reset();
        nodePoke.cancel();
        nodeContext.reset();
    }

    NodeSettings settings = makeSettings();
    asio::io_context partners{1};
    platform::StoreStandin store{partners};
    HttpServer storeServer{partners, settings.storeEndpoint, HttpLimits{},
                           [this](const HttpRequest &request, HttpServer::Respond respond) {
                               store.handle(request, std::move(respond));
                           }};
    std::unique_ptr<asio::io_context> nodeContext = std::make_unique<asio::io_context>(1);
    std::unique_ptr<NodeRuntime> node;
    asio::steady_timer nodePoke{*nodeContext};
    asio::steady_timer partnersPoke{partners};
};

/// Sends a request on a new connection every 50 ms from SIGTERM on, until the process ends.
struct SteadyClients
{
    explicit SteadyClients(DrainingNode &nodeIn)
        : node(nodeIn)
    {
        const TimePoint begin = Clock::now();
        for (; !node.hasStopped(); drainTime = Clock::now() - begin) {
            node.run(Interval);
            connect();
        }
        node.exit();
        std::ranges::for_each(accepted, [](const auto &it) { it->poll(); });
    }

    void connect()
    {
        constexpr int FirstJob = 1000;
        try {
            accepted.push_back(
                std::make_unique<ClientConnection>(node.partners, node.settings.clientEndpoint));
            accepted.back()->submit("0123456789ab" + std::to_string(FirstJob + accepted.size()));
        } catch (const asio::system_error &e) {
            EXPECT_EQ(e.code(), asio::error::connection_refused);
        }
    }

    static constexpr Duration Interval = std::chrono::milliseconds(50);
    DrainingNode &node;
    std::vector<std::unique_ptr<ClientConnection>> accepted;
    Duration drainTime{};
};

// A draining process took requests until the end of its grace period, so that some were always open
// and it ended in the middle of them (issue 33).
TEST(NodeDrain, EndsWithTheRequestsThatItHadTakenThoughClientsKeepComing)
{
    DrainingNode node;
    node.node->drain();
    const SteadyClients clients(node);
    EXPECT_LE(clients.drainTime, BalancerDetectionTime + RequestRouter::MaxOwnerWait + Tolerance);
    for (const auto &it : clients.accepted) {
        EXPECT_TRUE(it->isAnswered());
    }
}

// A client that held an open connection to a draining process used it 3.7 s after SIGTERM (issue
// 33).
TEST(NodeDrain, RequestOnAnOpenConnectionIsAnsweredAndClosesIt)
{
    DrainingNode node;
    ClientConnection early(node.partners, node.settings.clientEndpoint);
    ClientConnection late(node.partners, node.settings.clientEndpoint);
    node.settle();
    node.node->drain();
    node.run(BalancerDetectionTime - Tolerance);
    early.submit("0123456789abcdef");
    node.run(RequestRouter::MaxOwnerWait - Tolerance);
    late.submit("0123456789abcdee");
    node.run(RequestRouter::MaxOwnerWait + Tolerance);
    EXPECT_TRUE(node.hasStopped());
    for (ClientConnection *it : {&early, &late}) {
        it->poll();
        EXPECT_TRUE(it->isAnswered());
        EXPECT_TRUE(it->isClosed());
    }
}

// A request in several reads was read to its end by the process, and the loop was stopped before
// the handler of the last read ran (issue 33).
TEST(NodeDrain, RequestThatIsReadCompletelyAtTheLastPollIsAnswered)
{
    constexpr Duration DrainPollInterval = std::chrono::milliseconds(50);
    constexpr std::size_t SeveralReads = 6000;
    DrainingNode node;
    ClientConnection client(node.partners, node.settings.clientEndpoint);
    node.settle();
    node.node->drain();
    node.run(BalancerDetectionTime + DrainPollInterval - Step);
    ASSERT_FALSE(node.hasStopped());
    client.submit("0123456789abcdef", SeveralReads);
    node.run(RequestRouter::MaxOwnerWait + Tolerance);
    EXPECT_TRUE(node.hasStopped());
    node.exit();
    client.poll();
    EXPECT_TRUE(client.isAnswered() || client.isReset());
    EXPECT_TRUE(client.isClosed());
}

} // namespace
} // namespace firefly
