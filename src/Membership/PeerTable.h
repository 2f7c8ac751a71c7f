#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"
#include "Core/VmInfo.h"
#include "Membership/Heartbeat.h"
#include "Membership/MembershipTimes.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace firefly {

/// Liveness of an entry as seen by this entry.
enum class EntryState {
    Live,      ///< Replies, or was listed too recently to be suspected.
    Leaving,   ///< Replies, but is draining, marked as leaving or no longer listed.
    Suspected, ///< Does not reply; no work is forwarded to it.
    Dead       ///< Silent for too long while the log was reachable, or silent and not listed.
};

/// Time span in which every other entry knows that this entry is a member.
struct SettledSpan
{
    TimePoint since; ///< The VM list has shown this entry long enough for all entries to see it.
    TimePoint until; ///< When the last read of the VM list becomes stale.
};

/// Free capacity that a peer advertises for one of its shards.
struct PeerCapacity
{
    EntryId entry;
    ShardId shard;
    Term term = 0;
    std::int64_t freeSlots = 0;
};

/// Last heartbeats of the other entries, and a failure detector over them.
///
/// A reply counts as of the time at which its request was sent.  A peer is declared dead only for
/// failures while this entry reaches the log, so a log outage alone makes no peer dead.
class PeerTable
{
public:
    PeerTable(EntryId self, MembershipTimes times);

    void onVmList(const VmList &list, TimePoint now);
    /// Applies a reply to the heartbeat sent at \a sentAt; ignored if a later one was answered.
    void onHeartbeatReply(TimePoint sentAt, const HeartbeatReply &reply);
    /// Stores a peer's heartbeat request; it does not count as a reply for liveness.
    void onHeartbeatRequest(const Heartbeat &request);
    void onHeartbeatFailed(const EntryId &peer);
    void onLogReachable(bool reachable, TimePoint now);

    EntryState state(const EntryId &entry, TimePoint now) const;
    /// Entries to send heartbeats to: every listed one except this entry.
    std::vector<EntryInfo> peers() const;
    /// Live entries other than this one that may claim shards now, in order of id.
    std::vector<EntryId> claimants(TimePoint now) const;
    /// Peers that replied within MembershipTimes::suspectAfter.
    std::vector<EntryId> reachablePeers(TimePoint now) const;
    /// True when the VM list has shown this entry without a gap for long enough that every other
    /// entry has seen it: MembershipTimes::listLag plus MembershipTimes::listMaxAge.
    bool isSettled(TimePoint now) const;
    /// Span in which isSettled() holds; none when it does not hold at \a now.
    std::optional<SettledSpan> settledSpan(TimePoint now) const;
    /// True when the VM list shows this entry as leaving.
    bool isSelfLeaving() const { return m_selfLeaving; }

    /// Time as of which no entry that may claim had read a later claim on this entry's shards.
    ///
    /// Needs a reply from every listed entry, and from every entry that left the VM list less than
    /// MembershipTimes::listLag plus MembershipTimes::listMaxAge ago; none when a reply is missing
    /// or the VM list is stale.  With \a caughtUpOnly, the reply of an entry that has not read the
    /// log up to its tail since its start does not count.
    std::optional<TimePoint> confirmedByAll(TimePoint now, bool caughtUpOnly) const;
    /// Like confirmedByAll(), but by a majority of the listed entries, including this entry.
    std::optional<TimePoint> confirmedByMajority(TimePoint now) const;

    /// Capacity advertised by the live owner of \a shard, to which calls can be forwarded.
    std::optional<PeerCapacity> capacity(const ShardId &shard, TimePoint now) const;
    /// Capacity that live peers advertise, one element per peer and shard.
    std::vector<PeerCapacity> capacities(TimePoint now) const;
    const Heartbeat *lastHeartbeat(const EntryId &entry) const;

    nlohmann::json dump(TimePoint now) const;

private:
    struct Peer
    {
        std::optional<EntryInfo> info;       ///< None once it is no longer in the VM list.
        TimePoint listedAt;                  ///< When the VM list first contained it.
        TimePoint droppedAt;                 ///< When the VM list first lacked it.
        std::optional<TimePoint> answeredAt; ///< When the last request with a reply was sent.
        std::int64_t failures = 0;           ///< Failed heartbeats since the last reply.
        std::int64_t failuresWithLog = 0;    ///< Those of them while the log was reachable.
        std::optional<Heartbeat> heartbeat;
        bool hasLaterClaim = false; ///< Its last reply named a later claim.
        bool isCaughtUp = false;    ///< It had read the log up to its tail at its last reply.
    };

    bool mayClaim(const Peer &peer, TimePoint now) const;
    bool isDead(const EntryId &entry, const Peer &peer, TimePoint now) const;
    bool isReachedByOther(const EntryId &entry, TimePoint now) const;
    static bool isSilent(const Peer &peer, TimePoint now, Duration limit);
    bool isListFresh(TimePoint now) const;
    static std::optional<TimePoint> confirmedAt(const Peer &peer, bool caughtUpOnly);

    EntryId m_self;
    MembershipTimes m_times;
    std::map<EntryId, Peer> m_peers;
    std::optional<TimePoint> m_selfListedAt;
    bool m_selfLeaving = false;
    std::optional<TimePoint> m_listReadAt;
    std::optional<TimePoint> m_logReachableSince;
};

} // namespace firefly
