#include "Entry/EntryCore.h"

#include "Entry/EntryTimes.h"
#include "Records/Codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace firefly {
namespace {

constexpr Duration ClaimInterval = std::chrono::milliseconds(200);
/// Interval of the tasks that are linear in the owned workers, peers or attempts.
constexpr Duration RefreshInterval = std::chrono::milliseconds(100);
constexpr Duration VmListInterval = std::chrono::milliseconds(500);
constexpr Duration AdmissionUpdateInterval = std::chrono::milliseconds(500);
constexpr std::chrono::seconds RetryAfterLogFailure{2};

RoutingSettings toRoutingSettings(const Settings &settings)
{
    RoutingSettings routing;
    if (!settings.services.empty()) {
        routing.resourcesPerCall = settings.services.begin()->second.perCall;
    }
    return routing;
}

std::string_view jobStateName(const Job &job)
{
    switch (job.state) {
    case BatchJobState::Pending:
        return "pending";
    case BatchJobState::Placed:
    case BatchJobState::Cancelling:
        return "placed";
    case BatchJobState::Finished:
        return job.succeeded ? "finished" : "failed";
    case BatchJobState::Cancelled:
        break;
    }
    return "cancelled";
}

} // namespace

EntryCore::EntryCore(const Settings &settings, WriterId writer, std::uint64_t seed, TimePoint start)
    : m_settings(settings)
    , m_random(seed)
    , m_now(start)
    , m_log(std::move(writer), settings.snapshot, start)
    , m_peers(settings.entry.id, internal::toMembershipTimes(settings.ownership),
              settings.ownership.heartbeat)
    , m_workers(settings.entry.id, internal::toOwnershipTimes(settings.ownership),
                toRoutingSettings(settings))
    , m_batch(settings.entry.id, settings, {m_log, m_workers, m_peers, m_random})
    , m_calls(settings.entry.id, settings.entry.zone, settings,
              {m_log, m_workers, m_peers, m_random}, m_metrics)
    , m_nextVmListAt(start)
    , m_nextClaimsAt(start)
    , m_nextAdmissionUpdateAt(start)
    , m_nextRefreshAt(start)
{}

EntryActions EntryCore::takeActions()
{
    return std::exchange(m_actions, {});
}

void EntryCore::tick(TimePoint now)
{
    m_now = now;
    m_log.tick(now, m_actions);
    readVmListIfDue(now);
    sendDueHeartbeats(now);
    m_workers.authority().updateFromPeers(m_peers.table(), now);
    if (now >= m_nextClaimsAt) {
        m_nextClaimsAt = now + ClaimInterval;
        planClaims(now);
        m_batch.evictJobsOfLostWorkers(now);
        m_log.writeSnapshotIfDue(now, isDesignatedForSnapshots());
    }
    releaseShards();
    m_workers.sendDueSyncs(now, m_actions);
    if (now >= m_nextRefreshAt) {
        m_nextRefreshAt = now + RefreshInterval;
        m_workers.refreshPool(now);
        m_peers.refreshFreeSlots(now);
        m_batch.dropAttemptsOfLostShards();
    }
    m_batch.tick(now, m_actions);
    m_calls.tick(now, m_actions);
    m_proposals.expire(now);
    updateAdmissionIfDue(now);
    m_log.tick(now, m_actions);
}

void EntryCore::readVmListIfDue(TimePoint now)
{
    if (m_isVmListReadInFlight || now < m_nextVmListAt) {
        return;
    }
    m_isVmListReadInFlight = true;
    m_nextVmListAt = now + VmListInterval;
    m_actions.emplace_back(SendVmListRead{});
}

void EntryCore::onVmList(TimePoint now, const VmList &list)
{
    m_now = now;
    m_isVmListReadInFlight = false;
    m_peers.table().onVmList(list, now);
    m_workers.onVmList(list, now);
    m_batch.onVmList(list);
    m_workers.refreshPool(now);
}

void EntryCore::onVmListFailed(TimePoint now)
{
    m_now = now;
    m_isVmListReadInFlight = false;
}

