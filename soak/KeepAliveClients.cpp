#include "KeepAliveClients.h"

#include "platform/standins/PartnerWire.h"

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace firefly::soak {
namespace {

using asio::ip::tcp;

constexpr int ConnectionsPerNode = 3;
constexpr Duration ReconnectDelay = std::chrono::milliseconds(50);
/// Mean of the pause after an answer, for each process, so that the load doesn't grow with them.
constexpr Duration PausePerNode = std::chrono::milliseconds(200);
constexpr Duration MaxMeanPause = std::chrono::milliseconds(2000);
/// A connection that is left idle is used again in this time, or not before the process is gone.
constexpr Duration MaxIdleTime = std::chrono::milliseconds(12000);
constexpr double IdleShare = 0.15;
constexpr double SubmitShare = 0.15;
/// A request may be lost if it is sent this long before the end of its connection.
constexpr Duration LossSlack = std::chrono::milliseconds(200);
/// Other faults of the process within this time before a request excuse its loss.
constexpr Duration DisturbanceMemory = std::chrono::milliseconds(3000);

/// True if \a text is a whole response; one without a length never is.
bool isCompleteResponse(std::string_view text)
{
    constexpr std::string_view LengthName = "content-length:";
    const std::size_t end = text.find("\r\n\r\n");
    if (end == std::string_view::npos) {
        return false;
    }
    std::string head(text.substr(0, end));
    std::ranges::transform(head, head.begin(), [](unsigned char c) { return std::tolower(c); });
    const std::size_t at = head.find(LengthName);
    if (at == std::string::npos) {
        return false;
    }
    const std::size_t first = head.find_first_not_of(' ', at + LengthName.size());
    std::size_t length = 0;
    if (first == std::string::npos
        || std::from_chars(head.data() + first, head.data() + head.size(), length).ec
               != std::errc{}) {
        return false;
    }
    return text.size() >= end + 4 + length;
}

std::string milliseconds(Duration time)
{
    return std::to_string(time.count() / 1000) + " ms";
}

} // namespace

/// One connection to a process, with at most one open request.
struct KeepAliveClients::Connection
{
    Connection(KeepAliveClients &clientsIn, const SoakNode &nodeIn)
        : clients(clientsIn)
        , node(nodeIn)
        , socket(clientsIn.m_context)
        , timer(clientsIn.m_context)
    {}

    void open()
    {
        const Endpoint &to = node.settings.clientEndpoint;
        received.clear();
        sentAt = {};
        socket.async_connect({asio::ip::make_address(to.address), to.port},
                             [this](asio::error_code ec) {
                                 if (ec) {
                                     reopen();
                                     return;
                                 }
                                 ++clients.m_opened;
                                 read();
                                 waitToSend();
                             });
    }

    void reopen()
    {
        asio::error_code ignored; // The socket is replaced.
        socket.close(ignored);
        timer.expires_after(ReconnectDelay);
        timer.async_wait([this](asio::error_code ec) {
            if (!ec) {
                open();
            }
        });
    }

    void waitToSend()
    {
        timer.expires_after(clients.drawPause());
        timer.async_wait([this](asio::error_code ec) {
            if (!ec && clients.m_isSending) {
                send();
            }
        });
    }

    void send()
    {
        request = clients.drawRequest();
        // Written at once, as it is small and the last request has been answered.
        asio::async_write(socket, asio::buffer(request), [](asio::error_code, std::size_t) {});
        sentAt = Clock::now();
        isSentDraining = node.terminatedAt != TimePoint{};
    }

    void read()
    {
        socket.async_read_some(asio::buffer(buf), [this](asio::error_code ec, std::size_t n) {
            received.append(buf.data(), n);
            if (sentAt != TimePoint{} && isCompleteResponse(received)) {
                ++clients.m_answered;
                clients.m_answeredDraining += isSentDraining ? 1 : 0;
                received.clear();
                sentAt = {};
                waitToSend();
            }
            if (ec) {
                onEnd();
            } else {
                read();
            }
        });
    }

    void onEnd()
    {
        if (sentAt != TimePoint{}) {
            ++clients.m_lost;
            if (Clock::now() - sentAt > LossSlack
                && !node.isDisturbedSince(sentAt - DisturbanceMemory)) {
                clients.addViolation(node, sentAt, received.size());
            }
        }
        reopen();
    }

    KeepAliveClients &clients;
    const SoakNode &node;
    tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, 4096> buf{};
    std::string request;
    std::string received;
    TimePoint sentAt{}; ///< Zero if no request is open.
    bool isSentDraining = false;
};

KeepAliveClients::KeepAliveClients(asio::io_context &context, SoakFleet &fleet, std::uint64_t seed)
    : m_context(context)
    , m_fleet(fleet)
    , m_random(seed)
{}

KeepAliveClients::~KeepAliveClients() = default;

void KeepAliveClients::start()
{
    for (const SoakNode &node : m_fleet.nodes) {
        for (int i = 0; i < ConnectionsPerNode; ++i) {
            m_connections.push_back(std::make_unique<Connection>(*this, node));
            m_connections.back()->open();
        }
    }
}

std::string KeepAliveClients::summary() const
{
    return "kept connections " + std::to_string(m_opened) + ", answered "
           + std::to_string(m_answered) + ", of these sent after SIGTERM "
           + std::to_string(m_answeredDraining) + ", not answered " + std::to_string(m_lost);
}

std::string KeepAliveClients::drawRequest()
{
    constexpr std::uint64_t FirstJob = 9'000'000'000'000'000;
    std::string job = std::to_string(FirstJob + m_random() % (m_submitted + 1));
    std::string method = "GET";
    std::string body;
    if (std::bernoulli_distribution(SubmitShare)(m_random)) {
        job = std::to_string(FirstJob + ++m_submitted);
        JobSpec spec;
        spec.payload = "work";
        spec.policy.maxAttempts = 4;
        StepSpec step;
        step.taskCount = 1;
        step.demand = {500, 100, 0};
        step.estimateMs = 1300;
        spec.steps.push_back(step);
        body = platform::encodeJob(spec);
        method = "POST";
        m_fleet.audit.specs[job] = std::move(spec);
    }
    return method + " " + SoakFleet::PathPrefix + job + " HTTP/1.1\r\nHost: " + SoakFleet::Host
           + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

Duration KeepAliveClients::drawPause()
{
    const auto nodes = static_cast<Duration::rep>(m_fleet.nodes.size());
    const bool isIdle = std::bernoulli_distribution(IdleShare)(m_random);
    const Duration max = isIdle ? MaxIdleTime : 2 * std::min(PausePerNode * nodes, MaxMeanPause);
    return Duration(std::uniform_int_distribution<Duration::rep>(0, max.count())(m_random));
}

void KeepAliveClients::addViolation(const SoakNode &node, TimePoint sentAt, std::size_t answerBytes)
{
    const std::string origin =
        node.terminatedAt == TimePoint{}
            ? "without SIGTERM"
            : "sent " + milliseconds(sentAt - node.terminatedAt) + " after SIGTERM";
    m_fleet.audit.violations.push_back(
        "connection closed without an answer: " + node.settings.node + ", request " + origin
        + ", closed " + milliseconds(Clock::now() - sentAt) + " after it, "
        + std::to_string(answerBytes) + " bytes received, log " + node.process->lastLogLine());
}

} // namespace firefly::soak
