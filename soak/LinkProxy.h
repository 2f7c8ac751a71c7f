#pragma once

#include "Core/Clock.h"
#include "Core/VmInfo.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace firefly::soak {

/// TCP proxy that injects faults into the connections that it forwards.
///
/// Data that was held back while a direction was blocked is delivered once it is unblocked, even if
/// the sender has closed meanwhile: the receiver then carries out a request late.  Whether this
/// also holds after a reset by the sender depends on dropsHeldDataOnReset.
class LinkProxy
{
public:
    /// Listens on \a listenEndpoint and forwards each connection to \a target.
    LinkProxy(asio::io_context &context, const Endpoint &listenEndpoint, const Endpoint &target);

    bool isRequestBlocked = false;  ///< Holds back data to the server.
    bool isResponseBlocked = false; ///< Holds back data to the client.
    bool isRefusing = false;        ///< Closes new connections at once.
    Duration delay{};               ///< Added to each block of data in both directions.
    /// A reset by the sender discards what is held back, as on a plain network link; otherwise it
    /// is delivered, as by a queue or proxy on the way.
    bool dropsHeldDataOnReset = false;
    /// Resets all open connections.
    void reset();

    /// Connections on which holdRequests() holds back data to the server.
    enum class Held { All, Open, New };
    /// Holds back requests until releaseRequests(), which delivers them to whatever then listens at
    /// the target, as a queue or proxy on the way would.
    void holdRequests(Held connections);
    void releaseRequests();
    bool isHolding() const { return m_heldBegin != m_heldEnd; }
    /// Resets the open connections whose requests aren't held.
    void resetOthers();

private:
    using Socket = asio::ip::tcp::socket;
    using SocketPtr = std::shared_ptr<Socket>;

    struct Forwarder;
    struct OpenSocket
    {
        std::uint64_t connection = 0;
        std::weak_ptr<Socket> socket;
    };

    bool isHeld(std::uint64_t connection) const
    {
        return connection >= m_heldBegin && connection < m_heldEnd;
    }
    static void reset(const OpenSocket &it);
    static void reset(Socket &socket);
    void accept();
    void connect(const SocketPtr &client);

    asio::io_context &m_context;
    asio::ip::tcp::endpoint m_target;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<OpenSocket> m_openSockets;
    std::uint64_t m_nextConnection = 0; ///< Connections are numbered in the order of acceptance.
    std::uint64_t m_heldBegin = 0;      ///< Requests of connections in [begin, end) are held.
    std::uint64_t m_heldEnd = 0;
};

} // namespace firefly::soak
