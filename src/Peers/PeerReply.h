#pragma once

#include "Config/ListsFold.h"
#include "Membership/Heartbeat.h"

#include <optional>

namespace firefly {

/// A peer's reply to a heartbeat, with the lists it has in force when they are newer.
struct PeerReply
{
    HeartbeatReply reply;
    std::optional<ListsVersion> lists;
};

} // namespace firefly
