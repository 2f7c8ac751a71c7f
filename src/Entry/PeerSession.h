#pragma once

#include "Core/Clock.h"
#include "Core/VmInfo.h"
#include "Entry/EntryActions.h"
#include "Membership/PeerTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace firefly {

/// Heartbeats with the peers (the other entries), and the free urgent slots that they advertise.
class PeerSession
{
public:
    PeerSession(EntryId self, const MembershipTimes &times, Duration interval);

    PeerTable &table() { return m_table; }
    const PeerTable &table() const { return m_table; }

    /// Returns the peers whose heartbeat is due and marks their heartbeats as in flight.
    std::vector<EntryInfo> takeDueHeartbeats(TimePoint now);
    /// Records a heartbeat reply.  \returns when its heartbeat was sent.
    TimePoint onReply(const EntryId &peer, const HeartbeatReply &reply);
    void onFailed(const EntryId &peer);

    /// When the last heartbeat that \a peer answered was sent; none before the first answer.
    std::optional<TimePoint> lastAnsweredSentAt(const EntryId &peer) const;

    /// Updates the free slots from the peers' last heartbeats.  Linear in the peers' shards.
    void refreshFreeSlots(TimePoint now);
    /// Chooses the peer to forward a call to: of two peers that \a salt picks among those with free
    /// slots in \a zones (empty: in all zones), the one with more; none when no peer has any.
    /// Excludes the peers in \a tried.
    std::optional<EntryInfo> chooseForwardTarget(std::uint64_t salt, std::span<const EntryId> tried,
                                                 std::span<const std::string> zones) const;
    /// Urgent slots that peers advertise as free, less the forwarded calls in flight.
    std::int64_t freeSlots() const;
    void onCallForwarded(const EntryId &peer) { ++m_forwardsInFlight[peer]; }
    void onForwardAnswered(const EntryId &peer) { --m_forwardsInFlight[peer]; }

    const EntryInfo *find(const EntryId &peer) const;

private:
    std::int64_t freeSlotsOf(const EntryId &peer, std::span<const std::string> zones) const;

    struct HeartbeatExchange
    {
        bool isInFlight = false;
        TimePoint sentAt;
        std::optional<TimePoint> lastAnsweredSentAt;
        TimePoint nextAt;
    };

    PeerTable m_table;
    Duration m_interval;
    std::map<EntryId, EntryInfo> m_peerInfos;
    std::map<EntryId, HeartbeatExchange> m_exchanges;
    /// Free urgent slots that each live peer advertises, by zone of its workers.
    std::map<EntryId, std::map<ZoneId, std::int64_t>> m_freeSlots;
    std::map<EntryId, std::int64_t> m_forwardsInFlight; ///< Forwarded calls in flight, by peer.
};

} // namespace firefly
