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

/// Batch jobs on the workers that this entry owns: places, starts, watches, stops and evicts them.
///
/// The log decides where a job is; this class proposes records and acts on those read back.
class BatchRunner
{
public:
    /// Placements proposed in one tick.
    static constexpr std::size_t MaxPlacementsPerTick = 64;
    /// Pending jobs looked at in one tick.
    static constexpr std::size_t MaxScannedPerTick = 512;
    /// Attempts that may fail, each on another worker if there is one, before the job has failed.
    static constexpr std::uint64_t MaxFailedAttempts = 3;

    BatchRunner(EntryId self, const Settings &settings, EntrySessions sessions);

    void onVmList(const VmList &list);
    /// Places pending jobs and starts placed ones.
    void tick(TimePoint now, EntryActions &actions);
    /// Forgets attempts of shards that this entry lost.  Linear in the attempts.
    void dropLostShards();
    /// Declares jobs of silent workers evicted once their leases surely lapsed.
    void evictLost(TimePoint now);
    /// A record was folded.
    void onRecord(const LoggedEnvelope &logged, FoldVerdict verdict);
    /// A snapshot replaced the folded state.
    void onRestored();

    void onStartReply(const StartTask &task, WorkerResult result);
    /// Takes the worker's own list as the truth about what runs there.
    void onSyncReply(TimePoint now, const WorkerSync &sync, const WorkerSyncReply &reply,
                     EntryActions &actions);

    /// Why no listed worker could ever run \a spec under its plan; nothing when one could.
    std::optional<std::string> whyNever(const JobSpec &spec) const;
    /// True while a start for a worker of \a shard has not been answered.
    bool hasMessagesInFlight(const ShardId &shard) const;

    SlowdownModel &slowdowns() { return m_slowdowns; }
    WorkerMixes &mixes() { return m_mixes; }
    /// Why the job was last placed where it is, or not placed.
    std::string explain(const JobId &job) const;
    nlohmann::json dump(TimePoint now) const;

private:
    /// Where an attempt of a job on one of this entry's workers stands.
    enum class Phase {
        Placing,  ///< The placement was proposed and not read back.
        Ready,    ///< Placed; the start is to be sent.
        Starting, ///< The start was sent.
        Running,  ///< The worker listed it.
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
        double share = 0; ///< Of the worker's processors.
        Phase phase = Phase::Placing;
        std::uint64_t startLease = 0; ///< Lease number that the start named.
        bool startInFlight = false;
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
    void forget(const JobId &job);
    void onForeignReport(const WorkerSync &sync, const TaskReport &report, const Job *job,
                         EntryActions &actions);
    void onRunning(TimePoint now, const Job &job, const WorkerSync &sync, const TaskReport &report,
                   EntryActions &actions);
    void adopt(const Job &job, const WorkerSync &sync, const TaskReport &report, TimePoint now);
    void evictMissing(const WorkerSync &sync, const WorkerSyncReply &reply);
    bool surelyNotThere(const Job &job, const WorkerSync &sync) const;
    void relieve(TimePoint now, const WorkerSync &sync, const WorkerSyncReply &reply,
                 EntryActions &actions);
    void stop(Attempt &attempt, const JobId &job, EvictionReason reason, TimePoint now,
              EntryActions &actions);
    std::optional<EvictionReason> whyStop(const Job &job, const WorkerId &worker) const;

    void pushOnce(const JobId &job, Record record);
    void reserve(Attempt &attempt);
    void release(const JobId &job);
    void refreshExpectedSlowdown(const Attempt &attempt);

    EntryId m_self;
    EntrySessions m_sessions;
    PlacementSettings m_placementSettings;
    SlowdownModel m_slowdowns;
    WorkloadIndex m_service;
    WorkerMixes m_mixes;
    BatchPlacer<LeastSlowdown> m_placer;
    EvictionPlanner m_evictions;
    SizeEstimator m_sizes;
    CapacityShapes m_shapes;
    PlanUsage m_usage;
    std::vector<WorkerInfo> m_shaped; ///< Workers counted in m_shapes.
    std::map<JobId, Attempt> m_attempts;
    std::set<JobId> m_ready; ///< Attempts whose start is to be sent, and some that were just sent.
    std::map<JobId, std::uint64_t> m_pushed; ///< Own record on its way about a job, by sequence.
    std::map<JobId, std::string> m_reasons;  ///< Last placement decision, for jobs not ended.
    std::map<JobId, std::set<WorkerId>> m_failedOn; ///< Where attempts of live jobs failed.
    Offset m_cursor = 0; ///< Where the next scan of pending jobs goes on.
};

} // namespace firefly