void EntryCore::onLogRead(TimePoint now, const LogRead &read)
{
    m_now = now;
    const bool isRestored =
        m_log.onRead(now, read, [&](const LoggedEnvelope &logged, FoldResult verdict) {
            onRecord(now, logged, verdict);
        });
    if (isRestored) {
        onRestored(now);
    }
    m_peers.table().onLogReachable(true, now);
    const auto sentAt = m_log.lastReadSentAt();
    if (m_log.isCurrent() && sentAt) {
        m_workers.authority().onTailRead(*sentAt, m_log.tail(), m_log.state().applied());
    }
    reportLogReachability();
    m_batch.tick(now, m_actions);
    m_log.tick(now, m_actions);
}

void EntryCore::onLogReadFailed(TimePoint now)
{
    m_now = now;
    m_log.onReadFailed(now);
    m_peers.table().onLogReachable(false, now);
    reportLogReachability();
}

void EntryCore::reportLogReachability()
{
    if (m_log.isReachable() == m_wasLogReachable) {
        return;
    }
    m_wasLogReachable = m_log.isReachable();
    writeEvent(!m_wasLogReachable, "log", m_wasLogReachable ? "log reachable" : "log unreachable",
               "");
}

void EntryCore::onAppendReply(TimePoint now, AppendResult result)
{
    m_now = now;
    m_log.onAppendReply(now, result);
    m_metrics.add("firefly_appends_total");
    m_log.tick(now, m_actions);
}

void EntryCore::onRecord(TimePoint now, const LoggedEnvelope &logged, FoldResult verdict)
{
    m_metrics.add("firefly_records_total");
    onOwnershipRecord(now, logged, verdict);
    m_batch.onRecord(logged, verdict);
    m_calls.onRecord(now, logged, m_actions);
    if (logged.envelope.writer == m_log.writer()) {
        m_proposals.onRead(logged.envelope.sequence, {logged.offset, verdict});
    }
    const bool isListEdit = std::holds_alternative<PlansEdited>(logged.envelope.record)
                            || std::holds_alternative<LimitsEdited>(logged.envelope.record);
    if (isListEdit) {
        m_calls.updateAdmissionLimits(now);
    }
}

void EntryCore::onOwnershipRecord(TimePoint now, const LoggedEnvelope &logged, FoldResult verdict)
{
    if (const auto *claim = std::get_if<ShardClaimed>(&logged.envelope.record)) {
        m_workers.planner().onClaimRead(claim->shard);
        if (verdict != FoldResult::Accepted) {
            return;
        }
        AcceptedClaim accepted;
        accepted.offset = logged.offset;
        accepted.record = *claim;
        accepted.byThisIncarnation = logged.envelope.writer == m_log.writer();
        m_workers.authority().onClaim(accepted, now);
        if (accepted.byThisIncarnation) {
            writeEvent(false, "ownership", "shard claimed", claim->shard.value());
        }
        return;
    }
    const auto *release = std::get_if<ShardReleased>(&logged.envelope.record);
    if (release != nullptr && verdict == FoldResult::Accepted) {
        m_workers.authority().onRelease(*release);
    }
}

void EntryCore::onRestored(TimePoint now)
{
    writeEvent(true, "recovery", "state restored from a snapshot",
               std::to_string(m_log.state().applied()));
    const auto &ownership = m_log.state().get<OwnershipFold>();
    for (const ShardTerm &owned : m_workers.authority().shards()) {
        if (ownership.isCurrent(owned.shard, owned.term)) {
            continue;
        }
        AcceptedClaim newerClaim;
        newerClaim.offset = ownership.termOf(owned.shard);
        newerClaim.record.shard = owned.shard;
        newerClaim.record.previousTerm = owned.term;
        m_workers.authority().onClaim(newerClaim, now);
    }
    m_batch.onRestored();
    m_calls.onRestored(now, m_actions);
    m_calls.updateAdmissionLimits(now);
}

Heartbeat EntryCore::makeHeartbeat(TimePoint now) const
{
    Heartbeat heartbeat;
    heartbeat.from = m_settings.entry.id;
    heartbeat.writer = m_log.writer();
    heartbeat.zone = m_settings.entry.zone;
    heartbeat.draining = m_isDraining;
    heartbeat.logReachable = m_log.isReachable();
    heartbeat.acceptsShards = !m_isDraining && m_peers.table().isSettled(now);
    heartbeat.lastReadOffset = m_log.state().applied();
    if (m_log.lastReadSentAt() && m_log.isCurrent()) {
        heartbeat.logProofAge = now - *m_log.lastReadSentAt();
    }
    for (const ShardTerm &owned : m_workers.authority().shards()) {
        const std::int64_t free = m_isDraining ? 0 : m_workers.freeSlots(owned.shard);
        heartbeat.shards.push_back({owned.shard, owned.term, free});
    }
    heartbeat.plansVersion = lists().plans.version;
    heartbeat.limitsVersion = lists().limits.version;
    heartbeat.reaches = m_peers.table().reachablePeers(now);
    return heartbeat;
}

