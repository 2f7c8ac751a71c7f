#include "Ownership/ShardAuthority.h"

#include "Core/Assert.h"
#include "Records/IdJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace firefly {
namespace {

const char *toString(AuthorityState state)
{
    switch (state) {
    case AuthorityState::HoldOff:
        return "hold-off";
    case AuthorityState::Fencing:
        return "fencing";
    case AuthorityState::Active:
        return "active";
    case AuthorityState::Releasing:
        return "releasing";
    case AuthorityState::Lost:
        break;
    }
    return "lost";
}

void advanceTo(std::optional<TimePoint> &at, TimePoint candidate)
{
    at = at ? std::max(*at, candidate) : candidate;
}

} // namespace

ShardAuthority::ShardAuthority(EntryId self, const OwnershipTimes &times)
    : m_self(std::move(self))
    , m_times(times)
{
    m_times.check();
}

ShardAuthority::ShardAuthority(EntryId self, const UncheckedTimes &times)
    : m_self(std::move(self))
    , m_times(times.times)
    , m_switches(times.switches)
{}

void ShardAuthority::onClaim(const AcceptedClaim &claim, TimePoint now)
{
    const ShardId &id = claim.record.shard;
    const auto it = m_shards.find(id);
    FIREFLY_ASSERT(it == m_shards.end() || claim.offset > it->second.term,
                   "accepted claims of a shard are applied in log order");
    if (it != m_shards.end()) {
        m_shards.erase(it);
    }
    if (claim.record.entry != m_self || !claim.byThisIncarnation) {
        return;
    }

    Shard shard;
    shard.term = claim.offset;
    shard.readBackAt = now;
    const bool needsHoldOff = claim.hadOwner || !m_times.hasWorkerFencing;
    shard.holdOffUntil = needsHoldOff ? now + m_times.holdOff : now;
    for (const WorkerId &worker : m_listedWorkers[id]) {
        shard.workers.try_emplace(worker);
    }
    m_shards.emplace(id, std::move(shard));
}

void ShardAuthority::onRelease(const ShardReleased &record)
{
    const auto it = m_shards.find(record.shard);
    if (it != m_shards.end() && it->second.term == record.term) {
        m_shards.erase(it);
    }
}

void ShardAuthority::setWorkers(const ShardId &shard, std::span<const WorkerId> workers)
{
    m_listedWorkers[shard].assign(workers.begin(), workers.end());
    const auto it = m_shards.find(shard);
    if (it == m_shards.end()) {
        return;
    }
    for (auto &[id, worker] : it->second.workers) {
        worker.isListed = false;
    }
    for (const WorkerId &id : workers) {
        it->second.workers[id].isListed = true;
    }
}

void ShardAuthority::onTailRead(TimePoint sentAt, Offset tail, Offset appliedTo)
{
    if (appliedTo >= tail) {
        advanceTo(m_logProofAt, sentAt);
    }
}

void ShardAuthority::onHeartbeatReply(TimePoint sentAt, const HeartbeatReply &reply)
{
    for (const ShardTerm &it : reply.superseded) {
        const auto shard = m_shards.find(it.shard);
        if (shard != m_shards.end() && it.term > shard->second.term) {
            shard->second.isLost = true;
        }
    }
    if (reply.heartbeat.logProofAge) {
        advanceTo(m_logProofAt, sentAt - *reply.heartbeat.logProofAge);
    }
}

void ShardAuthority::updateFromPeers(const PeerTable &peers, TimePoint now)
{
    m_settledSpan = peers.settledSpan(now);
    const bool caughtUpOnly = !m_times.hasWorkerFencing;
    const auto byAll = peers.confirmedByAll(now, caughtUpOnly);
    if (byAll) {
        advanceTo(m_confirmedByAllAt, *byAll);
    }
    const auto byMajority = peers.confirmedByMajority(now);
    if (byMajority) {
        advanceTo(m_confirmedByMajorityAt, *byMajority);
    }
}

std::vector<DueSync> ShardAuthority::beginDueSyncs(TimePoint now)
{
    std::vector<DueSync> due;
    for (auto &[id, shard] : m_shards) {
        if (!maySync(id, now)) {
            continue;
        }
        for (auto &[workerId, worker] : shard.workers) {
            const auto number = worker.renewal.nextNumber(now, m_times, m_switches.singleRenewal);
            if (number) {
                due.push_back({id, workerId, shard.term, *number});
            }
        }
    }
    return due;
}

