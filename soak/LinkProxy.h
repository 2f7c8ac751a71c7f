#pragma once

#include "Core/Clock.h"
#include "Core/VmInfo.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
#include <vector>

namespace firefly::soak {

/// TCP proxy that injects faults into the connections that it forwards.
///
/// Data that was held back while a direction was blocked is delivered once it is unblocked, even if
/// the sender has closed meanwhile: the receiver then carries out a request late.
class LinkProxy
{
public:
    /// Listens on \a listenEndpoint and forwards each connection to \a target.
    LinkProxy(asio::io_context &context, const Endpoint &listenEndpoint, const Endpoint &target);

    bool isRequestBlocked = false;  ///< Holds back data to the server.
    bool isResponseBlocked = false; ///< Holds back data to the client.
    bool isRefusing = false;        ///< Closes new connections at once.
    Duration delay{};               ///< Added to each block of data in both directions.
    /// Resets all open connections.
    void reset();

private:
    using Socket = asio::ip::tcp::socket;
    using SocketPtr = std::shared_ptr<Socket>;

    struct Forwarder;

    void accept();
    void connect(const SocketPtr &client);

    asio::io_context &m_context;
    asio::ip::tcp::endpoint m_target;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<Socket>> m_openSockets;
};

} // namespace firefly::soak
