#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"
#include "Membership/PeerTable.h"
#include "Ownership/OwnershipFold.h"
#include "Ownership/ShardAuthority.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace firefly {

/// Limits and delays of shard movement between entries.
struct ClaimSettings
{
    /// Maximum number of handovers that an entry has in flight while it rebalances.
    std::int64_t maxHandovers = 2;
    /// Delay per rank before an entry claims an orphan that better-ranked entries did not claim.
    Duration fallbackDelay = std::chrono::seconds(3);
    /// Time after which a claim that was not read back from the log is planned again.
    Duration claimTimeout = std::chrono::seconds(10);
};

/// Claims and releases that the caller must carry out.
struct ClaimPlan
{
    std::vector<ShardClaimed> claims; ///< Records to append to the log.
    std::vector<ShardId> releases;    ///< Shards to pass to ShardAuthority::beginRelease().
};

/// State from which ClaimPlanner makes a plan.
struct ClaimInputs
{
    std::span<const ShardId> shards; ///< Shards with workers in the VM list.
    const OwnershipFold &fold;
    const PeerTable &peers;
    const ShardAuthority &authority;
    bool logReachable = false;
    bool draining = false;
};

/// Decides which shards this entry claims or releases.
///
/// A shard is assigned to the entry with the highest rendezvous hash among those that may claim it.
class ClaimPlanner
{
public:
    ClaimPlanner(EntryId self, ClaimSettings settings);

    ClaimPlan plan(const ClaimInputs &inputs, TimePoint now);
    /// Call when an accepted claim of \a shard, by any entry, was read from the log.
    void onClaimRead(const ShardId &shard) { m_pending.erase(shard); }

    /// Returns \a candidates in descending order of their rendezvous hash for \a shard.
    static std::vector<EntryId> rank(const ShardId &shard, std::span<const EntryId> candidates);

    nlohmann::json dump() const;

private:
    void planDrain(const ClaimInputs &inputs, TimePoint now, ClaimPlan &plan);
    void planClaims(const ClaimInputs &inputs, std::span<const EntryId> candidates, TimePoint now,
                    ClaimPlan &plan);
    void planHandovers(const ClaimInputs &inputs, std::span<const EntryId> candidates,
                       TimePoint now, ClaimPlan &plan) const;
    bool isPending(const ShardId &shard, TimePoint now) const;
    bool isOrphan(const ShardId &shard, const ClaimInputs &inputs, TimePoint now) const;

    EntryId m_self;
    ClaimSettings m_settings;
    std::map<ShardId, TimePoint> m_pending;     ///< When own claims not read back yet were planned.
    std::map<ShardId, TimePoint> m_orphanSince; ///< When a shard was first seen as an orphan.
};

} // namespace firefly
