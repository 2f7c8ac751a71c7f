#include "Membership/PeerTable.h"

#include "Records/IdJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>

namespace firefly {
namespace {

const char *toString(EntryState state)
{
    switch (state) {
    case EntryState::Live:
        return "live";
    case EntryState::Leaving:
        return "leaving";
    case EntryState::Suspected:
        return "suspected";
    case EntryState::Dead:
        break;
    }
    return "dead";
}

} // namespace

PeerTable::PeerTable(EntryId self, MembershipTimes times)
    : m_self(std::move(self))
    , m_times(times)
{}

void PeerTable::onVmList(const VmList &list, TimePoint now)
{
    const bool hadGap = !isListFresh(now);
    m_listReadAt = now;
    bool listsSelf = false;
    std::map<EntryId, EntryInfo> listed;
    for (const EntryInfo &it : list.entries) {
        if (it.id == m_self) {
            listsSelf = true;
            m_selfLeaving = it.state == VmState::Leaving;
            continue;
        }
        listed[it.id] = it;
    }

    if (!listsSelf) {
        m_selfListedAt.reset();
    } else if (!m_selfListedAt || hadGap) {
        m_selfListedAt = now;
    }
    for (auto &[id, peer] : m_peers) {
        if (peer.info && !listed.contains(id)) {
            peer.info.reset();
            peer.droppedAt = now;
        }
    }
    for (const auto &[id, info] : listed) {
        Peer &peer = m_peers[id];
        if (!peer.info) {
            peer.listedAt = now;
        }
        peer.info = info;
    }
    std::erase_if(m_peers, [&](const auto &it) {
        return !it.second.info && !mayClaim(it.second, now)
               && isSilent(it.second, now, m_times.deadAfter);
    });
}

void PeerTable::onHeartbeatReply(TimePoint sentAt, const HeartbeatReply &reply)
{
    const auto it = m_peers.find(reply.heartbeat.from);
    if (it == m_peers.end()) {
        return;
    }
    Peer &peer = it->second;
    if (peer.answeredAt && *peer.answeredAt >= sentAt) {
        return;
    }
    peer.answeredAt = sentAt;
    peer.failures = 0;
    peer.failuresWithLog = 0;
    peer.heartbeat = reply.heartbeat;
    peer.hasLaterClaim = !reply.superseded.empty();
    peer.isCaughtUp = reply.heartbeat.logProofAge.has_value();
}

void PeerTable::onHeartbeatRequest(const Heartbeat &request)
{
    const auto it = m_peers.find(request.from);
    if (it == m_peers.end()) {
        return;
    }
    it->second.heartbeat = request;
}

void PeerTable::onHeartbeatFailed(const EntryId &peer)
{
    const auto it = m_peers.find(peer);
    if (it == m_peers.end()) {
        return;
    }
    ++it->second.failures;
    if (m_logReachableSince) {
        ++it->second.failuresWithLog;
    }
}

void PeerTable::onLogReachable(bool reachable, TimePoint now)
{
    if (!reachable) {
        m_logReachableSince.reset();
        for (auto &[id, peer] : m_peers) {
            peer.failuresWithLog = 0;
        }
        return;
    }
    if (!m_logReachableSince) {
        m_logReachableSince = now;
    }
}

EntryState PeerTable::state(const EntryId &entry, TimePoint now) const
{
    if (entry == m_self) {
        return m_selfLeaving ? EntryState::Leaving : EntryState::Live;
    }
    const auto it = m_peers.find(entry);
    if (it == m_peers.end()) {
        return EntryState::Dead;
    }

    const Peer &peer = it->second;
    const bool isUnresponsive = isSilent(peer, now, m_times.suspectAfter);
    if (!peer.info && isUnresponsive) {
        return isReachedByOther(entry, now) ? EntryState::Suspected : EntryState::Dead;
    }
    if (!peer.info) {
        return EntryState::Leaving;
    }
    if (isDead(entry, peer, now)) {
        return EntryState::Dead;
    }
    if (isUnresponsive && peer.failures > 0) {
        return EntryState::Suspected;
    }
    const bool draining = peer.heartbeat && peer.heartbeat->draining;
    const bool isLeaving = draining || peer.info->state == VmState::Leaving;
    return isLeaving ? EntryState::Leaving : EntryState::Live;
}

std::vector<EntryInfo> PeerTable::peers() const
{
    std::vector<EntryInfo> infos;
    for (const auto &[id, peer] : m_peers) {
        if (peer.info) {
            infos.push_back(*peer.info);
        }
    }
    return infos;
}

std::vector<EntryId> PeerTable::claimants(TimePoint now) const
{
    std::vector<EntryId> ids;
    for (const auto &[id, peer] : m_peers) {
        if (!peer.heartbeat || isSilent(peer, now, m_times.suspectAfter)) {
            continue;
        }
        const Heartbeat &heartbeat = *peer.heartbeat;
        if (!heartbeat.acceptsShards || !heartbeat.logReachable) {
            continue;
        }
        if (state(id, now) == EntryState::Live) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<EntryId> PeerTable::reachablePeers(TimePoint now) const
{
    std::vector<EntryId> ids;
    for (const auto &[id, peer] : m_peers) {
        if (!isSilent(peer, now, m_times.suspectAfter)) {
            ids.push_back(id);
        }
    }
    return ids;
}

bool PeerTable::isSettled(TimePoint now) const
{
    return settledSpan(now).has_value();
}

std::optional<SettledSpan> PeerTable::settledSpan(TimePoint now) const
{
    if (!m_selfListedAt || !isListFresh(now)) {
        return std::nullopt;
    }
    const TimePoint since = *m_selfListedAt + m_times.listLag + m_times.listMaxAge;
    if (now < since) {
        return std::nullopt;
    }
    return SettledSpan{since, *m_listReadAt + m_times.listMaxAge};
}

std::optional<TimePoint> PeerTable::confirmedByAll(TimePoint now, bool caughtUpOnly) const
{
    if (!isListFresh(now)) {
        return std::nullopt;
    }
    TimePoint oldest = now;
    for (const auto &[id, peer] : m_peers) {
        if (!mayClaim(peer, now)) {
            continue;
        }
        const auto at = confirmedAt(peer, caughtUpOnly);
        if (!at) {
            return std::nullopt;
        }
        oldest = std::min(oldest, *at);
    }
    return oldest;
}

std::optional<TimePoint> PeerTable::confirmedByMajority(TimePoint now) const
{
    if (!m_listReadAt) {
        return std::nullopt;
    }
    std::size_t listed = 1;
    std::vector<TimePoint> times;
    for (const auto &[id, peer] : m_peers) {
        if (!peer.info) {
            continue;
        }
        ++listed;
        const auto at = confirmedAt(peer, false);
        if (at) {
            times.push_back(*at);
        }
    }

    const std::size_t needed = listed / 2;
    if (needed == 0) {
        return now;
    }
    if (times.size() < needed) {
        return std::nullopt;
    }
    std::ranges::sort(times, std::greater<>());
    return times[needed - 1];
}

std::optional<PeerCapacity> PeerTable::capacity(const ShardId &shard, TimePoint now) const
{
    std::optional<PeerCapacity> best;
    for (const PeerCapacity &it : capacities(now)) {
        if (it.shard == shard && (!best || it.term > best->term)) {
            best = it;
        }
    }
    return best;
}

std::vector<PeerCapacity> PeerTable::capacities(TimePoint now) const
{
    std::vector<PeerCapacity> capacities;
    for (const auto &[id, peer] : m_peers) {
        if (!peer.heartbeat || state(id, now) != EntryState::Live) {
            continue;
        }
        for (const OwnedShard &it : peer.heartbeat->shards) {
            capacities.push_back({id, it.shard, it.term, it.freeSlots});
        }
    }
    return capacities;
}

const Heartbeat *PeerTable::lastHeartbeat(const EntryId &entry) const
{
    const auto it = m_peers.find(entry);
    if (it == m_peers.end() || !it->second.heartbeat) {
        return nullptr;
    }
    return &*it->second.heartbeat;
}

nlohmann::json PeerTable::dump(TimePoint now) const
{
    nlohmann::json json;
    json["settled"] = isSettled(now);
    json["peers"] = nlohmann::json::object();
    for (const auto &[id, peer] : m_peers) {
        nlohmann::json &entry = json["peers"][id.value()];
        entry["state"] = toString(state(id, now));
        entry["listed"] = peer.info.has_value();
        entry["failures"] = peer.failures;
        if (peer.answeredAt) {
            entry["answeredAgoMs"] =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - *peer.answeredAt)
                    .count();
        }
        if (peer.heartbeat) {
            entry["logReachable"] = peer.heartbeat->logReachable;
            entry["shards"] = peer.heartbeat->shards.size();
        }
    }
    return json;
}

/// A listed entry may claim, and so may an unlisted one while its own copy of the list may still
/// show it.
bool PeerTable::mayClaim(const Peer &peer, TimePoint now) const
{
    return peer.info || now - peer.droppedAt < m_times.listLag + m_times.listMaxAge;
}

bool PeerTable::isDead(const EntryId &entry, const Peer &peer, TimePoint now) const
{
    if (!m_logReachableSince || now - *m_logReachableSince < m_times.deadAfter) {
        return false;
    }
    return isSilent(peer, now, m_times.deadAfter)
           && peer.failuresWithLog >= m_times.deadAfterFailures && !isReachedByOther(entry, now);
}

/// Reports of reachable entries count only from peers that replied recently themselves.
bool PeerTable::isReachedByOther(const EntryId &entry, TimePoint now) const
{
    return std::ranges::any_of(m_peers, [&](const auto &it) {
        const auto &[id, peer] = it;
        if (id == entry || !peer.heartbeat || isSilent(peer, now, m_times.suspectAfter)) {
            return false;
        }
        return std::ranges::find(peer.heartbeat->reaches, entry) != peer.heartbeat->reaches.end();
    });
}

bool PeerTable::isSilent(const Peer &peer, TimePoint now, Duration limit)
{
    const TimePoint heardAt = peer.answeredAt.value_or(peer.listedAt);
    return now - heardAt >= limit;
}

bool PeerTable::isListFresh(TimePoint now) const
{
    return m_listReadAt && now - *m_listReadAt <= m_times.listMaxAge;
}

std::optional<TimePoint> PeerTable::confirmedAt(const Peer &peer, bool caughtUpOnly)
{
    if (peer.hasLaterClaim || (caughtUpOnly && !peer.isCaughtUp)) {
        return std::nullopt;
    }
    return peer.answeredAt;
}

} // namespace firefly
