#pragma once

#include "Records.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace firefly::fakes {

/// Minimal fold of shard claims: accepts a claim that names the current term as its previous one.
class FakeShardTerms
{
public:
    FoldResult apply(Offset offset, const ShardClaimed &record)
    {
        if (record.previousTerm != currentTerm(record.shard)) {
            return FoldResult::Stale;
        }
        m_owners[record.shard.value()] = {record.entry.value(), offset};
        return FoldResult::Accepted;
    }

    Term currentTerm(const ShardId &shard) const
    {
        const auto it = m_owners.find(shard.value());
        return it == m_owners.end() ? 0 : it->second.second;
    }

    bool isOwner(const EntryId &entry, const ShardId &shard) const
    {
        const auto it = m_owners.find(shard.value());
        return it != m_owners.end() && it->second.first == entry.value();
    }

    nlohmann::json save() const { return m_owners; }
    void load(const nlohmann::json &json) { json.get_to(m_owners); }

private:
    std::map<std::string, std::pair<std::string, Term>> m_owners;
};

} // namespace firefly::fakes
