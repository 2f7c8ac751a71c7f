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

/// What this entry believes about another entry.
enum class EntryState {
    Live,      ///< Answers, or has had no time to be asked yet.
    Leaving,   ///< Answers, and is draining or leaves the VM list.
    Suspected, ///< Silent; no work is forwarded to it.
    Dead       ///< Silent for long while the log was reachable, or gone from the VM list.
};

/// How long the VM list has shown this entry without a gap, as far as its readings tell.
struct SettledSpan
{
    TimePoint since; ///< Every other entry knew this one from then on.
    TimePoint until; ///< When the newest reading becomes too old to tell.
};

/// Room that a peer advertises for one of its shards.
struct PeerRoom
{
    EntryId entry;
    ShardId shard;
    Term term = 0;
    std::int64_t freeSlots = 0;
};

/// What the other entries said last, and which of them are alive.
///
/// An answer counts from the moment its question was sent.  Silence counts only while this entry
/// reaches the log, so an outage of the log makes nobody dead.
class PeerTable
{
public:
    PeerTable(EntryId self, MembershipTimes times);

    void onVmList(const VmList &list, TimePoint now);
    /// The peer answered a request that was sent at \a sentAt.
    void onExchange(TimePoint sentAt, const HeartbeatReply &reply);
    /// A peer asked this entry; its word is used, but is no answer to a question of this entry.
    void onRequest(const Heartbeat &request);
    void onExchangeFailed(const EntryId &peer);
    void onLogReachable(bool reachable, TimePoint now);

    EntryState state(const EntryId &entry, TimePoint now) const;
    /// Endpoints to send heartbeats to: every listed entry but this one.
    std::vector<EntryInfo> peers() const;
    /// Entries that may take over shards now, this entry excluded, in order of id.
    std::vector<EntryId> claimants(TimePoint now) const;
    /// Peers that answered within MembershipTimes::suspectAfter.
    std::vector<EntryId> reached(TimePoint now) const;
    /// True when the VM list has shown this entry for its whole lag, and still does.
    bool isSettled(TimePoint now) const;
    /// None while the VM list has not shown this entry for its whole lag.
    std::optional<SettledSpan> settled(TimePoint now) const;
    /// True when the VM list shows this entry as leaving.
    bool isSelfLeaving() const { return m_selfLeaving; }

    /// Time as of which every entry that could claim had read no claim on this entry's shards.
    ///
    /// Needs an answer of each listed entry, and of each that vanished less than the list's lag
    /// ago; none when one is missing or the VM list is old.  With \a caughtUpOnly, an entry that
    /// has not read the log to its tail since its start gives no answer.
    std::optional<TimePoint> witnessedByAll(TimePoint now, bool caughtUpOnly) const;
    /// As witnessedByAll(), by a majority of the listed entries, this entry included.
    std::optional<TimePoint> witnessedByMajority(TimePoint now) const;

    /// Where calls for \a shard can be forwarded: its owner if live, with room that it advertised.
    std::optional<PeerRoom> room(const ShardId &shard, TimePoint now) const;
    /// Every room that live peers advertise, by shard.
    std::vector<PeerRoom> rooms(TimePoint now) const;
    const Heartbeat *lastHeartbeat(const EntryId &entry) const;

    nlohmann::json dump(TimePoint now) const;

private:
    struct Peer
    {
        std::optional<EntryInfo> info;       ///< None once the VM list dropped it.
        TimePoint listedAt;                  ///< First reading that showed it.
        TimePoint droppedAt;                 ///< First reading without it.
        std::optional<TimePoint> answeredAt; ///< When the last answered question was sent.
        std::int64_t failures = 0;           ///< Since the last answer.
        std::int64_t failuresWithLog = 0;    ///< Those while the log was reachable.
        std::optional<Heartbeat> heartbeat;
        bool supersedes = false; ///< Its last answer named a later claim.
        bool caughtUp = false;   ///< Its last answer came after it had read the log to its tail.
    };

    bool mayClaim(const Peer &peer, TimePoint now) const;
    bool isDead(const EntryId &entry, const Peer &peer, TimePoint now) const;
    bool isReachedByOther(const EntryId &entry, TimePoint now) const;
    static bool isSilent(const Peer &peer, TimePoint now, Duration limit);
    bool isListFresh(TimePoint now) const;
    static std::optional<TimePoint> testimony(const Peer &peer, bool caughtUpOnly);

    EntryId m_self;
    MembershipTimes m_times;
    std::map<EntryId, Peer> m_peers;
    std::optional<TimePoint> m_selfListedAt;
    bool m_selfLeaving = false;
    std::optional<TimePoint> m_listReadAt;
    std::optional<TimePoint> m_logReachableSince;
};

} // namespace firefly
