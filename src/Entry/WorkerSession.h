#pragma once

#include "Core/Clock.h"
#include "Core/VmInfo.h"
#include "Entry/EntryActions.h"
#include "Membership/WorkerTable.h"
#include "Ownership/ClaimPlanner.h"
#include "Ownership/ShardAuthority.h"
#include "Routing/WorkerPool.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace firefly {

/// The workers this entry owns: its authority over them, its syncs, and the pool for routing.
///
/// The pool holds the workers of the shards that this entry owns, once each has answered a sync.
/// A worker stays in the pool while the authority over it lapses for a moment, as leaving, so that
/// what it was given is not forgotten.
class WorkerSession
{
public:
    WorkerSession(const EntryId &self, const OwnershipTimes &times, const RoutingSettings &routing);

    void onVmList(const VmList &list, TimePoint now);
    /// Sends the syncs that are due.
    void sendSyncs(TimePoint now, EntryActions &actions);
    /// Takes workers into the pool and out of it as the authority over them comes and goes.
    ///
    /// Linear in the workers owned; between two calls mayGiveWork() is what decides, and a worker
    /// that answers a sync is refreshed alone.
    void refreshPool(TimePoint now);

    /// A worker answered a sync; false when the reply is to be ignored.
    bool onSyncReply(const SendSync &sent, const WorkerSyncReply &reply, TimePoint now);
    void onSyncFailed(const SendSync &sent);
    /// Names an ended attempt that the worker may forget.
    void acknowledge(const WorkerId &worker, const JobId &job, std::uint64_t attempt);

    /// Term to give \a worker work with; none when this entry must not.
    std::optional<Term> mayGiveWork(const WorkerId &worker, TimePoint now) const;
    /// Workers that this entry may give work to at the last refreshPool().
    const std::set<WorkerId> &open() const { return m_open; }
    /// Workers of this entry's shards that have answered a sync.
    const std::set<WorkerId> &inPool() const { return m_inPool; }

    ShardAuthority &authority() { return m_authority; }
    const ShardAuthority &authority() const { return m_authority; }
    ClaimPlanner &planner() { return m_planner; }
    WorkerTable &table() { return m_table; }
    const WorkerTable &table() const { return m_table; }
    WorkerPool &pool() { return m_pool; }
    const WorkerPool &pool() const { return m_pool; }

    /// Urgent calls that the workers of \a shard can still take.
    std::int64_t freeSlots(const ShardId &shard) const;

    nlohmann::json dump(TimePoint now) const;

private:
    std::vector<std::string> takeAcknowledged(const WorkerId &worker);
    void noteForeignCalls(const WorkerId &worker, const WorkerSyncReply &reply);
    void updatePool(const WorkerId &worker, bool isOpen, TimePoint now);
    void removeLost(std::set<WorkerId> held);
    void refreshWorker(const WorkerId &worker, TimePoint now);

    WorkerTable m_table;
    ShardAuthority m_authority;
    ClaimPlanner m_planner;
    WorkerPool m_pool;
    Duration m_lease;
    std::set<WorkerId> m_open;
    std::set<WorkerId> m_inPool;
    /// Calls that earlier owners left running on each worker.  Falls only: they are fenced.
    std::map<WorkerId, std::int64_t> m_foreignCalls;
    std::map<WorkerId, std::set<std::string>> m_acknowledged;
};

} // namespace firefly
