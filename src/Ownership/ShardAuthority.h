#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"
#include "Membership/Heartbeat.h"
#include "Membership/PeerTable.h"
#include "Ownership/LeaseRenewal.h"
#include "Ownership/OwnershipTimes.h"
#include "Records/Record.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace firefly {

/// Stage of this entry's ownership of a shard that it claimed.
enum class AuthorityState {
    HoldOff,   ///< Waits until the previous owner's proofs have expired.
    Fencing,   ///< Syncs the workers with the new term; those that answered may get work.
    Active,    ///< Every worker answered a sync, or its sync failed.
    Releasing, ///< Gives out no new work; released once every message has been answered.
    Lost       ///< A claim with a later term exists.
};

/// A claim that OwnershipFold accepted, as this entry read it from the log.
struct AcceptedClaim
{
    Offset offset = 0;
    ShardClaimed record;
    bool byThisIncarnation = false; ///< This process wrote the claim.
    bool hadOwner = true;           ///< The shard had an owner when it was claimed.
};

/// A lease renewal to send to a worker now.
struct DueSync
{
    ShardId shard;
    WorkerId worker;
    Term term = 0;
    std::uint64_t number = 0;
};

/// A worker's answer to a sync, as far as authority depends on it.
struct SyncAnswer
{
    bool accepted = false;
    Term highestTerm = 0;
    std::string boot; ///< Changes when the worker restarts with empty memory.
};

/// The lease that a task start must name; the worker refuses a start that names another one.
struct WorkerLease
{
    std::uint64_t number = 0; ///< Number of the last answered sync; 0 before the first answer.
    std::string boot;         ///< SyncAnswer::boot of that answer.
};

/// This entry's authority over the workers of the shards that it claimed.
///
/// Besides the claim, authority over a worker requires that the hold-off is over, that the worker
/// answered a sync with the claim's term, and a proof, younger than OwnershipTimes::proofDuration,
/// that no entry that may claim had read a later claim.  Claims of earlier incarnations give none.
class ShardAuthority
{
public:
    /// \throws OwnershipTimesError
    ShardAuthority(EntryId self, const OwnershipTimes &times);
    /// For tests that disable a safety mechanism.
    ShardAuthority(EntryId self, const UncheckedTimes &times);

    /// Applies a claim that OwnershipFold accepted; call it in log order.
    void onClaim(const AcceptedClaim &claim, TimePoint now);
    /// Applies a release that OwnershipFold accepted; call it in log order.
    void onRelease(const ShardReleased &record);
    /// Sets the listed workers of \a shard.  Workers that are no longer listed are kept until
    /// forgetWorker(), since their tasks may run until the lease expires.
    void setWorkers(const ShardId &shard, std::span<const WorkerId> workers);

    /// Call when a log read sent at \a sentAt returned \a tail as the log's last offset, after
    /// every record up to \a appliedTo was passed to onClaim() or onRelease().
    void onTailRead(TimePoint sentAt, Offset tail, Offset appliedTo);
    /// Applies a peer's reply to a heartbeat sent at \a sentAt; the peer's read of the log's tail
    /// counts as a proof too.
    void onHeartbeatReply(TimePoint sentAt, const HeartbeatReply &reply);
    /// Updates the proofs from the peers' replies, which are needed while the log is unreachable,
    /// and the span in which all peers know this entry.  Call it after every change of \a peers
    /// and at least once a second.
    void updateFromPeers(const PeerTable &peers, TimePoint now);

    /// Returns the syncs to send now and records them as sent.
    std::vector<DueSync> beginDueSyncs(TimePoint now);
    /// Applies a worker's answer to a sync.
    /// \returns false when the answer is late, repeated or of another term and must be ignored.
    bool onSyncReply(const DueSync &sync, const SyncAnswer &answer, TimePoint now);
    /// Call when a sync failed or timed out.
    void onSyncFailed(const DueSync &sync);
    /// Call when a worker refused a message because it has seen \a highestTerm.
    ///
    /// The worker gets no work until it accepts a sync again.  Only the log decides whether a later
    /// claim exists, so a worker that reports wrong terms affects only itself.
    void onRefusedTerm(const ShardId &shard, const WorkerId &worker, Term highestTerm);

