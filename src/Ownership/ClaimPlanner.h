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

/// Rates at which shards move between entries.
struct ClaimSettings
{
    /// Handovers that one entry has in flight at once while it rebalances.
    std::int64_t maxHandovers = 2;
    /// Wait per rank before an entry claims an orphan that a better-ranked one left.
    Duration fallbackDelay = std::chrono::seconds(3);
    /// When a claim that was not read back is planned again.
    Duration claimTimeout = std::chrono::seconds(10);
};

/// What ClaimPlanner wants done.
struct ClaimPlan
{
    std::vector<ShardClaimed> claims; ///< Append these.
    std::vector<ShardId> releases;    ///< Call ShardAuthority::beginRelease() for these.
};

/// State that a plan is made from.
struct ClaimInputs
{
    std::span<const ShardId> shards; ///< Shards of the VM list.
    const OwnershipFold &fold;
    const PeerTable &peers;
    const ShardAuthority &authority;
    bool logReachable = false;
    bool draining = false;
};

/// Decides which shards this entry claims or gives up.
///
/// Each shard belongs to the entry with the highest rendezvous hash among those that may claim.
class ClaimPlanner
{
public:
    ClaimPlanner(EntryId self, ClaimSettings settings);

    ClaimPlan plan(const ClaimInputs &inputs, TimePoint now);
    /// A claim of \a shard was read from the log, by whichever entry.
    void onClaimRead(const ShardId &shard) { m_pending.erase(shard); }

    /// Entries of \a candidates, best first for \a shard.
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
    std::map<ShardId, TimePoint> m_pending;     ///< Own claims not read back, by time of the plan.
    std::map<ShardId, TimePoint> m_orphanSince; ///< When a shard was first seen without owner.
};

} // namespace firefly