void EntryCore::sendDueHeartbeats(TimePoint now)
{
    const auto due = m_peers.takeDueHeartbeats(now);
    if (due.empty()) {
        return;
    }
    const Heartbeat heartbeat = makeHeartbeat(now);
    for (const EntryInfo &peer : due) {
        m_actions.emplace_back(SendHeartbeat{peer, heartbeat});
    }
}

HeartbeatReplyWithLists EntryCore::onHeartbeat(TimePoint now, const Heartbeat &request)
{
    m_now = now;
    m_peers.table().onHeartbeatRequest(request);
    HeartbeatReplyWithLists answer;
    answer.reply.heartbeat = makeHeartbeat(now);
    answer.reply.superseded = supersededShards(m_log.state().get<OwnershipFold>(), request);
    const OperatorLists &ownLists = lists();
    if (ownLists.plans.version > request.plansVersion
        || ownLists.limits.version > request.limitsVersion) {
        answer.lists = ownLists;
    }
    return answer;
}

void EntryCore::onHeartbeatReply(TimePoint now, const EntryId &peer,
                                 const HeartbeatReplyWithLists &answer)
{
    m_now = now;
    const TimePoint sentAt = m_peers.onReply(peer, answer.reply);
    m_workers.authority().onHeartbeatReply(sentAt, answer.reply);
    if (answer.lists && m_log.adoptLists(*answer.lists)) {
        writeEvent(false, "config", "adopted newer plans and limits from a peer", peer.value());
        m_calls.updateAdmissionLimits(now);
    }
}

void EntryCore::onHeartbeatFailed(TimePoint now, const EntryId &peer)
{
    m_now = now;
    m_peers.onFailed(peer);
}

void EntryCore::planClaims(TimePoint now)
{
    if (!m_log.isCurrent()) {
        return;
    }
    const auto shards = m_workers.table().shards();
    const ClaimInputs inputs{shards,
                             m_log.state().get<OwnershipFold>(),
                             m_peers.table(),
                             m_workers.authority(),
                             m_log.isReachable(),
                             m_isDraining || m_peers.table().isSelfLeaving()};
    const ClaimPlan plan = m_workers.planner().plan(inputs, now);
    for (const ShardClaimed &claim : plan.claims) {
        m_log.push(claim, AppendPriority::Fact);
    }
    for (const ShardId &shard : plan.releases) {
        m_workers.authority().beginRelease(shard);
    }
}

void EntryCore::releaseShards()
{
    if (!m_log.hasRoom()) {
        return;
    }
    for (const ShardId &shard : m_workers.authority().releasable()) {
        if (m_calls.hasMessagesInFlight(shard) || m_batch.hasMessagesInFlight(shard)) {
            continue;
        }
        m_log.push(m_workers.authority().finishRelease(shard), AppendPriority::Fact);
    }
}

bool EntryCore::isDesignatedForSnapshots() const
{
    const auto shards = m_workers.table().shards();
    if (shards.empty()) {
        return false;
    }
    const auto owner = m_log.state().get<OwnershipFold>().ownerOf(shards.front());
    return owner && owner->entry == m_settings.entry.id;
}

void EntryCore::updateAdmissionIfDue(TimePoint now)
{
    if (now < m_nextAdmissionUpdateAt) {
        return;
    }
    m_nextAdmissionUpdateAt = now + AdmissionUpdateInterval;
    m_calls.updateAdmissionLimits(now);
}

void EntryCore::onSyncReply(TimePoint now, const SendSync &sent, WorkerResult result,
                            const WorkerSyncReply &reply)
{
    m_now = now;
    if (result != WorkerResult::Done) {
        m_workers.onSyncFailed(sent);
        return;
    }
    if (!m_workers.onSyncReply(sent, reply, now)) {
        return;
    }
    m_batch.onSyncReply(now, sent.sync, reply, m_actions);
}

void EntryCore::onStartReply(TimePoint now, const StartAttempt &task, WorkerResult result)
{
    m_now = now;
    m_batch.onStartReply(task, result);
}