    /// Term to send with work for \a worker; none when this entry must not give it work.
    std::optional<Term> mayGiveWork(const ShardId &shard, const WorkerId &worker,
                                    TimePoint now) const;
    /// Term to send with syncs to the shard's workers; none when this entry must not sync them.
    std::optional<Term> maySync(const ShardId &shard, TimePoint now) const;
    /// Lease that a task start on \a worker must name.
    WorkerLease lease(const ShardId &shard, const WorkerId &worker) const;
    /// True when every task that \a worker ran is guaranteed to have stopped, since its lease
    /// expired.
    ///
    /// False for shards that this entry does not own, and while PeerTable::isSettled() is false:
    /// the other entries may then act without this entry's reply.  For a worker that never answered
    /// in this term the wait is OwnershipTimes::expiryAfterClaim(), also when it is not listed.
    bool isLostWorkerExpired(const ShardId &shard, const WorkerId &worker, TimePoint now) const;
    /// Time at which isLostWorkerExpired() becomes true if the worker does not answer again.
    std::optional<TimePoint> lostWorkerExpiresAt(const ShardId &shard,
                                                 const WorkerId &worker) const;
    /// Stops syncing a worker that is no longer listed; call it only once its tasks have stopped.
    void forgetWorker(const ShardId &shard, const WorkerId &worker);

    /// Starts the release of \a shard: from now on its workers get no new work.
    void beginRelease(const ShardId &shard);
    /// Shards that are being released and have no sync in flight, in order of id.
    std::vector<ShardId> releasable() const;
    /// Ends the authority over a shard of releasable() and returns the record to append.  The
    /// caller must have no message to its workers in flight, and appends the record again until it
    /// is read back.
    ShardReleased finishRelease(const ShardId &shard);

    std::optional<AuthorityState> state(const ShardId &shard, TimePoint now) const;
    /// Shards that this incarnation owns and is not known to have lost, in order of id.
    std::vector<ShardTerm> shards() const;
    /// True when this incarnation claimed \a shard with \a term and has read no later claim or
    /// release of it from the log.
    bool holds(const ShardId &shard, Term term) const;
    /// Time as of which the newest proof from a log read, here or by a peer, holds; none before.
    std::optional<TimePoint> logProofAt() const { return m_logProofAt; }
    /// Next time after \a now at which a query's result may change or a sync is due.
    std::optional<TimePoint> nextDeadline(TimePoint now) const;

    nlohmann::json dump(TimePoint now) const;

private:
    struct Worker
    {
        LeaseRenewal renewal;
        std::string boot; ///< SyncAnswer::boot of the last answer.
        bool isListed = true;
        bool hasLaterTerm = false; ///< It reported a later term and has accepted no sync since.
    };

    struct Shard
    {
        Term term = 0;
        TimePoint readBackAt;
        TimePoint holdOffUntil;
        bool isReleasing = false;
        bool isReleased = false; ///< finishRelease() was called.
        bool isLost = false;
        std::map<WorkerId, Worker> workers;
    };

    bool isSettled(TimePoint now) const;
    bool hasStrictProof(TimePoint now) const;
    bool hasWorkProof(TimePoint now) const;
    bool isCurrentProof(const std::optional<TimePoint> &at, TimePoint now) const;
    static AuthorityState stateOf(const Shard &shard, TimePoint now);
    bool isUsable(const Shard &shard, TimePoint now) const;
    TimePoint knownToPeersAt(const Shard &shard) const;
    TimePoint workerExpiresAt(const Shard &shard, const WorkerId &worker) const;
    bool mayReceiveWork(const Worker &worker) const;
    Worker *findWorker(const ShardId &shard, const WorkerId &worker, Term term);

    EntryId m_self;
    OwnershipTimes m_times;
    SafetySwitches m_switches;
    std::map<ShardId, Shard> m_shards;
    std::map<ShardId, std::vector<WorkerId>> m_listedWorkers;
    std::optional<TimePoint> m_logProofAt;            ///< From a log read, here or by a peer.
    std::optional<TimePoint> m_confirmedByAllAt;      ///< From every entry that may claim.
    std::optional<TimePoint> m_confirmedByMajorityAt; ///< From a majority of the entries.
    std::optional<SettledSpan> m_settledSpan; ///< None while some entry may not know this entry.
};

} // namespace firefly
