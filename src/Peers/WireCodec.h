#pragma once

#include "Calls/ForwardMessages.h"
#include "Membership/Heartbeat.h"
#include "Membership/HeartbeatReplyWithLists.h"
#include "Peers/generated/peers.capnp.h"

/// \file Conversion of messages between entries to and from Cap'n Proto.

namespace firefly::internal {

void writeHeartbeat(const Heartbeat &heartbeat, wire::Heartbeat::Builder builder);
Heartbeat readHeartbeat(wire::Heartbeat::Reader reader);

void writeHeartbeatReply(const HeartbeatReplyWithLists &reply,
                         wire::Peer::HeartbeatResults::Builder builder);
HeartbeatReplyWithLists readHeartbeatReply(wire::Peer::HeartbeatResults::Reader reader);

void writeCall(const ForwardedCall &call, wire::ForwardedCall::Builder builder);
ForwardedCall readCall(wire::ForwardedCall::Reader reader);

void writeResult(const ForwardedResult &result, wire::ForwardedResult::Builder builder);
ForwardedResult readResult(wire::ForwardedResult::Reader reader);

} // namespace firefly::internal
