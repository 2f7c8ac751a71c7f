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

/// Owner of a shard and the term of its claim.
struct ShardOwner
{
    EntryId entry;
    Term term = 0;

    bool operator==(const ShardOwner &) const = default;
};

/// Owners of all shards, a pure function of the log.
///
/// A claim is stale unless it names the current term, so the first of two racing claims in log
/// order wins on every reader.
class OwnershipFold
{
public:
    FoldVerdict apply(Offset offset, const ShardClaimed &record);
    FoldVerdict apply(Offset offset, const ShardReleased &record);

    /// None for a shard that was never claimed or was released.
    std::optional<ShardOwner> ownerOf(const ShardId &shard) const;
    /// Term of the last accepted claim, also after a release; 0 for a shard never claimed.
    Term termOf(const ShardId &shard) const;
    /// The term by which the job ledger judges placements and evictions in \a shard.
    Term currentTerm(const ShardId &shard) const { return termOf(shard); }
    /// True when \a term is the current one of \a shard and has an owner.
    bool isCurrent(const ShardId &shard, Term term) const;
    std::vector<ShardId> ownedBy(const EntryId &entry) const;

    nlohmann::json save() const;
    /// \throws nlohmann::json::exception for a state that save() did not make.
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

/// What an entry replies to \a request about later claims.
std::vector<ShardTerm> supersededShards(const OwnershipFold &fold, const Heartbeat &request);

} // namespace firefly
