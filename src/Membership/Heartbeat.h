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
    std::int64_t freeSlots = 0; ///< Urgent calls that the owner accepts from other entries.
};

/// The current term of a shard.
struct ShardTerm
{
    ShardId shard;
    Term term = 0;

    bool operator==(const ShardTerm &) const = default;
};

/// State that an entry reports about itself in heartbeat requests and replies.
struct Heartbeat
{
    EntryId from;
    WriterId writer; ///< Identifies the sender's incarnation.
    ZoneId zone;
    bool draining = false;
    bool logReachable = false;
    bool acceptsShards = false; ///< May claim shards: PeerTable::isSettled() and not draining.
    Offset lastReadOffset = 0;  ///< Every log record up to this offset has been applied.
    /// Time from when the sender issued its last successful read of the log's tail to when it built
    /// this message; none while this incarnation has not read up to the tail yet.
    std::optional<Duration> logProofAge;
    std::vector<OwnedShard> shards;
    Offset plansVersion = 0;
    Offset limitsVersion = 0;
    std::vector<EntryId> reaches; ///< Entries that recently replied to the sender.
};

/// Reply to a Heartbeat request.
struct HeartbeatReply
{
    Heartbeat heartbeat;
    /// Shards of the request for which the replying entry has applied a claim with a later term.
    std::vector<ShardTerm> superseded;
};

} // namespace firefly
