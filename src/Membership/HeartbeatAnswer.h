#pragma once

#include "Config/ListsFold.h"
#include "Membership/Heartbeat.h"

#include <optional>

namespace firefly {

/// A heartbeat's reply, with the lists in force on the replier when they are newer.
struct HeartbeatAnswer
{
    HeartbeatReply reply;
    std::optional<ListsVersion> lists;
};

} // namespace firefly
