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

/// Where this entry stands with a shard that it claimed.
enum class AuthorityState {
    HoldOff,   ///< Waits for proofs of the previous owner to expire.
    Fencing,   ///< Syncs the workers; those that answered may get work.
    Active,    ///< Every worker has answered, or is known to be unreachable.
    Releasing, ///< Gives no new work; released once all messages are answered.
    Lost       ///< A later claim exists.
};

/// A claim that the fold accepted, as this entry read it.
struct AcceptedClaim
{
    Offset offset = 0;
    ShardClaimed record;
    bool byThisIncarnation = false; ///< Its writer is this process.
    bool hadOwner = true;           ///< The shard had an owner when it was claimed.
};

/// A sync that should be sent now.
struct SyncDue
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
    std::string boot; ///< Changes when the worker restarted with empty memory.
};

/// The lease that a start names: a late copy is refused under any other.
struct WorkerLease
{
    std::uint64_t number = 0; ///< Of the last answered sync; 0 when the worker granted none.
    std::string boot;         ///< Of the worker that answered it.
};

/// This entry's own authority over the workers of the shards it claimed.
///
/// Authority needs, besides the claim: the hold-off is over, the worker answered a sync with this
/// term, and a proof that as of less than OwnershipTimes::proofDuration ago no later claim had been
/// read by anybody who could act on it.  Claims of earlier incarnations give none.
class ShardAuthority
{
public:
    /// \throws OwnershipTimesError
    ShardAuthority(EntryId self, const OwnershipTimes &times);
    /// For tests that switch a mechanism off.
    ShardAuthority(EntryId self, const UncheckedTimes &times);

    /// A claim that the fold accepted, in log order.
    void onClaim(const AcceptedClaim &claim, TimePoint now);
    /// A release that the fold accepted, in log order.
    void onRelease(const ShardReleased &record);
    /// The listed workers of \a shard; workers that vanished are still awaited for their leases.
    void setWorkers(const ShardId &shard, std::span<const WorkerId> workers);

    /// A read of the log sent at \a sentAt found the tail at \a tail; call it after every record
    /// up to \a appliedTo went through onClaim() and onRelease().
    void onTailRead(TimePoint sentAt, Offset tail, Offset appliedTo);
    /// A peer answered a heartbeat sent at \a sentAt: its own read of the tail is a proof too.
    void onPeerReply(TimePoint sentAt, const HeartbeatReply &reply);
    /// What the peers together say about claims while the log is unreachable, and whether they all
    /// know this entry; call it after every change of \a peers and at least once a second.
    void onWitnesses(const PeerTable &peers, TimePoint now);

    /// Syncs to send now; each is counted as sent.
    std::vector<SyncDue> takeDueSyncs(TimePoint now);
    /// A worker answered a sync.
    /// \returns false when the answer is late, repeated or of another term: ignore its contents.
    bool onSyncReply(const SyncDue &sync, const SyncAnswer &answer, TimePoint now);
    /// A sync got no answer.
    void onSyncFailed(const SyncDue &sync);
    /// A worker refused a message because it knows \a highestTerm.
    ///
    /// The worker gets nothing until it accepts a sync again; whether a later claim exists is for
    /// the log to say, so a worker that reports wrong terms affects only itself.
    void onRefusedTerm(const ShardId &shard, const WorkerId &worker, Term highestTerm);

    /// Term to give \a worker work with; none when this entry must not.
    std::optional<Term> mayGiveWork(const ShardId &shard, const WorkerId &worker,
                                    TimePoint now) const;
    /// Term to sync the shard's workers with; none when this entry must not.
    std::optional<Term> maySync(const ShardId &shard, TimePoint now) const;
    /// The lease that a start on \a worker must name.
    WorkerLease lease(const ShardId &shard, const WorkerId &worker) const;
    /// True when every task that \a worker ran has surely stopped, because its lease lapsed.
    ///
    /// False for shards that this entry does not own, and while the VM list does not show this
    /// entry: the others then go on without its word.  A worker that never answered in this term is
    /// awaited for OwnershipTimes::strangerWait(), also when the VM list does not show it.
    bool lostWorkerStopped(const ShardId &shard, const WorkerId &worker, TimePoint now) const;
    /// When lostWorkerStopped() becomes true if the worker stays silent.
    std::optional<TimePoint> lostWorkerStopsAt(const ShardId &shard, const WorkerId &worker) const;
    /// Sends no more syncs to a worker that the VM list dropped and whose tasks stopped.
    void forgetWorker(const ShardId &shard, const WorkerId &worker);

    /// Starts giving \a shard up: no new work from now on.
    void beginRelease(const ShardId &shard);
    /// Shards in release with no sync in flight, in order of id.
    std::vector<ShardId> releasable() const;
    /// Ends the authority over a releasable shard; the caller has no message in flight to its
    /// workers either, and appends the record until it is read back.
    ShardReleased finishRelease(const ShardId &shard);

    std::optional<AuthorityState> state(const ShardId &shard, TimePoint now) const;
    /// Shards that this incarnation owns and is not known to have lost, in order of id.
    std::vector<ShardTerm> shards() const;
    /// True when this incarnation claimed \a shard with \a term and the log shows no end of it.
    bool holds(const ShardId &shard, Term term) const;
    /// As of when the newest proof from the log or a peer holds; none before the first.
    std::optional<TimePoint> proofAt() const { return m_logProofAt; }
    /// Next moment at which an answer of this object changes or a sync is due.
    std::optional<TimePoint> nextDeadline(TimePoint now) const;

    nlohmann::json dump(TimePoint now) const;

private:
    struct Worker
    {
        LeaseRenewal renewal;
        std::string boot; ///< In the last answer.
        bool listed = true;
        bool refuses = false; ///< It knows a later term, or says so.
    };

    struct Shard
    {
        Term term = 0;
        TimePoint readBackAt;
        TimePoint holdOffEnds;
        bool releasing = false;
        bool finished = false; ///< finishRelease() was called.
        bool lost = false;
        std::map<WorkerId, Worker> workers;
    };

    bool isSettled(TimePoint now) const;
    bool hasStrictProof(TimePoint now) const;
    bool hasWorkProof(TimePoint now) const;
    bool isCurrentProof(const std::optional<TimePoint> &at, TimePoint now) const;
    static AuthorityState stateOf(const Shard &shard, TimePoint now);
    bool isUsable(const Shard &shard, TimePoint now) const;
    TimePoint knownAt(const Shard &shard) const;
    TimePoint stopsAt(const Shard &shard, const WorkerId &worker) const;
    bool mayReceive(const Worker &worker) const;
    Worker *findWorker(const ShardId &shard, const WorkerId &worker, Term term);

    EntryId m_self;
    OwnershipTimes m_times;
    SafetySwitches m_switches;
    std::map<ShardId, Shard> m_shards;
    std::map<ShardId, std::vector<WorkerId>> m_listed;
    std::optional<TimePoint> m_logProofAt;      ///< From the log, read here or by a peer.
    std::optional<TimePoint> m_allWitnessedAt;  ///< From every entry that could claim.
    std::optional<TimePoint> m_mostWitnessedAt; ///< From a majority of the entries.
    std::optional<SettledSpan> m_settled;       ///< None while some entry may not know this one.
};

} // namespace firefly
