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

/// This entry's end of the calls between entries.
///
/// Cap'n Proto RPC runs on a thread of its own with kj's event loop; every callback of this class
/// runs on the io_context.  Each exchange has a deadline.  A connection on which an exchange failed
/// is not used for new ones, so a silent connection is replaced by the next exchange.
class PeerNode
{
public:
    using HeartbeatHandler = std::function<HeartbeatReplyWithLists(const Heartbeat &)>;
    using ForwardDone = std::function<void(ForwardedResult)>;
    using ForwardHandler = std::function<void(ForwardedCall, ForwardDone)>;

    /// Listens on \a listen.
    /// \throws std::runtime_error when the endpoint can't be bound.
    PeerNode(asio::io_context &context, const Endpoint &listen, HeartbeatHandler onHeartbeat,
             ForwardHandler onForward);
    ~PeerNode();
    PeerNode(const PeerNode &) = delete;
    PeerNode &operator=(const PeerNode &) = delete;

    /// Sends a heartbeat; \a done gets the reply, or nothing after a failure or \a timeout.
    void heartbeat(const Endpoint &peer, const Heartbeat &heartbeat, Duration timeout,
                   std::function<void(std::optional<HeartbeatReplyWithLists>)> done);

    /// Hands a call to \a peer.  The result is NotSent when the peer surely never got it, and
    /// Uncertain when no whole reply came in time.
    void forward(const Endpoint &peer, ForwardedCall call, Duration timeout, ForwardDone done);

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace firefly
