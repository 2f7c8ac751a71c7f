#include "Membership/WorkerTable.h"

#include "Records/IdJson.h"

#include <nlohmann/json.hpp>

namespace firefly {

void WorkerTable::onVmList(const VmList &list, TimePoint now)
{
    std::map<WorkerId, WorkerInfo> listed;
    for (const WorkerInfo &it : list.workers) {
        listed[it.id] = it;
    }

    m_shards.clear();
    for (const auto &[id, info] : listed) {
        m_shards[info.shard()].push_back(id);
        m_vanishedAt.erase(id);
    }
    for (const auto &[id, info] : m_workers) {
        if (!listed.contains(id)) {
            m_vanishedAt.try_emplace(id, now);
            listed[id] = info;
        }
    }
    m_workers = std::move(listed);
}

std::vector<ShardId> WorkerTable::shards() const
{
    std::vector<ShardId> ids;
    ids.reserve(m_shards.size());
    for (const auto &[id, workers] : m_shards) {
        ids.push_back(id);
    }
    return ids;
}

std::span<const WorkerId> WorkerTable::workers(const ShardId &shard) const
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end()) {
        return {};
    }
    return it->second;
}

const WorkerInfo *WorkerTable::find(const WorkerId &worker) const
{
    const auto it = m_workers.find(worker);
    return it == m_workers.end() ? nullptr : &it->second;
}

bool WorkerTable::acceptsWork(const WorkerId &worker) const
{
    const WorkerInfo *info = find(worker);
    return info != nullptr && info->state == VmState::Live && !m_vanishedAt.contains(worker);
}

std::optional<TimePoint> WorkerTable::vanishedAt(const WorkerId &worker) const
{
    const auto it = m_vanishedAt.find(worker);
    if (it == m_vanishedAt.end()) {
        return std::nullopt;
    }
    return it->second;
}

void WorkerTable::forget(const WorkerId &worker)
{
    if (m_vanishedAt.erase(worker) > 0) {
        m_workers.erase(worker);
    }
}

nlohmann::json WorkerTable::dump() const
{
    nlohmann::json json;
    json["shards"] = nlohmann::json::object();
    for (const auto &[id, workers] : m_shards) {
        json["shards"][id.value()] = workers;
    }
    json["leaving"] = nlohmann::json::array();
    for (const auto &[id, info] : m_workers) {
        if (info.state == VmState::Leaving) {
            json["leaving"].push_back(id);
        }
    }
    json["vanished"] = nlohmann::json::array();
    for (const auto &[id, at] : m_vanishedAt) {
        json["vanished"].push_back(id);
    }
    return json;
}

} // namespace firefly
