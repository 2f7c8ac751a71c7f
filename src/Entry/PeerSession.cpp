#include "Entry/PeerSession.h"

#include <algorithm>

namespace firefly {

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
        exchange = {true, now, now + m_interval};
        due.push_back(peer);
    }
    return due;
}

void PeerSession::onReply(const EntryId &peer, const HeartbeatReply &reply)
{
    Exchange &exchange = m_exchanges[peer];
    exchange.inFlight = false;
    m_table.onExchange(exchange.sentAt, reply);
}

void PeerSession::onFailed(const EntryId &peer)
{
    m_exchanges[peer].inFlight = false;
    m_table.onExchangeFailed(peer);
}

TimePoint PeerSession::lastSentAt(const EntryId &peer) const
{
    const auto it = m_exchanges.find(peer);
    return it != m_exchanges.end() ? it->second.sentAt : TimePoint{};
}

std::map<EntryId, std::int64_t> PeerSession::roomOfPeers(TimePoint now) const
{
    std::map<EntryId, std::int64_t> rooms;
    for (const PeerRoom &room : m_table.rooms(now)) {
        rooms[room.entry] += room.freeSlots;
    }
    for (const auto &[peer, calls] : m_forwarded) {
        const auto it = rooms.find(peer);
        if (it != rooms.end()) {
            it->second -= calls;
        }
    }
    return rooms;
}

std::optional<EntryInfo> PeerSession::chooseForCall(TimePoint now, std::uint64_t salt,
                                                    std::span<const EntryId> tried) const
{
    std::vector<std::pair<EntryId, std::int64_t>> open;
    for (const auto &[peer, room] : roomOfPeers(now)) {
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

std::int64_t PeerSession::freeSlots(TimePoint now) const
{
    std::int64_t sum = 0;
    for (const auto &[peer, room] : roomOfPeers(now)) {
        sum += std::max<std::int64_t>(0, room);
    }
    return sum;
}

const EntryInfo *PeerSession::find(const EntryId &peer) const
{
    const auto it = m_infos.find(peer);
    return it != m_infos.end() ? &it->second : nullptr;
}

} // namespace firefly
