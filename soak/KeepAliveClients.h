#pragma once

#include "SoakFleet.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace firefly::soak {

/// Clients that keep an open connection to each process and use it also while the process drains.
///
/// A request whose connection ends without a complete answer, although the process met nothing but
/// SIGTERM, is a violation.
class KeepAliveClients
{
public:
    KeepAliveClients(asio::io_context &context, SoakFleet &fleet, std::uint64_t seed);
    ~KeepAliveClients();
    KeepAliveClients(const KeepAliveClients &) = delete;
    KeepAliveClients &operator=(const KeepAliveClients &) = delete;

    /// Opens the connections; each is opened again when it has ended.
    void start();
    /// Sends no new requests; the open ones may still be answered.
    void stopSending() { m_isSending = false; }
    /// Number of connections and requests by outcome.
    std::string summary() const;

private:
    struct Connection;

    /// Text of a request for a random job; now and then a submission of a new one.
    std::string drawRequest();
    Duration drawPause();
    void addViolation(const SoakNode &node, TimePoint sentAt, std::size_t answerBytes);

    asio::io_context &m_context;
    SoakFleet &m_fleet;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Connection>> m_connections;
    std::uint64_t m_submitted = 0;
    int m_opened = 0;
    int m_answered = 0;
    int m_answeredDraining = 0; ///< Of these, sent after SIGTERM.
    int m_lost = 0;             ///< Without a complete answer, whatever the cause.
    bool m_isSending = true;
};

} // namespace firefly::soak
