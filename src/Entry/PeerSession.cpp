#include "Entry/PeerSession.h"

#include <algorithm>

namespace firefly {
namespace {

/// The zone of a shard's workers, as WorkerInfo::shard() names it.
ZoneId zoneOf(const ShardId &shard)
{
    return ZoneId(shard.value().substr(0, shard.value().rfind('/')));
}

} // namespace

PeerSession::PeerSession(EntryId self, const MembershipTimes &times, Duration interval)
    : m_table(std::move(self), times)
    , m_interval(interval)
{}

std::vector<EntryInfo> PeerSession::takeDue(TimePoint now)
{
    std::vector<EntryInfo> due;
    for (const EntryInfo &peer : m_table.peers()) {
        m_infos[peer.id] = peer;
        Exchange &exchange = m_exchanges[peer.id];
        if (exchange.inFlight || now < exchange.nextAt) {
            continue;
        }
        exchange.inFlight = true;
        exchange.sentAt = now;
        exchange.nextAt = now + m_interval;
        due.push_back(peer);
    }
    return due;
}

TimePoint PeerSession::onReply(const EntryId &peer, const HeartbeatReply &reply)
{
    Exchange &exchange = m_exchanges[peer];
    exchange.inFlight = false;
    exchange.answeredAt = exchange.sentAt;
    m_table.onHeartbeatReply(exchange.sentAt, reply);
    return exchange.sentAt;
}

void PeerSession::onFailed(const EntryId &peer)
{
    m_exchanges[peer].inFlight = false;
    m_table.onHeartbeatFailed(peer);
}

std::optional<TimePoint> PeerSession::answeredAt(const EntryId &peer) const
{
    const auto it = m_exchanges.find(peer);
    return it != m_exchanges.end() ? it->second.answeredAt : std::nullopt;
}

void PeerSession::refreshRooms(TimePoint now)
{
    m_rooms.clear();
    for (const PeerCapacity &room : m_table.capacities(now)) {
        m_rooms[room.entry][zoneOf(room.shard)] += room.freeSlots;
    }
}

std::int64_t PeerSession::roomOf(const EntryId &peer, std::span<const std::string> zones) const
{
    std::int64_t room = 0;
    for (const auto &[zone, advertised] : m_rooms.at(peer)) {
        if (zones.empty() || std::ranges::find(zones, zone.value()) != zones.end()) {
            room += advertised;
        }
    }
    const auto it = m_forwarded.find(peer);
    return it != m_forwarded.end() ? room - it->second : room;
}

std::optional<EntryInfo> PeerSession::chooseForCall(std::uint64_t salt,
                                                    std::span<const EntryId> tried,
                                                    std::span<const std::string> zones) const
{
    std::vector<std::pair<EntryId, std::int64_t>> open;
    for (const auto &[peer, rooms] : m_rooms) {
        const std::int64_t room = roomOf(peer, zones);
        const bool isTried = std::find(tried.begin(), tried.end(), peer) != tried.end();
        if (room <= 0 || isTried || !m_infos.contains(peer)) {
            continue;
        }
        open.emplace_back(peer, room);
    }
    if (open.empty()) {
        return std::nullopt;
    }
    const auto &first = open[salt % open.size()];
    const auto &second = open[(salt / open.size()) % open.size()];
    return m_infos.at(first.second >= second.second ? first.first : second.first);
}

std::int64_t PeerSession::freeSlots() const
{
    std::int64_t sum = 0;
    for (const auto &[peer, rooms] : m_rooms) {
        sum += std::max<std::int64_t>(0, roomOf(peer, {}));
    }
    return sum;
}

const EntryInfo *PeerSession::find(const EntryId &peer) const
{
    const auto it = m_infos.find(peer);
    return it != m_infos.end() ? &it->second : nullptr;
}

} // namespace firefly
