#include "Entry/PeerSession.h"

#include <algorithm>

namespace firefly {
namespace {

/// The zone part of a shard id made by WorkerInfo::shard().
ZoneId zoneOf(const ShardId &shard)
{
    return ZoneId(shard.value().substr(0, shard.value().rfind('/')));
}

} // namespace

PeerSession::PeerSession(EntryId self, const MembershipTimes &times, Duration interval)
    : m_table(std::move(self), times)
    , m_interval(interval)
{}

std::vector<EntryInfo> PeerSession::takeDueHeartbeats(TimePoint now)
{
    std::vector<EntryInfo> due;
    for (const EntryInfo &peer : m_table.peers()) {
        m_peerInfos[peer.id] = peer;
        HeartbeatExchange &exchange = m_exchanges[peer.id];
        if (exchange.isInFlight || now < exchange.nextAt) {
            continue;
        }
        exchange.isInFlight = true;
        exchange.sentAt = now;
        exchange.nextAt = now + m_interval;
        due.push_back(peer);
    }
    return due;
}

TimePoint PeerSession::onReply(const EntryId &peer, const HeartbeatReply &reply)
{
    HeartbeatExchange &exchange = m_exchanges[peer];
    exchange.isInFlight = false;
    exchange.lastAnsweredSentAt = exchange.sentAt;
    m_table.onHeartbeatReply(exchange.sentAt, reply);
    return exchange.sentAt;
}

void PeerSession::onFailed(const EntryId &peer)
{
    m_exchanges[peer].isInFlight = false;
    m_table.onHeartbeatFailed(peer);
}

std::optional<TimePoint> PeerSession::lastAnsweredSentAt(const EntryId &peer) const
{
    const auto it = m_exchanges.find(peer);
    return it != m_exchanges.end() ? it->second.lastAnsweredSentAt : std::nullopt;
}

void PeerSession::refreshFreeSlots(TimePoint now)
{
    m_freeSlots.clear();
    for (const PeerCapacity &room : m_table.capacities(now)) {
        m_freeSlots[room.entry][zoneOf(room.shard)] += room.freeSlots;
    }
}

std::int64_t PeerSession::freeSlotsOf(const EntryId &peer, std::span<const std::string> zones) const
{
    std::int64_t free = 0;
    for (const auto &[zone, advertised] : m_freeSlots.at(peer)) {
        if (zones.empty() || std::ranges::find(zones, zone.value()) != zones.end()) {
            free += advertised;
        }
    }
    const auto it = m_forwardsInFlight.find(peer);
    return it != m_forwardsInFlight.end() ? free - it->second : free;
}

std::optional<EntryInfo> PeerSession::chooseForwardTarget(std::uint64_t salt,
                                                          std::span<const EntryId> tried,
                                                          std::span<const std::string> zones) const
{
    std::vector<std::pair<EntryId, std::int64_t>> candidates;
    for (const auto &[peer, slotsByZone] : m_freeSlots) {
        const std::int64_t free = freeSlotsOf(peer, zones);
        const bool isTried = std::find(tried.begin(), tried.end(), peer) != tried.end();
        if (free <= 0 || isTried || !m_peerInfos.contains(peer)) {
            continue;
        }
        candidates.emplace_back(peer, free);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto &first = candidates[salt % candidates.size()];
    const auto &second = candidates[(salt / candidates.size()) % candidates.size()];
    return m_peerInfos.at(first.second >= second.second ? first.first : second.first);
}

std::int64_t PeerSession::freeSlots() const
{
    std::int64_t sum = 0;
    for (const auto &[peer, slotsByZone] : m_freeSlots) {
        sum += std::max<std::int64_t>(0, freeSlotsOf(peer, {}));
    }
    return sum;
}

const EntryInfo *PeerSession::find(const EntryId &peer) const
{
    const auto it = m_peerInfos.find(peer);
    return it != m_peerInfos.end() ? &it->second : nullptr;
}

} // namespace firefly
