#pragma once

#include "Config/ListsFold.h"
#include "Membership/Heartbeat.h"

#include <optional>

namespace firefly {

/// A HeartbeatReply plus the replying entry's plan and limit lists if they are newer.
struct HeartbeatReplyWithLists
{
    HeartbeatReply reply;
    std::optional<OperatorLists> lists;
};

} // namespace firefly
