#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"
#include "Core/VmInfo.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace firefly {

/// The workers that the VM list shows, by shard.
///
/// The list lags: a worker that it shows may be gone, and one that vanished may still run tasks.
class WorkerTable
{
public:
    void onVmList(const VmList &list, TimePoint now);

    /// Every shard that has a listed worker, in order of id.
    std::vector<ShardId> shards() const;
    /// Listed workers of \a shard, leaving ones included, in order of id.
    std::span<const WorkerId> workers(const ShardId &shard) const;
    /// A listed worker, or a vanished one that is not forgotten yet; none otherwise.
    const WorkerInfo *find(const WorkerId &worker) const;
    /// True when \a worker is listed and not leaving.
    bool acceptsWork(const WorkerId &worker) const;
    /// When the list first came without a worker that it had shown before; none while listed.
    std::optional<TimePoint> vanishedAt(const WorkerId &worker) const;
    /// Forgets a vanished worker whose tasks surely stopped.
    void forget(const WorkerId &worker);

    nlohmann::json dump() const;

private:
    std::map<WorkerId, WorkerInfo> m_workers;
    std::map<ShardId, std::vector<WorkerId>> m_shards;
    std::map<WorkerId, TimePoint> m_vanishedAt;
};

} // namespace firefly
