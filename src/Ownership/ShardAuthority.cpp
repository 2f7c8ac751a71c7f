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
                   "claims are read in log order");
    if (it != m_shards.end()) {
        m_shards.erase(it);
    }
    if (claim.record.entry != m_self || !claim.byThisIncarnation) {
        return;
    }

    Shard shard;
    shard.term = claim.offset;
    shard.readBackAt = now;
    const bool mustHoldOff = claim.hadOwner || !m_times.workersFence;
    shard.holdOffEnds = mustHoldOff ? now + m_times.holdOff : now;
    for (const WorkerId &worker : m_listed[id]) {
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
    m_listed[shard].assign(workers.begin(), workers.end());
    const auto it = m_shards.find(shard);
    if (it == m_shards.end()) {
        return;
    }
    for (auto &[id, worker] : it->second.workers) {
        worker.listed = false;
    }
    for (const WorkerId &id : workers) {
        it->second.workers[id].listed = true;
    }
}

void ShardAuthority::onTailRead(TimePoint sentAt, Offset tail, Offset appliedTo)
{
    if (appliedTo >= tail) {
        advanceTo(m_logProofAt, sentAt);
    }
}

void ShardAuthority::onPeerReply(TimePoint sentAt, const HeartbeatReply &reply)
{
    for (const ShardTerm &it : reply.superseded) {
        const auto shard = m_shards.find(it.shard);
        if (shard != m_shards.end() && it.term > shard->second.term) {
            shard->second.lost = true;
        }
    }
    if (reply.heartbeat.logProofAge) {
        advanceTo(m_logProofAt, sentAt - *reply.heartbeat.logProofAge);
    }
}

void ShardAuthority::onWitnesses(const PeerTable &peers, TimePoint now)
{
    m_settled = peers.settled(now);
    const bool caughtUpOnly = !m_times.workersFence;
    const auto all = peers.witnessedByAll(now, caughtUpOnly);
    if (all) {
        advanceTo(m_allWitnessedAt, *all);
    }
    const auto most = peers.witnessedByMajority(now);
    if (most) {
        advanceTo(m_mostWitnessedAt, *most);
    }
}

std::vector<SyncDue> ShardAuthority::takeDueSyncs(TimePoint now)
{
    std::vector<SyncDue> due;
    for (auto &[id, shard] : m_shards) {
        if (!maySync(id, now)) {
            continue;
        }
        for (auto &[workerId, worker] : shard.workers) {
            const auto number = worker.renewal.next(now, m_times, m_switches.singleRenewal);
            if (number) {
                due.push_back({id, workerId, shard.term, *number});
            }
        }
    }
    return due;
}

bool ShardAuthority::onSyncReply(const SyncDue &sync, const SyncAnswer &answer, TimePoint now)
{
    Worker *worker = findWorker(sync.shard, sync.worker, sync.term);
    if (worker == nullptr) {
        return false;
    }
    if (answer.highestTerm != sync.term) {
        worker->refuses = worker->refuses || answer.highestTerm > sync.term;
        worker->renewal.onFailure(sync.number);
        return false;
    }
    if (!worker->renewal.onAnswer(sync.number, now)) {
        return false;
    }
    worker->refuses = worker->refuses && !answer.accepted;
    worker->boot = answer.boot;
    return true;
}

void ShardAuthority::onSyncFailed(const SyncDue &sync)
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
        found->second.refuses = true;
    }
}

std::optional<Term> ShardAuthority::mayGiveWork(const ShardId &shard, const WorkerId &worker,
                                                TimePoint now) const
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end() || it->second.releasing || !isUsable(it->second, now)) {
        return std::nullopt;
    }
    const auto found = it->second.workers.find(worker);
    if (found == it->second.workers.end() || !mayReceive(found->second) || !hasWorkProof(now)) {
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

bool ShardAuthority::lostWorkerStopped(const ShardId &shard, const WorkerId &worker,
                                       TimePoint now) const
{
    const auto at = lostWorkerStopsAt(shard, worker);
    return at && now >= *at && isSettled(now);
}

std::optional<TimePoint> ShardAuthority::lostWorkerStopsAt(const ShardId &shard,
                                                           const WorkerId &worker) const
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end() || it->second.lost || it->second.finished || !m_settled) {
        return std::nullopt;
    }
    return stopsAt(it->second, worker);
}

void ShardAuthority::forgetWorker(const ShardId &shard, const WorkerId &worker)
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end()) {
        return;
    }
    const auto found = it->second.workers.find(worker);
    if (found != it->second.workers.end() && !found->second.listed) {
        it->second.workers.erase(found);
    }
}

