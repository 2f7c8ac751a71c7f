#pragma once

#include "Core/Clock.h"
#include "Core/VmInfo.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
#include <vector>

namespace firefly::soak {

/// A TCP link whose faults are switched from outside.
///
/// Bytes that a cut holds back arrive once it ends, also those of a sender that has gone meanwhile:
/// the receiver then carries out a request late.
class LinkProxy
{
public:
    /// Forwards connections to \a from to \a to.
    LinkProxy(asio::io_context &context, const Endpoint &from, const Endpoint &to);

    bool isRequestCut = false; ///< Nothing reaches the server.
    bool isAnswerCut = false;  ///< Nothing reaches the client.
    bool isRefusing = false;   ///< New connections are closed at once.
    Duration delay{};          ///< Of each piece of data, either way.
    /// Resets all open connections.
    void reset();

private:
    using Socket = asio::ip::tcp::socket;
    using SocketPtr = std::shared_ptr<Socket>;

    struct Pump;

    void accept();
    void connect(const SocketPtr &client);

    asio::io_context &m_context;
    asio::ip::tcp::endpoint m_to;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<Socket>> m_open;
};

} // namespace firefly::soak
