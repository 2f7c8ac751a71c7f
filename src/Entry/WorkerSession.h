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

/// Manages the workers that this entry owns: the authority over their shards, the syncs that renew
/// their leases, and the worker pool for routing.
///
/// The pool holds the workers of the shards that this entry owns, once each has answered a sync.
/// While the authority over a worker lapses briefly, the worker stays in the pool in state Leaving,
/// so that the load dispatched to it remains accounted for.
class WorkerSession
{
public:
    WorkerSession(const EntryId &self, const OwnershipTimes &times, const RoutingSettings &routing);

    void onVmList(const VmList &list, TimePoint now);
    /// Sends the syncs that are due.
    void sendDueSyncs(TimePoint now, EntryActions &actions);
    /// Adds, updates and removes workers of the pool to match the current authority over them.
    ///
    /// Linear in the workers owned.  Between two calls, dispatchTerm() is authoritative, and
    /// onSyncReply() refreshes the worker that answered.
    void refreshPool(TimePoint now);

    /// Handles a worker's reply to a sync.  \returns false when the reply is stale or of
    /// another term, and must be ignored.
    bool onSyncReply(const SendSync &sent, const WorkerSyncReply &reply, TimePoint now);
    void onSyncFailed(const SendSync &sent);
    /// Queues an ended attempt for acknowledgement in the next syncs, so that the worker can drop
    /// its report.
    void acknowledge(const WorkerId &worker, const JobId &job, std::uint64_t attempt);

    /// Term under which work may be dispatched to \a worker; none when this entry must not dispatch
    /// to it.
    std::optional<Term> dispatchTerm(const WorkerId &worker, TimePoint now) const;
    /// Workers to which this entry could dispatch work when the pool was last refreshed.
    const std::set<WorkerId> &dispatchableWorkers() const { return m_dispatchable; }
    /// Workers of this entry's shards that have answered a sync.
    const std::set<WorkerId> &pooledWorkers() const { return m_pooled; }

    ShardAuthority &authority() { return m_authority; }
    const ShardAuthority &authority() const { return m_authority; }
    ClaimPlanner &planner() { return m_planner; }
    WorkerTable &table() { return m_table; }
    const WorkerTable &table() const { return m_table; }
    WorkerPool &pool() { return m_pool; }
    const WorkerPool &pool() const { return m_pool; }

    /// Free urgent slots of the workers of \a shard.
    std::int64_t freeSlots(const ShardId &shard) const;

    nlohmann::json dump(TimePoint now) const;

private:
    std::vector<std::string> attemptsToAcknowledge(const WorkerId &worker);
    void updateInheritedCalls(const WorkerId &worker, const WorkerSyncReply &reply);
    void updatePool(const WorkerId &worker, bool isDispatchable, TimePoint now);
    void removeUnowned(std::set<WorkerId> stillOwned);
    void refreshWorker(const WorkerId &worker, TimePoint now);

    WorkerTable m_table;
    ShardAuthority m_authority;
    ClaimPlanner m_planner;
    WorkerPool m_pool;
    Duration m_leaseDuration;
    std::set<WorkerId> m_dispatchable;
    std::set<WorkerId> m_pooled;
    /// Calls of previous owners that still run on each worker.  Never rises, since previous owners
    /// are fenced.
    std::map<WorkerId, std::int64_t> m_inheritedCalls;
    std::map<WorkerId, std::set<std::string>> m_unacknowledged;
};

} // namespace firefly
