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

/// Heartbeats with the other entries, and the room that they advertise.
class PeerSession
{
public:
    PeerSession(EntryId self, const MembershipTimes &times, Duration interval);

    PeerTable &table() { return m_table; }
    const PeerTable &table() const { return m_table; }

    /// Peers to send a heartbeat to now; each is counted as sent.
    std::vector<EntryInfo> takeDue(TimePoint now);
    /// Notes a reply; \returns when its heartbeat was sent.
    TimePoint onReply(const EntryId &peer, const HeartbeatReply &reply);
    void onFailed(const EntryId &peer);

    /// When the last heartbeat that \a peer answered was sent; none when it answered none.
    std::optional<TimePoint> answeredAt(const EntryId &peer) const;

    /// Takes over what peers advertise.  Linear in the peers' shards.
    void refreshRooms(TimePoint now);
    /// The peer to hand a call to: the one with more room in \a zones (empty: in all) of two
    /// spread by \a salt, if any has room.
    std::optional<EntryInfo> chooseForCall(std::uint64_t salt, std::span<const EntryId> tried,
                                           std::span<const std::string> zones) const;
    /// Urgent calls that peers say they can take, less those on their way.
    std::int64_t freeSlots() const;
    void noteForwarded(const EntryId &peer) { ++m_forwarded[peer]; }
    void noteReturned(const EntryId &peer) { --m_forwarded[peer]; }

    const EntryInfo *find(const EntryId &peer) const;

private:
    std::int64_t roomOf(const EntryId &peer, std::span<const std::string> zones) const;

    struct Exchange
    {
        bool inFlight = false;
        TimePoint sentAt;
        std::optional<TimePoint> answeredAt;
        TimePoint nextAt;
    };

    PeerTable m_table;
    Duration m_interval;
    std::map<EntryId, EntryInfo> m_infos;
    std::map<EntryId, Exchange> m_exchanges;
    /// Urgent calls that each live peer can take, by zone of its workers.
    std::map<EntryId, std::map<ZoneId, std::int64_t>> m_rooms;
    std::map<EntryId, std::int64_t> m_forwarded; ///< Calls on their way, by peer.
};

} // namespace firefly
