#include "Runtime.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <string>
#include <string_view>
#include <thread>

namespace firefly {
namespace {

constexpr Duration Step = std::chrono::milliseconds(5);
/// Until the load balancer has seen the failing health check.
constexpr Duration BalancerDetectionTime = std::chrono::seconds(1);
/// From the last answer to the end of the process.
constexpr Duration ExitTime = std::chrono::milliseconds(400);

Settings makeSettings()
{
    Settings settings;
    settings.entry = {EntryId("e"), ZoneId("z")};
    settings.listen.callers = {"127.0.0.1", 18581};
    settings.listen.operators = {"127.0.0.1", 18582};
    settings.listen.peers = {"127.0.0.1", 18583};
    settings.operators.token = "0123456789abcdef";
    settings.platform.log = {"127.0.0.1", 18584};
    settings.platform.vms = {"127.0.0.1", 18585};
    ServiceSettings service;
    service.idempotent = true;
    settings.services.emplace(ServiceId("s"), service);
    return settings;
}

/// An entry process without workers, log and VM list, on a paused clock.
struct EntryProcess
{
    EntryProcess() { run(std::chrono::milliseconds(100)); }

    void run(Duration time)
    {
        for (Duration passed{}; passed < time; passed += Step) {
            Clock::advance(Step);
            // The reactor reads the paused clock only when another timer wakes it.
            poke.expires_after(std::chrono::seconds(0));
            poke.async_wait([](asio::error_code) {});
            for (int i = 0; i < 3; ++i) {
                context.poll();
                std::this_thread::sleep_for(std::chrono::microseconds(100));
            }
        }
    }

    bool hasStopped() const { return context.stopped(); }

    struct PausedClock
    {
        PausedClock() { Clock::pause(TimePoint(std::chrono::hours(1))); }
        ~PausedClock() { Clock::resume(); }
    } clock;
    Settings settings = makeSettings();
    asio::io_context context{1};
    asio::steady_timer poke{context};
    EntryRuntime runtime{context, settings};
};

/// A caller's connection to an entry process.
class CallerConnection
{
public:
    CallerConnection(asio::io_context &context, const Endpoint &endpoint)
        : m_socket(context)
    {
        m_socket.connect({asio::ip::make_address(endpoint.address), endpoint.port});
        m_socket.non_blocking(true);
    }

    /// Makes a call, which is refused as there is no worker.
    void call()
    {
        const std::string_view text = "POST /v1/services/s/calls HTTP/1.1\r\n"
                                      "Host: a.example\r\n"
                                      "Firefly-Customer: c\r\n"
                                      "Firefly-Deadline-Ms: 800\r\n"
                                      "Content-Length: 2\r\n\r\n{}";
        asio::write(m_socket, asio::buffer(text));
    }

    void read()
    {
        std::array<char, 4096> buf{};
        asio::error_code ec;
        while (!m_isClosed) {
            const std::size_t n = m_socket.read_some(asio::buffer(buf), ec);
            m_received.append(buf.data(), n);
            if (ec == asio::error::would_block) {
                return;
            }
            m_isClosed = static_cast<bool>(ec);
        }
    }

    bool isClosed() const { return m_isClosed; }
    bool isAnswered() const { return m_received.starts_with("HTTP/1.1 "); }

private:
    asio::ip::tcp::socket m_socket;
    std::string m_received;
    bool m_isClosed = false;
};

} // namespace

// A draining entry kept the connections of its callers, which went on to use them.
TEST(EntryRuntimeDrain, AnswerOfADrainingEntryClosesTheConnection)
{
    EntryProcess entry;
    asio::io_context callers;
    CallerConnection caller(callers, entry.settings.listen.callers);
    entry.run(std::chrono::milliseconds(50));
    entry.runtime.drain();
    entry.run(BalancerDetectionTime + std::chrono::milliseconds(50));
    caller.call();
    entry.run(std::chrono::milliseconds(50));
    caller.read();
    EXPECT_TRUE(caller.isAnswered());
    EXPECT_TRUE(caller.isClosed());
}

// A drained entry took new connections until it ended, whose requests it could not answer.
TEST(EntryRuntimeDrain, NewConnectionIsRefusedOnceTheBalancerHasNoticed)
{
    EntryProcess entry;
    asio::io_context callers;
    entry.runtime.drain();
    entry.run(BalancerDetectionTime - std::chrono::milliseconds(50));
    EXPECT_NO_THROW(CallerConnection(callers, entry.settings.listen.callers));
    entry.run(std::chrono::milliseconds(100));
    EXPECT_FALSE(entry.hasStopped());
    EXPECT_THROW(CallerConnection(callers, entry.settings.listen.callers), asio::system_error);
    entry.run(ExitTime);
    EXPECT_TRUE(entry.hasStopped());
}

} // namespace firefly
