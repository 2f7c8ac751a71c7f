#pragma once

#include "Core/Id.h"
#include "Membership/Heartbeat.h"
#include "Records/Fold.h"
#include "Records/Record.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <vector>

namespace firefly {

/// Owner of a shard and the term of its accepted claim.
struct ShardOwner
{
    EntryId entry;
    Term term = 0;

    bool operator==(const ShardOwner &) const = default;
};

/// Current owner and term of every shard, computed from the log records alone.
///
/// A claim is stale unless it names the current term as its previous one, so every reader accepts
/// the first of two racing claims in log order.
class OwnershipFold
{
public:
    FoldResult apply(Offset offset, const ShardClaimed &record);
    FoldResult apply(Offset offset, const ShardReleased &record);

    /// Owner of \a shard; none when it was never claimed or has been released.
    std::optional<ShardOwner> ownerOf(const ShardId &shard) const;
    /// Term of the last accepted claim, also after its release; 0 for a shard never claimed.
    Term termOf(const ShardId &shard) const;
    /// Term that placements and evictions in \a shard must carry to be accepted by the job ledger.
    Term currentTerm(const ShardId &shard) const { return termOf(shard); }
    /// True when \a shard has an owner and \a term is its current term.
    bool isCurrent(const ShardId &shard, Term term) const;
    std::vector<ShardId> ownedBy(const EntryId &entry) const;

    nlohmann::json save() const;
    /// Replaces the state by one that save() returned.
    /// \throws nlohmann::json::exception when \a json lacks a field or has one of the wrong type.
    void load(const nlohmann::json &json);
    nlohmann::json dump() const;

private:
    struct Entry
    {
        EntryId owner; ///< Empty after a release.
        Term term = 0;
    };

    std::map<ShardId, Entry> m_shards;
};

/// Shards of \a request for which \a fold has a later term, for HeartbeatReply::superseded.
std::vector<ShardTerm> supersededShards(const OwnershipFold &fold, const Heartbeat &request);

} // namespace firefly
