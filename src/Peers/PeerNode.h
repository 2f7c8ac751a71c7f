#pragma once

#include "Calls/ForwardMessages.h"
#include "Core/Clock.h"
#include "Core/VmInfo.h"
#include "Membership/Heartbeat.h"
#include "Membership/HeartbeatReplyWithLists.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace firefly {

/// Sends and serves heartbeats and forwarded calls between this entry and its peers.
///
/// Cap'n Proto RPC runs on its own thread with a kj event loop; every callback of this class runs
/// on the io_context.  Every request has a timeout.  A connection on which a request failed is not
/// used for new requests, so the next request replaces an unresponsive connection.
class PeerNode
{
public:
    using HeartbeatHandler = std::function<HeartbeatReplyWithLists(const Heartbeat &)>;
    using ForwardCallback = std::function<void(ForwardedResult)>;
    using ForwardHandler = std::function<void(ForwardedCall, ForwardCallback)>;

    /// Listens on \a listen.
    /// \throws std::runtime_error if the endpoint cannot be bound.
    PeerNode(asio::io_context &context, const Endpoint &listen, HeartbeatHandler onHeartbeat,
             ForwardHandler onForward);
    ~PeerNode();
    PeerNode(const PeerNode &) = delete;
    PeerNode &operator=(const PeerNode &) = delete;

    /// Sends a heartbeat; \a done receives the reply, or nullopt after an error or \a timeout.
    void heartbeat(const Endpoint &peer, const Heartbeat &heartbeat, Duration timeout,
                   std::function<void(std::optional<HeartbeatReplyWithLists>)> done);

    /// Forwards a call to \a peer.  The result is NotSent if the peer certainly never received it,
    /// and Uncertain if no complete reply arrived within \a timeout.
    void forward(const Endpoint &peer, ForwardedCall call, Duration timeout, ForwardCallback done);

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace firefly