bool ShardAuthority::onSyncReply(const DueSync &sync, const SyncAnswer &answer, TimePoint now)
{
    Worker *worker = findWorker(sync.shard, sync.worker, sync.term);
    if (worker == nullptr) {
        return false;
    }
    if (answer.highestTerm != sync.term) {
        worker->hasLaterTerm = worker->hasLaterTerm || answer.highestTerm > sync.term;
        worker->renewal.onFailure(sync.number);
        return false;
    }
    if (!worker->renewal.onAnswer(sync.number, now)) {
        return false;
    }
    worker->hasLaterTerm = worker->hasLaterTerm && !answer.accepted;
    worker->boot = answer.boot;
    return true;
}

void ShardAuthority::onSyncFailed(const DueSync &sync)
{
    Worker *worker = findWorker(sync.shard, sync.worker, sync.term);
    if (worker != nullptr) {
        worker->renewal.onFailure(sync.number);
    }
}

void ShardAuthority::onRefusedTerm(const ShardId &shard, const WorkerId &worker, Term highestTerm)
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end() || highestTerm <= it->second.term) {
        return;
    }
    const auto found = it->second.workers.find(worker);
    if (found != it->second.workers.end()) {
        found->second.hasLaterTerm = true;
    }
}

std::optional<Term> ShardAuthority::mayGiveWork(const ShardId &shard, const WorkerId &worker,
                                                TimePoint now) const
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end() || it->second.isReleasing || !isUsable(it->second, now)) {
        return std::nullopt;
    }
    const auto found = it->second.workers.find(worker);
    if (found == it->second.workers.end() || !mayReceiveWork(found->second) || !hasWorkProof(now)) {
        return std::nullopt;
    }
    return it->second.term;
}

std::optional<Term> ShardAuthority::maySync(const ShardId &shard, TimePoint now) const
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end() || !isUsable(it->second, now) || !hasStrictProof(now)) {
        return std::nullopt;
    }
    return it->second.term;
}

WorkerLease ShardAuthority::lease(const ShardId &shard, const WorkerId &worker) const
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end()) {
        return {};
    }
    const auto found = it->second.workers.find(worker);
    if (found == it->second.workers.end()) {
        return {};
    }
    return {found->second.renewal.granted(), found->second.boot};
}

bool ShardAuthority::isLostWorkerExpired(const ShardId &shard, const WorkerId &worker,
                                         TimePoint now) const
{
    const auto at = lostWorkerExpiresAt(shard, worker);
    return at && now >= *at && isSettled(now);
}

std::optional<TimePoint> ShardAuthority::lostWorkerExpiresAt(const ShardId &shard,
                                                             const WorkerId &worker) const
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end() || it->second.isLost || it->second.isReleased || !m_settledSpan) {
        return std::nullopt;
    }
    return workerExpiresAt(it->second, worker);
}

void ShardAuthority::forgetWorker(const ShardId &shard, const WorkerId &worker)
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end()) {
        return;
    }
    const auto found = it->second.workers.find(worker);
    if (found != it->second.workers.end() && !found->second.isListed) {
        it->second.workers.erase(found);
    }
}

void ShardAuthority::beginRelease(const ShardId &shard)
{
    const auto it = m_shards.find(shard);
    if (it != m_shards.end()) {
        it->second.isReleasing = true;
    }
}

std::vector<ShardId> ShardAuthority::releasable() const
{
    std::vector<ShardId> ids;
    for (const auto &[id, shard] : m_shards) {
        if (!shard.isReleasing || shard.isReleased || shard.isLost) {
            continue;
        }
        const bool hasSyncInFlight = std::ranges::any_of(
            shard.workers, [](const auto &it) { return it.second.renewal.isInFlight(); });
        if (!hasSyncInFlight) {
            ids.push_back(id);
        }
    }
    return ids;
}

ShardReleased ShardAuthority::finishRelease(const ShardId &shard)
{
    const auto it = m_shards.find(shard);
    FIREFLY_ASSERT(it != m_shards.end() && it->second.isReleasing && !it->second.isLost,
                   "finishRelease() needs a shard in release that is not lost");
    it->second.isReleased = true;
    return {m_self, shard, it->second.term};
}

std::optional<AuthorityState> ShardAuthority::state(const ShardId &shard, TimePoint now) const
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end()) {
        return std::nullopt;
    }
    return stateOf(it->second, now);
}

std::vector<ShardTerm> ShardAuthority::shards() const
{
    std::vector<ShardTerm> owned;
    for (const auto &[id, shard] : m_shards) {
        if (!shard.isLost && !shard.isReleased) {
            owned.push_back({id, shard.term});
        }
    }
    return owned;
}

bool ShardAuthority::holds(const ShardId &shard, Term term) const
{
    const auto it = m_shards.find(shard);
    return it != m_shards.end() && it->second.term == term;
}

