#include "Ownership/ClaimPlanner.h"

#include "Records/IdJson.h"

#include <nlohmann/json.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace firefly {
namespace {

std::uint64_t rendezvousHash(const ShardId &shard, const EntryId &entry)
{
    const std::uint64_t seed = XXH3_64bits(entry.value().data(), entry.value().size());
    return XXH3_64bits_withSeed(shard.value().data(), shard.value().size(), seed);
}

} // namespace

ClaimPlanner::ClaimPlanner(EntryId self, ClaimSettings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{}

ClaimPlan ClaimPlanner::plan(const ClaimInputs &inputs, TimePoint now)
{
    ClaimPlan plan;
    if (!inputs.logReachable) {
        return plan;
    }
    if (inputs.draining || inputs.peers.isSelfLeaving()) {
        planDrain(inputs, now, plan);
        return plan;
    }
    if (!inputs.peers.isSettled(now)) {
        return plan;
    }

    std::vector<EntryId> candidates = inputs.peers.claimants(now);
    candidates.push_back(m_self);
    planClaims(inputs, candidates, now, plan);
    planHandovers(inputs, candidates, now, plan);
    return plan;
}

void ClaimPlanner::planDrain(const ClaimInputs &inputs, TimePoint now, ClaimPlan &plan)
{
    m_orphanSince.clear();
    for (const ShardTerm &it : inputs.authority.shards()) {
        if (inputs.authority.state(it.shard, now) != AuthorityState::Releasing) {
            plan.releases.push_back(it.shard);
        }
    }
}

void ClaimPlanner::planClaims(const ClaimInputs &inputs, std::span<const EntryId> candidates,
                              TimePoint now, ClaimPlan &plan)
{
    std::map<ShardId, TimePoint> orphanSince;
    for (const ShardId &shard : inputs.shards) {
        if (!isOrphan(shard, inputs, now)) {
            continue;
        }
        const auto previous = m_orphanSince.find(shard);
        const TimePoint since = previous == m_orphanSince.end() ? now : previous->second;
        orphanSince[shard] = since;
        if (isPending(shard, now)) {
            continue;
        }
        const std::vector<EntryId> ranked = rank(shard, candidates);
        const auto position = std::ranges::find(ranked, m_self) - ranked.begin();
        if (now < since + position * m_settings.fallbackDelay) {
            continue;
        }
        plan.claims.push_back({m_self, shard, inputs.fold.termOf(shard)});
        m_pending[shard] = now;
    }
    m_orphanSince = std::move(orphanSince);
}

void ClaimPlanner::planHandovers(const ClaimInputs &inputs, std::span<const EntryId> candidates,
                                 TimePoint now, ClaimPlan &plan) const
{
    std::int64_t inFlight = std::ranges::count_if(
        inputs.shards, [&](const ShardId &it) { return !inputs.fold.ownerOf(it); });
    const std::vector<ShardTerm> owned = inputs.authority.shards();
    inFlight += std::ranges::count_if(owned, [&](const ShardTerm &it) {
        return inputs.authority.state(it.shard, now) == AuthorityState::Releasing;
    });

    for (const ShardTerm &it : owned) {
        if (inFlight >= m_settings.maxHandovers) {
            return;
        }
        if (inputs.authority.state(it.shard, now) != AuthorityState::Active) {
            continue;
        }
        if (rank(it.shard, candidates).front() == m_self) {
            continue;
        }
        plan.releases.push_back(it.shard);
        ++inFlight;
    }
}

std::vector<EntryId> ClaimPlanner::rank(const ShardId &shard, std::span<const EntryId> candidates)
{
    std::vector<std::pair<std::uint64_t, EntryId>> scored;
    scored.reserve(candidates.size());
    for (const EntryId &it : candidates) {
        scored.emplace_back(rendezvousHash(shard, it), it);
    }
    std::ranges::sort(scored, std::greater<>());

    std::vector<EntryId> ranked;
    ranked.reserve(scored.size());
    for (auto &[hash, id] : scored) {
        ranked.push_back(std::move(id));
    }
    return ranked;
}

nlohmann::json ClaimPlanner::dump() const
{
    nlohmann::json json;
    json["pendingClaims"] = nlohmann::json::array();
    for (const auto &[shard, at] : m_pending) {
        json["pendingClaims"].push_back(shard);
    }
    json["orphans"] = nlohmann::json::array();
    for (const auto &[shard, at] : m_orphanSince) {
        json["orphans"].push_back(shard);
    }
    return json;
}

bool ClaimPlanner::isPending(const ShardId &shard, TimePoint now) const
{
    const auto it = m_pending.find(shard);
    return it != m_pending.end() && now < it->second + m_settings.claimTimeout;
}

/// A shard is an orphan when it has no owner, a dead one, or an earlier incarnation of this entry.
bool ClaimPlanner::isOrphan(const ShardId &shard, const ClaimInputs &inputs, TimePoint now) const
{
    const auto owner = inputs.fold.ownerOf(shard);
    if (!owner) {
        return true;
    }
    if (owner->entry == m_self) {
        return !inputs.authority.holds(shard, owner->term);
    }
    return inputs.peers.state(owner->entry, now) == EntryState::Dead;
}

} // namespace firefly