void ShardAuthority::beginRelease(const ShardId &shard)
{
    const auto it = m_shards.find(shard);
    if (it != m_shards.end()) {
        it->second.releasing = true;
    }
}

std::vector<ShardId> ShardAuthority::releasable() const
{
    std::vector<ShardId> ids;
    for (const auto &[id, shard] : m_shards) {
        if (!shard.releasing || shard.finished || shard.lost) {
            continue;
        }
        const bool busy = std::ranges::any_of(
            shard.workers, [](const auto &it) { return it.second.renewal.isInFlight(); });
        if (!busy) {
            ids.push_back(id);
        }
    }
    return ids;
}

ShardReleased ShardAuthority::finishRelease(const ShardId &shard)
{
    const auto it = m_shards.find(shard);
    FIREFLY_ASSERT(it != m_shards.end() && it->second.releasing && !it->second.lost,
                   "only a shard in release can be given up");
    it->second.finished = true;
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
        if (!shard.lost && !shard.finished) {
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
    for (const auto &proof : {m_logProofAt, m_allWitnessedAt, m_mostWitnessedAt}) {
        if (proof) {
            consider(*proof + m_times.proofDuration);
        }
    }
    for (const auto &[id, shard] : m_shards) {
        consider(shard.holdOffEnds);
        for (const auto &[workerId, worker] : shard.workers) {
            consider(worker.renewal.nextDue(m_times));
            consider(stopsAt(shard, workerId));
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
                                               {"listed", worker.listed},
                                               {"refuses", worker.refuses}};
        }
    }
    return json;
}

bool ShardAuthority::isSettled(TimePoint now) const
{
    return m_settled && now >= m_settled->since && now < m_settled->until;
}

bool ShardAuthority::hasStrictProof(TimePoint now) const
{
    return !m_switches.needsProof || isCurrentProof(m_logProofAt, now)
           || isCurrentProof(m_allWitnessedAt, now);
}

/// Where workers refuse older terms, work that they accept is safe without the word of an entry
/// that is silent; a majority is asked so that an entry that is cut off gives nothing.
bool ShardAuthority::hasWorkProof(TimePoint now) const
{
    return hasStrictProof(now) || (m_times.workersFence && isCurrentProof(m_mostWitnessedAt, now));
}

bool ShardAuthority::isCurrentProof(const std::optional<TimePoint> &at, TimePoint now) const
{
    return at && now < *at + m_times.proofDuration;
}

bool ShardAuthority::mayReceive(const Worker &worker) const
{
    const bool fenced = worker.renewal.granted() > 0 || !m_switches.needsFence;
    return fenced && worker.listed && !worker.refuses;
}

/// Where workers do not refuse older terms, an owner that the others do not know gives nothing.
bool ShardAuthority::isUsable(const Shard &shard, TimePoint now) const
{
    if (shard.lost || shard.finished || now < shard.holdOffEnds) {
        return false;
    }
    return m_times.workersFence || (isSettled(now) && now >= knownAt(shard) + m_times.holdOff);
}

/// Since when every other entry's proof depends on the word of this entry, which read the claim.
TimePoint ShardAuthority::knownAt(const Shard &shard) const
{
    return m_settled ? std::max(shard.readBackAt, m_settled->since) : shard.readBackAt;
}

AuthorityState ShardAuthority::stateOf(const Shard &shard, TimePoint now)
{
    if (shard.lost) {
        return AuthorityState::Lost;
    }
    if (shard.releasing) {
        return AuthorityState::Releasing;
    }
    if (now < shard.holdOffEnds) {
        return AuthorityState::HoldOff;
    }
    const bool fenced = std::ranges::all_of(shard.workers, [](const auto &it) {
        const LeaseRenewal &renewal = it.second.renewal;
        return renewal.granted() > 0 || renewal.isUnanswered();
    });
    return fenced ? AuthorityState::Active : AuthorityState::Fencing;
}

TimePoint ShardAuthority::stopsAt(const Shard &shard, const WorkerId &worker) const
{
    const Duration oneLess = m_switches.secondLease ? Duration::zero() : m_times.lease;
    const auto found = shard.workers.find(worker);
    if (found == shard.workers.end() || !found->second.renewal.answeredAt()) {
        return knownAt(shard) + m_times.strangerWait() - oneLess;
    }
    return *found->second.renewal.answeredAt() + m_times.silenceWait() - oneLess;
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