std::optional<TimePoint> ShardAuthority::nextDeadline(TimePoint now) const
{
    std::optional<TimePoint> next;
    const auto consider = [&](TimePoint at) {
        if (at > now && (!next || at < *next)) {
            next = at;
        }
    };
    for (const auto &proof : {m_logProofAt, m_confirmedByAllAt, m_confirmedByMajorityAt}) {
        if (proof) {
            consider(*proof + m_times.proofDuration);
        }
    }
    for (const auto &[id, shard] : m_shards) {
        consider(shard.holdOffUntil);
        for (const auto &[workerId, worker] : shard.workers) {
            consider(worker.renewal.nextDue(m_times));
            consider(workerExpiresAt(shard, workerId));
        }
    }
    return next;
}

nlohmann::json ShardAuthority::dump(TimePoint now) const
{
    nlohmann::json json;
    json["mayRenew"] = hasStrictProof(now);
    json["mayGiveWork"] = hasWorkProof(now);
    json["shards"] = nlohmann::json::object();
    for (const auto &[id, shard] : m_shards) {
        nlohmann::json &it = json["shards"][id.value()];
        it["term"] = shard.term;
        it["state"] = toString(stateOf(shard, now));
        for (const auto &[workerId, worker] : shard.workers) {
            it["workers"][workerId.value()] = {{"granted", worker.renewal.granted()},
                                               {"inFlight", worker.renewal.isInFlight()},
                                               {"listed", worker.isListed},
                                               {"refuses", worker.hasLaterTerm}};
        }
    }
    return json;
}

bool ShardAuthority::isSettled(TimePoint now) const
{
    return m_settledSpan && now >= m_settledSpan->since && now < m_settledSpan->until;
}

/// A current proof from the log or from every entry that may claim.
bool ShardAuthority::hasStrictProof(TimePoint now) const
{
    return !m_switches.needsProof || isCurrentProof(m_logProofAt, now)
           || isCurrentProof(m_confirmedByAllAt, now);
}

/// Where workers refuse older terms, any work that they accept is safe, so entries that do not
/// reply need not confirm.  A majority must, so that a partitioned entry gives out no work.
bool ShardAuthority::hasWorkProof(TimePoint now) const
{
    return hasStrictProof(now)
           || (m_times.hasWorkerFencing && isCurrentProof(m_confirmedByMajorityAt, now));
}

bool ShardAuthority::isCurrentProof(const std::optional<TimePoint> &at, TimePoint now) const
{
    return at && now < *at + m_times.proofDuration;
}

bool ShardAuthority::mayReceiveWork(const Worker &worker) const
{
    const bool fenced = worker.renewal.granted() > 0 || !m_switches.needsFence;
    return fenced && worker.isListed && !worker.hasLaterTerm;
}

/// Where workers do not refuse older terms, an owner gives out work only once all peers know it.
bool ShardAuthority::isUsable(const Shard &shard, TimePoint now) const
{
    if (shard.isLost || shard.isReleased || now < shard.holdOffUntil) {
        return false;
    }
    return m_times.hasWorkerFencing
           || (isSettled(now) && now >= knownToPeersAt(shard) + m_times.holdOff);
}

/// Time since which no other entry's proof holds without a reply from this entry, which has read
/// its claim.
TimePoint ShardAuthority::knownToPeersAt(const Shard &shard) const
{
    return m_settledSpan ? std::max(shard.readBackAt, m_settledSpan->since) : shard.readBackAt;
}

AuthorityState ShardAuthority::stateOf(const Shard &shard, TimePoint now)
{
    if (shard.isLost) {
        return AuthorityState::Lost;
    }
    if (shard.isReleasing) {
        return AuthorityState::Releasing;
    }
    if (now < shard.holdOffUntil) {
        return AuthorityState::HoldOff;
    }
    const bool fenced = std::ranges::all_of(shard.workers, [](const auto &it) {
        const LeaseRenewal &renewal = it.second.renewal;
        return renewal.granted() > 0 || renewal.isUnanswered();
    });
    return fenced ? AuthorityState::Active : AuthorityState::Fencing;
}

TimePoint ShardAuthority::workerExpiresAt(const Shard &shard, const WorkerId &worker) const
{
    const Duration omittedLease = m_switches.awaitsTwoLeases ? Duration::zero() : m_times.lease;
    const auto found = shard.workers.find(worker);
    if (found == shard.workers.end() || !found->second.renewal.answeredAt()) {
        return knownToPeersAt(shard) + m_times.expiryAfterClaim() - omittedLease;
    }
    return *found->second.renewal.answeredAt() + m_times.expiryAfterLastAnswer() - omittedLease;
}

ShardAuthority::Worker *ShardAuthority::findWorker(const ShardId &shard, const WorkerId &worker,
                                                   Term term)
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end() || it->second.term != term) {
        return nullptr;
    }
    const auto found = it->second.workers.find(worker);
    return found == it->second.workers.end() ? nullptr : &found->second;
}

} // namespace firefly
