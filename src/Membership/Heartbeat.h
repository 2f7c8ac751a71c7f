#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace firefly {

/// A shard that the sender of a Heartbeat owns.
struct OwnedShard
{
    ShardId shard;
    Term term = 0;
    std::int64_t freeSlots = 0; ///< Urgent calls that the owner takes from other entries.
};

/// The current term of a shard.
struct ShardTerm
{
    ShardId shard;
    Term term = 0;

    bool operator==(const ShardTerm &) const = default;
};

/// What an entry says about itself, in the request and in the reply of a heartbeat exchange.
struct Heartbeat
{
    EntryId from;
    WriterId writer; ///< Incarnation of the sender.
    ZoneId zone;
    bool draining = false;
    bool logReachable = false;
    bool acceptsShards = false; ///< May claim: settled in the VM list and not draining.
    Offset lastReadOffset = 0;  ///< Every record up to this offset is applied.
    /// Time since the sender sent its last successful read of the log's tail, measured when this
    /// message was made; none when this incarnation has not reached the tail yet.
    std::optional<Duration> logProofAge;
    std::vector<OwnedShard> shards;
    Offset plansVersion = 0;
    Offset limitsVersion = 0;
    std::vector<EntryId> reaches; ///< Entries that answered the sender recently.
};

/// Reply to a Heartbeat request.
struct HeartbeatReply
{
    Heartbeat heartbeat;
    /// Shards in the request for which the replier has applied a later claim.
    std::vector<ShardTerm> superseded;
};

} // namespace firefly
