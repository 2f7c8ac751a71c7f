#include "Ownership/OwnershipFold.h"

#include "Core/Assert.h"
#include "Records/IdJson.h"

#include <nlohmann/json.hpp>

namespace firefly {

FoldResult OwnershipFold::apply(Offset offset, const ShardClaimed &record)
{
    if (record.entry.isEmpty() || record.shard.isEmpty()) {
        return FoldResult::Invalid;
    }
    const Term current = termOf(record.shard);
    if (record.previousTerm != current) {
        return FoldResult::Stale;
    }
    FIREFLY_ASSERT(offset > current, "claims are applied in log order");
    m_shards[record.shard] = {record.entry, offset};
    return FoldResult::Accepted;
}

FoldResult OwnershipFold::apply(Offset /*offset*/, const ShardReleased &record)
{
    const auto it = m_shards.find(record.shard);
    if (it == m_shards.end()) {
        return FoldResult::Invalid;
    }
    Entry &entry = it->second;
    if (entry.term != record.term || entry.owner != record.entry) {
        return entry.term == record.term && entry.owner.isEmpty() ? FoldResult::Duplicate
                                                                  : FoldResult::Stale;
    }
    entry.owner = EntryId();
    return FoldResult::Accepted;
}

std::optional<ShardOwner> OwnershipFold::ownerOf(const ShardId &shard) const
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end() || it->second.owner.isEmpty()) {
        return std::nullopt;
    }
    return ShardOwner{it->second.owner, it->second.term};
}

Term OwnershipFold::termOf(const ShardId &shard) const
{
    const auto it = m_shards.find(shard);
    return it == m_shards.end() ? 0 : it->second.term;
}

bool OwnershipFold::isCurrent(const ShardId &shard, Term term) const
{
    const auto owner = ownerOf(shard);
    return owner && owner->term == term;
}

std::vector<ShardId> OwnershipFold::ownedBy(const EntryId &entry) const
{
    std::vector<ShardId> shards;
    for (const auto &[id, it] : m_shards) {
        if (it.owner == entry) {
            shards.push_back(id);
        }
    }
    return shards;
}

nlohmann::json OwnershipFold::save() const
{
    auto json = nlohmann::json::object();
    for (const auto &[id, it] : m_shards) {
        json[id.value()] = {{"owner", it.owner}, {"term", it.term}};
    }
    return json;
}

void OwnershipFold::load(const nlohmann::json &json)
{
    std::map<ShardId, Entry> shards;
    for (const auto &[id, it] : json.items()) {
        shards[ShardId(id)] = {it.at("owner").get<EntryId>(), it.at("term").get<Term>()};
    }
    m_shards = std::move(shards);
}

nlohmann::json OwnershipFold::dump() const
{
    return save();
}

std::vector<ShardTerm> supersededShards(const OwnershipFold &fold, const Heartbeat &request)
{
    std::vector<ShardTerm> superseded;
    for (const OwnedShard &it : request.shards) {
        const Term current = fold.termOf(it.shard);
        if (current > it.term) {
            superseded.push_back({it.shard, current});
        }
    }
    return superseded;
}

} // namespace firefly
