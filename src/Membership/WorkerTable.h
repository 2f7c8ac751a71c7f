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

/// The workers in the VM list, by shard.
///
/// The list is delayed: a listed worker may be gone already, and one that vanished from the list
/// may still run tasks.  Vanished workers are kept until forget().
class WorkerTable
{
public:
    void onVmList(const VmList &list, TimePoint now);

    /// Every shard that has a listed worker, in order of id.
    std::vector<ShardId> shards() const;
    /// Listed workers of \a shard, leaving ones included, in order of id.
    std::span<const WorkerId> workers(const ShardId &shard) const;
    /// A listed worker, or one that vanished and was not forgotten yet; nullptr otherwise.
    const WorkerInfo *find(const WorkerId &worker) const;
    /// True when \a worker is listed and not leaving.
    bool acceptsWork(const WorkerId &worker) const;
    /// When a worker that was listed before was first missing from the list; none while listed.
    std::optional<TimePoint> vanishedAt(const WorkerId &worker) const;
    /// Removes a vanished worker; call it only once all of its tasks have stopped.
    void forget(const WorkerId &worker);

    nlohmann::json dump() const;

private:
    std::map<WorkerId, WorkerInfo> m_workers;
    std::map<ShardId, std::vector<WorkerId>> m_shards;
    std::map<WorkerId, TimePoint> m_vanishedAt;
};

} // namespace firefly
