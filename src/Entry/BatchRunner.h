#pragma once

#include "Config/Settings.h"
#include "Core/Clock.h"
#include "Entry/EntryActions.h"
#include "Entry/LogSession.h"
#include "Entry/PeerSession.h"
#include "Entry/PlanUsage.h"
#include "Entry/WorkerSession.h"
#include "Interference/SlowdownModel.h"
#include "Placement/BatchPlacer.h"
#include "Placement/CapacityShapes.h"
#include "Placement/EvictionPlanner.h"
#include "Placement/SizeEstimator.h"
#include "Placement/WorkerMixes.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace firefly {

/// The sessions that the batch and urgent sides of an entry share.
struct EntrySessions
{
    LogSession &log;
    WorkerSession &workers;
    PeerSession &peers;
    std::mt19937_64 &random;
};

/// Places, starts, monitors, stops and evicts batch jobs on the workers that this entry owns.
///
/// The log is authoritative for where a job is placed: this class appends records and acts on those
/// read back.
class BatchRunner
{
public:
    /// Upper bound on the placements proposed in one tick.
    static constexpr std::size_t MaxPlacementsPerTick = 64;
    /// Upper bound on the pending jobs scanned in one tick.
    static constexpr std::size_t MaxScannedPerTick = 512;
    /// Failed attempts after which the job fails.  Each attempt avoids the workers where earlier
    /// ones failed, if there are others.
    static constexpr std::uint64_t MaxFailedAttempts = 3;

    BatchRunner(EntryId self, const Settings &settings, EntrySessions sessions);

    void onVmList(const VmList &list);
    /// Places pending jobs and starts those whose placement was read back.
    void tick(TimePoint now, EntryActions &actions);
    /// Drops the attempts in shards that this entry no longer owns.  Linear in the attempts.
    void dropAttemptsOfLostShards();
    /// Evicts the jobs of unresponsive workers whose leases have certainly expired.
    void evictJobsOfLostWorkers(TimePoint now);
    /// Handles a record that was folded with \a verdict.
    void onRecord(const LoggedEnvelope &logged, FoldResult verdict);
    /// Handles the replacement of the folded state by a snapshot.
    void onRestored();

    void onStartReply(const StartAttempt &task, WorkerResult result);
    /// Reconciles the attempts with the task list in the worker's reply, which is authoritative for
    /// what runs there.
    void onSyncReply(TimePoint now, const WorkerSync &sync, const WorkerSyncReply &reply,
                     EntryActions &actions);

    /// Why no listed worker can ever run \a spec under its customer's plan; none when one can.
    std::optional<std::string> whyNeverPlaceable(const BatchJobSpec &spec) const;
    /// True while a start for a worker of \a shard is unanswered.
    bool hasMessagesInFlight(const ShardId &shard) const;

    SlowdownModel &slowdowns() { return m_slowdowns; }
    WorkerMixes &mixes() { return m_mixes; }
    /// The last placement decision for \a job and its reason; empty when there is none.
    std::string explain(const JobId &job) const;
    nlohmann::json dump(TimePoint now) const;

private:
    /// Progress of a job's attempt on one of this entry's workers.
    enum class Phase {
        Placing,  ///< The placement was appended but not read back.
        Ready,    ///< The placement was read back; the start has yet to be sent.
        Starting, ///< The start was sent.
        Running,  ///< The worker reported it as running.
    };

    struct Attempt
    {
        std::uint64_t number = 0;
        WorkerId worker;
        WorkerIndex index{};
        ShardId shard;
        Term term = 0;
        Resources reserved;
        WorkloadIndex kind = 0;
        double share = 0; ///< Fraction of the worker's processors.
        Phase phase = Phase::Placing;
        std::uint64_t startLeaseNumber = 0; ///< Lease number that the start was sent under.
        bool isStartInFlight = false;
        TimePoint startedAt;
        double throttle = 1;
        std::optional<EvictionReason> stopReason;
        TimePoint stopSentAt;
    };

    void placePending(TimePoint now);
    bool isMyTurn(const JobId &job, std::span<const EntryId> entries, TimePoint now) const;
    void place(const Job &job, TimePoint now);
    void propose(const Job &job, const Placed &placed, const Resources &need, TimePoint now);
    bool fitsPlan(const Job &job) const;
    PlacementContext context() const;
    void startReady(TimePoint now, EntryActions &actions);
    void start(const JobId &id, Attempt &attempt, TimePoint now, EntryActions &actions);
    void onReport(TimePoint now, const WorkerSync &sync, const TaskReport &report,
                  EntryActions &actions);
    void onFailed(const Job &job, const WorkerSync &sync, const TaskReport &report);
    std::vector<WorkerIndex> workersThatFailed(const JobId &job) const;
    void forgetPlacementHistory(const JobId &job);
    void onStaleReport(const WorkerSync &sync, const TaskReport &report, const Job *job,
                       EntryActions &actions);
    void onRunning(TimePoint now, const Job &job, const WorkerSync &sync, const TaskReport &report,
                   EntryActions &actions);
    void adopt(const Job &job, const WorkerSync &sync, const TaskReport &report, TimePoint now);
    void evictUnreported(const WorkerSync &sync, const WorkerSyncReply &reply);
    bool isKnownAbsent(const Job &job, const WorkerSync &sync) const;
    void relievePressure(TimePoint now, const WorkerSync &sync, const WorkerSyncReply &reply,
                         EntryActions &actions);
    void stop(Attempt &attempt, const JobId &job, EvictionReason reason, TimePoint now,
              EntryActions &actions);
    std::optional<EvictionReason> reasonToStop(const Job &job, const WorkerId &worker) const;

    void pushUnlessPending(const JobId &job, Record record);
    void reserve(Attempt &attempt);
    void release(const JobId &job);
    void refreshExpectedSlowdown(const Attempt &attempt);

    EntryId m_self;
    EntrySessions m_sessions;
    PlacementSettings m_placementSettings;
    SlowdownModel m_slowdowns;
    WorkloadIndex m_urgentService;
    WorkerMixes m_mixes;
    BatchPlacer<LeastSlowdown> m_placer;
    EvictionPlanner m_evictions;
    SizeEstimator m_sizeEstimator;
    CapacityShapes m_capacityShapes;
    PlanUsage m_planUsage;
    /// Workers of the last VM list, counted in m_capacityShapes.
    std::vector<WorkerInfo> m_listedWorkers;
    std::map<JobId, Attempt> m_attempts;
    /// Superset of the jobs in phase Ready; startReady() drops the others.
    std::set<JobId> m_readyJobs;
    /// Sequence number of this entry's record about a job that was not read back yet.
    std::map<JobId, std::uint64_t> m_pendingRecords;
    std::map<JobId, std::string> m_lastDecisions;   ///< Last placement decision of each live job.
    std::map<JobId, std::set<WorkerId>> m_failedOn; ///< Workers where attempts of live jobs failed.
    Offset m_scanPosition = 0; ///< The next scan of pending jobs resumes after this offset.
};

} // namespace firefly