void EntryCore::onCallReply(TimePoint now, std::uint64_t dispatch, const WorkerCallReply &reply)
{
    m_now = now;
    m_calls.onCallReply(now, dispatch, reply, m_actions);
}

void EntryCore::onForwardReply(TimePoint now, std::uint64_t dispatch, const ForwardedResult &result)
{
    m_now = now;
    m_calls.onForwardReply(now, dispatch, result, m_actions);
}

void EntryCore::onCallerRequest(TimePoint now, CallerRequest request, CallDone done)
{
    m_now = now;
    m_calls.onRequest(now, std::move(request), std::move(done), m_actions);
    m_log.tick(now, m_actions);
}

void EntryCore::onForwardedCall(TimePoint now, ForwardedCall call, ForwardDone done)
{
    m_now = now;
    m_calls.onForwardedCall(now, std::move(call), std::move(done), m_actions);
}

const OperatorLists &EntryCore::lists() const
{
    return m_log.state().get<ListsFold>().inForce();
}

std::vector<EntryListVersions> EntryCore::inForce() const
{
    std::vector<EntryListVersions> entries;
    entries.push_back({m_settings.entry.id, lists().plans.version, lists().limits.version, 0});
    for (const EntryInfo &peer : m_peers.table().peers()) {
        const Heartbeat *heartbeat = m_peers.table().lastHeartbeat(peer.id);
        const auto lastAnsweredSentAt = m_peers.lastAnsweredSentAt(peer.id);
        if (heartbeat == nullptr || !lastAnsweredSentAt) {
            entries.push_back({peer.id, 0, 0, -1});
            continue;
        }
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(m_now - *lastAnsweredSentAt);
        entries.push_back(
            {peer.id, heartbeat->plansVersion, heartbeat->limitsVersion, age.count()});
    }
    return entries;
}

template <typename Record>
void EntryCore::propose(Record record, const Proposals::Done &done)
{
    if (!m_log.isReachable()) {
        done(std::nullopt);
        return;
    }
    const auto sequence = m_log.push(std::move(record), AppendPriority::NewWork);
    if (!sequence) {
        done(std::nullopt);
        return;
    }
    m_proposals.add(*sequence, m_now + ProposalTimeout, done);
    m_log.tick(m_now, m_actions);
}

template <typename Edit, typename List>
void EntryCore::proposeEdit(Edit edit, const EditCallback<List> &done)
{
    const bool wasReachable = m_log.isReachable();
    propose(edit, [this, edit, done, wasReachable](std::optional<ProposalResult> result) {
        if (!result) {
            done(LogUnreachable{RetryAfterLogFailure, wasReachable});
        } else if (result->verdict == FoldResult::Accepted) {
            done(EditAccepted{result->offset});
        } else if (result->verdict == FoldResult::Conflict) {
            done(m_log.state().template get<ListsFold>().conflict(edit));
        } else {
            done(EditInvalid{});
        }
    });
}

void EntryCore::proposePlans(PlansEdited edit, const EditCallback<PlansList> &done)
{
    proposeEdit<PlansEdited, PlansList>(std::move(edit), done);
}

void EntryCore::proposeLimits(LimitsEdited edit, const EditCallback<LimitsList> &done)
{
    proposeEdit<LimitsEdited, LimitsList>(std::move(edit), done);
}

void EntryCore::drain()
{
    if (m_isDraining) {
        return;
    }
    m_isDraining = true;
    writeEvent(false, "entry", "draining", "");
}

void EntryCore::submitJob(JobSubmission submission, const CommandCallback &done)
{
    if (auto reason = m_batch.whyNeverPlaceable(submission.spec)) {
        done(CommandRefused{std::move(*reason)});
        return;
    }
    if (submission.job.isEmpty()) {
        submission.job =
            JobId(m_log.writer().value() + ".job-" + std::to_string(++m_lastJobNumber));
    }
    const bool wasReachable = m_log.isReachable();
    const JobId job = submission.job;
    propose(JobSubmitted{job, std::move(submission.spec)},
            [done, job, wasReachable](std::optional<ProposalResult> result) {
                if (!result) {
                    done(LogUnreachable{RetryAfterLogFailure, wasReachable});
                } else if (result->verdict == FoldResult::Invalid) {
                    done(CommandRefused{"too many jobs are waiting"});
                } else if (result->verdict == FoldResult::Conflict) {
                    done(CommandRefused{"the key belongs to another job"});
                } else {
                    done(CommandDone{job});
                }
            });
}

void EntryCore::cancelJob(const JobId &job, const CommandCallback &done)
{
    if (m_log.state().get<JobLedger>().find(job) == nullptr) {
        done(CommandNotFound{});
        return;
    }
    const bool wasReachable = m_log.isReachable();
    propose(JobCancelled{job}, [done, job, wasReachable](std::optional<ProposalResult> result) {
        if (!result) {
            done(LogUnreachable{RetryAfterLogFailure, wasReachable});
        } else {
            done(CommandDone{job});
        }
    });
}

void EntryCore::switchPlannedWork(PlannedWorkSwitched planned, const CommandCallback &done)
{
    const bool wasReachable = m_log.isReachable();
    propose(std::move(planned), [done, wasReachable](std::optional<ProposalResult> result) {
        if (!result) {
            done(LogUnreachable{RetryAfterLogFailure, wasReachable});
        } else {
            done(CommandDone{});
        }
    });
}

nlohmann::json EntryCore::jobStatus(const JobId &id) const
{
    const Job *job = m_log.state().get<JobLedger>().find(id);
    if (job == nullptr) {
        return nullptr;
    }
    nlohmann::json json = {
        {"job", id.value()},           {"state", jobStateName(*job)},   {"attempt", job->attempt},
        {"evictions", job->evictions}, {"progressMs", job->progressMs}, {"result", job->result}};
    if (job->placement) {
        json["worker"] = job->placement->worker.value();
    }
    return json;
}

nlohmann::json EntryCore::explainJob(const JobId &id) const
{
    auto json = jobStatus(id);
    if (json.is_null()) {
        return json;
    }
    json["ledger"] = m_log.state().get<JobLedger>().explain(id);
    json["lastDecision"] = m_batch.explain(id);
    return json;
}

nlohmann::json EntryCore::explainWorker(const WorkerId &id) const
{
    const WorkerInfo *info = m_workers.table().find(id);
    if (info == nullptr) {
        return nullptr;
    }
    nlohmann::json json = {{"worker", id.value()},
                           {"shard", info->shard().value()},
                           {"leaving", info->state == VmState::Leaving},
                           {"open", m_workers.dispatchableWorkers().contains(id)}};
    const auto owner = m_log.state().get<OwnershipFold>().ownerOf(info->shard());
    if (owner) {
        json["owner"] = owner->entry.value();
        json["term"] = owner->term;
    }
    if (const auto index = m_workers.pool().find(id)) {
        json["pool"] = m_workers.pool().dump(*index);
    }
    for (const JobId &job : m_log.state().get<JobLedger>().placedOn(id)) {
        json["jobs"].push_back(job.value());
    }
    return json;
}

nlohmann::json EntryCore::dump() const
{
    const ClusterState &state = m_log.state();
    return {{"entry", m_settings.entry.id.value()},
            {"writer", m_log.writer().value()},
            {"healthy", isHealthy()},
            {"draining", m_isDraining},
            {"log", m_log.dump()},
            {"peers", m_peers.table().dump(m_now)},
            {"ownership", state.get<OwnershipFold>().dump()},
            {"workers", m_workers.dump(m_now)},
            {"lists", state.get<ListsFold>().dump()},
            {"plannedWork", state.get<PlannedWorkFold>().dump()},
            {"jobs", state.get<JobLedger>().dump()},
            {"intents", state.get<IntentLedger>().dump()},
            {"batch", m_batch.dump(m_now)},
            {"calls", m_calls.dump()},
            {"proposals", m_proposals.size()},
            {"metrics", m_metrics.dump()}};
}

bool EntryCore::isHealthy() const
{
    return !m_isDraining && !m_log.needsSnapshot() && m_log.lastReadSentAt().has_value();
}

bool EntryCore::isDrained() const
{
    return m_isDraining && m_calls.active() == 0 && m_workers.authority().shards().empty()
           && !m_log.hasPendingAppends();
}

void EntryCore::writeEvent(bool isWarning, std::string component, std::string message,
                           std::string detail)
{
    m_actions.emplace_back(
        WriteEvent{isWarning, std::move(component), std::move(message), std::move(detail)});
}

} // namespace firefly
