#include "Entry/BatchRunner.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace firefly {
namespace {

/// Time for which one entry may place a pending job before the next one in its ranking may.
constexpr Duration PlacementTurn = std::chrono::seconds(2);
/// Interval at which a stop without effect is sent again.
constexpr Duration StopRetry = std::chrono::seconds(2);
/// Fewest running urgent calls for which an observed slowdown is used; with fewer it is too noisy.
constexpr std::int64_t MinCallsToLearn = 1;

Resources elementwiseMax(const Resources &a, const Resources &b)
{
    return {std::max(a.milliProcessors, b.milliProcessors), std::max(a.memoryMiB, b.memoryMiB),
            std::max(a.accelerators, b.accelerators), std::max(a.slots, b.slots)};
}

double processorShareOf(const Resources &amount, const Resources &capacity)
{
    if (capacity.milliProcessors == 0) {
        return 0;
    }
    return static_cast<double>(amount.milliProcessors)
           / static_cast<double>(capacity.milliProcessors);
}

PlacementSettings toPlacementSettings(const PolicySettings &policy)
{
    PlacementSettings settings;
    settings.urgentWeight = policy.urgentWeight;
    return settings;
}

EvictionSettings toEvictionSettings(const PolicySettings &policy)
{
    EvictionSettings settings;
    settings.urgentWeight = policy.urgentWeight;
    return settings;
}

ServiceId firstServiceOf(const Settings &settings)
{
    return settings.services.empty() ? ServiceId("default") : settings.services.begin()->first;
}

} // namespace

BatchRunner::BatchRunner(EntryId self, const Settings &settings, EntrySessions sessions)
    : m_self(std::move(self))
    , m_sessions(sessions)
    , m_placementSettings(toPlacementSettings(settings.policy))
    , m_urgentService(m_slowdowns.service(firstServiceOf(settings)))
    , m_evictions(toEvictionSettings(settings.policy))
{}

void BatchRunner::onVmList(const VmList &list)
{
    for (const WorkerInfo &worker : m_listedWorkers) {
        m_capacityShapes.remove(worker);
    }
    m_listedWorkers = list.workers;
    for (const WorkerInfo &worker : m_listedWorkers) {
        m_capacityShapes.add(worker);
    }
}

void BatchRunner::tick(TimePoint now, EntryActions &actions)
{
    if (m_sessions.log.isCurrent() && m_sessions.log.hasRoom()) {
        placePending(now);
    }
    startReady(now, actions);
}

void BatchRunner::dropAttemptsOfLostShards()
{
    std::vector<JobId> lost;
    for (const auto &[job, attempt] : m_attempts) {
        if (!m_sessions.workers.authority().holds(attempt.shard, attempt.term)) {
            lost.push_back(job);
        }
    }
    for (const JobId &job : lost) {
        release(job);
    }
}

void BatchRunner::placePending(TimePoint now)
{
    if (m_sessions.workers.dispatchableWorkers().empty()) {
        return;
    }
    const auto &ledger = m_sessions.log.state().get<JobLedger>();
    auto entries = m_sessions.peers.table().claimants(now);
    entries.push_back(m_self);
    std::sort(entries.begin(), entries.end());
    std::vector<JobId> chosen;
    auto it = ledger.pending().upper_bound(m_scanPosition);
    for (std::size_t n = 0; n < MaxScannedPerTick && it != ledger.pending().end(); ++n, ++it) {
        m_scanPosition = it->first;
        if (m_attempts.contains(it->second) || !isMyTurn(it->second, entries, now)) {
            continue;
        }
        chosen.push_back(it->second);
        if (chosen.size() == MaxPlacementsPerTick) {
            break;
        }
    }
    if (it == ledger.pending().end()) {
        m_scanPosition = 0;
    }
    for (const JobId &job : chosen) {
        place(*ledger.find(job), now);
    }
}

bool BatchRunner::isMyTurn(const JobId &job, std::span<const EntryId> entries, TimePoint now) const
{
    const auto ranked = ClaimPlanner::rank(ShardId(job.value()), entries);
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / PlacementTurn);
    return ranked[turn % ranked.size()] == m_self;
}

bool BatchRunner::fitsPlan(const Job &job) const
{
    const auto &lists = m_sessions.log.state().get<ListsFold>();
    const std::string *plan = lists.planOf(job.spec.customer);
    const PlanLimits *limits = lists.limitsOf(job.spec.customer);
    if (plan == nullptr || limits == nullptr) {
        return false;
    }
    Resources total = m_planUsage.ofPlan(*plan, lists.plans().planOfCustomer) + job.spec.resources;
    total.slots = 0;
    return total.fitsIn(limits->resources);
}

PlacementContext BatchRunner::context() const
{
    return {m_sessions.workers.pool(), m_mixes, m_slowdowns, m_urgentService, m_placementSettings};
}

void BatchRunner::place(const Job &job, TimePoint now)
{
    const auto &state = m_sessions.log.state();
    if (!state.get<PlannedWorkFold>().isRunning(job.spec.customer, job.spec.kind)) {
        m_lastDecisions[job.id] = "planned work of this kind is stopped for the customer";
        return;
    }
    if (!fitsPlan(job)) {
        m_lastDecisions[job.id] = "the plan's resources are exhausted";
        return;
    }
    const Resources need =
        elementwiseMax(job.spec.resources, m_sizeEstimator.estimate(job.spec).resources);
    PlacementRequest request;
    request.job = job.id;
    request.kind = m_slowdowns.batchKind(job.spec.kind);
    request.resources = need;
    request.zones = state.get<ListsFold>().limitsOf(job.spec.customer)->zones;
    const std::vector<WorkerIndex> failed = workersThatFailed(job.id);
    request.exclude = failed;
    const Placement placement =
        m_placer.place(context(), m_capacityShapes, request, m_sessions.random, now);
    if (const auto *placed = std::get_if<Placed>(&placement)) {
        propose(job, *placed, need, now);
    } else if (const auto *notNow = std::get_if<Deferred>(&placement)) {
        m_lastDecisions[job.id] = std::string(toString(notNow->reason));
    } else {
        m_lastDecisions[job.id] = std::get<Infeasible>(placement).reason;
    }
}

void BatchRunner::propose(const Job &job, const Placed &placed, const Resources &need,
                          TimePoint now)
{
    const WorkerInfo &info = m_sessions.workers.pool().view(placed.worker).info;
    const auto term = m_sessions.workers.dispatchTerm(info.id, now);
    if (!term || m_pendingRecords.contains(job.id)) {
        return;
    }
    Attempt attempt;
    attempt.number = job.attempt + 1;
    attempt.worker = info.id;
    attempt.index = placed.worker;
    attempt.shard = info.shard();
    attempt.term = *term;
    attempt.reserved = need;
    attempt.kind = m_slowdowns.batchKind(job.spec.kind);
    attempt.share = processorShareOf(need, info.capacity);
    if (!m_sessions.workers.pool().reserveBatch(placed.worker, need)) {
        return;
    }
    reserve(attempt);
    pushUnlessPending(job.id, JobPlaced{job.id, attempt.number, info.id, attempt.shard, *term});
    m_lastDecisions[job.id] = std::string(toString(placed.reason)) + " on " + info.id.value();
    m_attempts.emplace(job.id, std::move(attempt));
    if (!m_pendingRecords.contains(job.id)) {
        release(job.id);
    }
}

void BatchRunner::reserve(Attempt &attempt)
{
    m_mixes.add(attempt.index, attempt.kind, attempt.share);
    refreshExpectedSlowdown(attempt);
}

void BatchRunner::release(const JobId &job)
{
    const auto it = m_attempts.find(job);
    if (it == m_attempts.end()) {
        return;
    }
    const Attempt &attempt = it->second;
    m_mixes.remove(attempt.index, attempt.kind, attempt.share);
    refreshExpectedSlowdown(attempt);
    m_sessions.workers.pool().releaseBatch(attempt.index, attempt.reserved);
    m_attempts.erase(it);
}

void BatchRunner::refreshExpectedSlowdown(const Attempt &attempt)
{
    const auto estimate =
        m_slowdowns.predict(m_urgentService, m_mixes.of(attempt.index), attempt.startedAt);
    m_sessions.workers.pool().setExpectedSlowdown(attempt.index, estimate.mean);
}

void BatchRunner::startReady(TimePoint now, EntryActions &actions)
{
    const std::set<JobId> ready = m_readyJobs;
    for (const JobId &job : ready) {
        const auto it = m_attempts.find(job);
        if (it == m_attempts.end() || it->second.phase != Phase::Ready) {
            m_readyJobs.erase(job);
            continue;
        }
        start(job, it->second, now, actions);
    }
}

void BatchRunner::start(const JobId &id, Attempt &attempt, TimePoint now, EntryActions &actions)
{
    const Job *job = m_sessions.log.state().get<JobLedger>().find(id);
    const auto term = m_sessions.workers.dispatchTerm(attempt.worker, now);
    const WorkerLease lease = m_sessions.workers.authority().lease(attempt.shard, attempt.worker);
    const bool isRecordPending = m_pendingRecords.contains(id);
    if (job == nullptr || isRecordPending || !term || *term != attempt.term || lease.number == 0) {
        return;
    }
    if (job->state == BatchJobState::Cancelling) {
        pushUnlessPending(id, JobEvicted{id, attempt.number, attempt.term, EvictionReason::Refused,
                                         job->progressMs});
        return;
    }
    attempt.phase = Phase::Starting;
    attempt.startLeaseNumber = lease.number;
    attempt.isStartInFlight = true;
    attempt.startedAt = now;
    StartAttempt task;
    task.worker = attempt.worker;
    task.term = attempt.term;
    task.leaseNumber = lease.number;
    task.boot = lease.boot;
    task.job = id;
    task.attempt = attempt.number;
    task.kind = job->spec.kind;
    task.resources = attempt.reserved;
    task.runtimeMs = job->spec.runtimeMs;
    task.progressMs = job->progressMs;
    task.payload = job->spec.payload;
    actions.emplace_back(
        SendStart{*m_sessions.workers.table().find(attempt.worker), std::move(task)});
}

void BatchRunner::onStartReply(const StartAttempt &task, WorkerResult result)
{
    const auto it = m_attempts.find(task.job);
    if (it == m_attempts.end() || it->second.number != task.attempt) {
        return;
    }
    Attempt &attempt = it->second;
    attempt.isStartInFlight = false;
    if (attempt.phase != Phase::Starting || attempt.startLeaseNumber != task.leaseNumber) {
        return;
    }
    if (result == WorkerResult::NotSent) {
        attempt.phase = Phase::Ready;
        m_readyJobs.insert(task.job);
    } else if (result == WorkerResult::Refused) {
        pushUnlessPending(task.job, JobEvicted{task.job, task.attempt, attempt.term,
                                               EvictionReason::Refused, task.progressMs});
    }
}

bool BatchRunner::hasMessagesInFlight(const ShardId &shard) const
{
    for (const auto &[job, attempt] : m_attempts) {
        if (attempt.shard == shard && attempt.isStartInFlight) {
            return true;
        }
    }
    return false;
}

void BatchRunner::onSyncReply(TimePoint now, const WorkerSync &sync, const WorkerSyncReply &reply,
                              EntryActions &actions)
{
    for (const TaskReport &report : reply.tasks) {
        onReport(now, sync, report, actions);
    }
    evictUnreported(sync, reply);
    const auto index = m_sessions.workers.pool().find(sync.worker);
    if (!index) {
        return;
    }
    if (reply.urgentRunning >= MinCallsToLearn && !m_mixes.of(*index).empty()) {
        m_slowdowns.observe(m_urgentService, m_mixes.of(*index), reply.urgentSlowdown, now);
    }
    relievePressure(now, sync, reply, actions);
}

void BatchRunner::onReport(TimePoint now, const WorkerSync &sync, const TaskReport &report,
                           EntryActions &actions)
{
    const Job *job = m_sessions.log.state().get<JobLedger>().find(report.job);
    const bool isCurrent = job != nullptr && job->mayBeRunning() && job->attempt == report.attempt
                           && job->placement->worker == sync.worker;
    if (!isCurrent) {
        onStaleReport(sync, report, job, actions);
        return;
    }
    switch (report.state) {
    case AttemptState::Running:
        onRunning(now, *job, sync, report, actions);
        break;
    case AttemptState::Finished:
        pushUnlessPending(job->id,
                          JobFinished{job->id, report.attempt, sync.term, true, report.result});
        break;
    case AttemptState::Failed:
        onFailed(*job, sync, report);
        break;
    case AttemptState::Stopped: {
        const auto it = m_attempts.find(job->id);
        const bool hasStopReason = it != m_attempts.end() && it->second.stopReason.has_value();
        const auto reason = hasStopReason ? *it->second.stopReason : EvictionReason::LeaseLapsed;
        pushUnlessPending(
            job->id, JobEvicted{job->id, report.attempt, sync.term, reason, report.progressMs});
        break;
    }
    }
}

void BatchRunner::onFailed(const Job &job, const WorkerSync &sync, const TaskReport &report)
{
    if (job.failures + 1 >= MaxFailedAttempts) {
        pushUnlessPending(job.id,
                          JobFinished{job.id, report.attempt, sync.term, false, report.result});
        return;
    }
    m_failedOn[job.id].insert(sync.worker);
    pushUnlessPending(job.id, JobEvicted{job.id, report.attempt, sync.term,
                                         EvictionReason::TaskFailed, job.progressMs});
}

std::vector<WorkerIndex> BatchRunner::workersThatFailed(const JobId &job) const
{
    std::vector<WorkerIndex> failed;
    const auto it = m_failedOn.find(job);
    if (it == m_failedOn.end()) {
        return failed;
    }
    for (const WorkerId &worker : it->second) {
        if (const auto index = m_sessions.workers.pool().find(worker)) {
            failed.push_back(*index);
        }
    }
    return failed;
}

void BatchRunner::onStaleReport(const WorkerSync &sync, const TaskReport &report, const Job *job,
                                EntryActions &actions)
{
    if (report.state != AttemptState::Running) {
        m_sessions.workers.acknowledge(sync.worker, report.job, report.attempt);
        return;
    }
    const bool isNewerThanPlaced =
        job != nullptr && !job->isEnded() && report.attempt > job->attempt;
    FIREFLY_ASSERT(!isNewerThanPlaced,
                   "a worker must not run an attempt newer than the last one placed in the log");
    const StopAttempt task{sync.worker, sync.term, report.job, report.attempt, false};
    actions.emplace_back(SendStop{*m_sessions.workers.table().find(sync.worker), task});
}

void BatchRunner::onRunning(TimePoint now, const Job &job, const WorkerSync &sync,
                            const TaskReport &report, EntryActions &actions)
{
    if (!m_attempts.contains(job.id)) {
        adopt(job, sync, report, now);
    }
    const auto it = m_attempts.find(job.id);
    if (it == m_attempts.end()) {
        return;
    }
    it->second.phase = Phase::Running;
    if (const auto reason = reasonToStop(job, sync.worker)) {
        stop(it->second, job.id, *reason, now, actions);
    }
}

void BatchRunner::adopt(const Job &job, const WorkerSync &sync, const TaskReport &report,
                        TimePoint now)
{
    const auto index = m_sessions.workers.pool().find(sync.worker);
    if (!index) {
        return;
    }
    const WorkerInfo &info = m_sessions.workers.pool().view(*index).info;
    Attempt attempt;
    attempt.number = report.attempt;
    attempt.worker = sync.worker;
    attempt.index = *index;
    attempt.shard = job.placement->shard;
    attempt.term = sync.term;
    attempt.reserved = report.resources;
    attempt.kind = m_slowdowns.batchKind(job.spec.kind);
    attempt.share = processorShareOf(report.resources, info.capacity);
    attempt.startedAt = now;
    m_sessions.workers.pool().adoptBatch(*index, report.resources);
    reserve(attempt);
    m_attempts.emplace(job.id, std::move(attempt));
}

std::optional<EvictionReason> BatchRunner::reasonToStop(const Job &job,
                                                        const WorkerId &worker) const
{
    if (job.state == BatchJobState::Cancelling) {
        return EvictionReason::PlannedStop;
    }
    const auto &planned = m_sessions.log.state().get<PlannedWorkFold>();
    if (!planned.isRunning(job.spec.customer, job.spec.kind)) {
        return EvictionReason::PlannedStop;
    }
    if (!m_sessions.workers.table().acceptsWork(worker)) {
        return EvictionReason::PlannedStop;
    }
    return std::nullopt;
}

void BatchRunner::stop(Attempt &attempt, const JobId &job, EvictionReason reason, TimePoint now,
                       EntryActions &actions)
{
    if (attempt.stopReason && now - attempt.stopSentAt < StopRetry) {
        return;
    }
    attempt.stopReason = reason;
    attempt.stopSentAt = now;
    const StopAttempt task{attempt.worker, attempt.term, job, attempt.number, true};
    actions.emplace_back(SendStop{*m_sessions.workers.table().find(attempt.worker), task});
}

void BatchRunner::evictUnreported(const WorkerSync &sync, const WorkerSyncReply &reply)
{
    std::set<JobId> listed;
    for (const TaskReport &report : reply.tasks) {
        listed.insert(report.job);
    }
    const auto &ledger = m_sessions.log.state().get<JobLedger>();
    for (const JobId &id : ledger.placedOn(sync.worker)) {
        const Job &job = *ledger.find(id);
        if (listed.contains(id) || !isKnownAbsent(job, sync)) {
            continue;
        }
        pushUnlessPending(
            id, JobEvicted{id, job.attempt, sync.term, EvictionReason::WorkerLost, job.progressMs});
    }
}

bool BatchRunner::isKnownAbsent(const Job &job, const WorkerSync &sync) const
{
    const auto it = m_attempts.find(job.id);
    if (it == m_attempts.end() || it->second.number != job.attempt) {
        return job.placement->term < sync.term;
    }
    const Attempt &attempt = it->second;
    const bool wasSent = attempt.phase == Phase::Starting || attempt.phase == Phase::Running;
    return wasSent && sync.number > attempt.startLeaseNumber;
}

void BatchRunner::relievePressure(TimePoint now, const WorkerSync &sync,
                                  const WorkerSyncReply &reply, EntryActions &actions)
{
    std::vector<EvictionCandidate> candidates;
    for (const TaskReport &report : reply.tasks) {
        const auto it = m_attempts.find(report.job);
        if (it == m_attempts.end() || it->second.phase != Phase::Running || it->second.stopReason) {
            continue;
        }
        const Attempt &attempt = it->second;
        EvictionCandidate candidate;
        candidate.job = report.job;
        candidate.attempt = report.attempt;
        candidate.started = attempt.startedAt;
        candidate.urgentSlowdown =
            m_slowdowns.pairwiseSlowdown(m_urgentService, attempt.kind, now).mean * attempt.share;
        candidate.share = attempt.throttle;
        candidate.milliProcessors = attempt.reserved.milliProcessors;
        candidates.push_back(std::move(candidate));
    }
    const auto index = *m_sessions.workers.pool().find(sync.worker);
    const auto planned = m_evictions.plan(index, reply.urgentSlowdown, candidates, now);
    if (!planned) {
        return;
    }
    if (const auto *evict = std::get_if<EvictAction>(&*planned)) {
        stop(m_attempts.at(evict->job), evict->job, EvictionReason::Pressure, now, actions);
        return;
    }
    const auto &throttle = std::get<ThrottleAction>(*planned);
    m_attempts.at(throttle.job).throttle = throttle.share;
    const ThrottleAttempt task{sync.worker, sync.term, throttle.job, throttle.attempt,
                               throttle.share};
    actions.emplace_back(SendThrottle{*m_sessions.workers.table().find(sync.worker), task});
}

void BatchRunner::evictJobsOfLostWorkers(TimePoint now)
{
    const auto &ledger = m_sessions.log.state().get<JobLedger>();
    const auto &authority = m_sessions.workers.authority();
    for (const ShardTerm &owned : authority.shards()) {
        std::map<WorkerId, bool> stopped;
        for (const JobId &id : ledger.placedIn(owned.shard)) {
            const Job &job = *ledger.find(id);
            const WorkerId &worker = job.placement->worker;
            const auto it = stopped.find(worker);
            const bool isStopped =
                it != stopped.end()
                    ? it->second
                    : stopped[worker] = authority.isLostWorkerExpired(owned.shard, worker, now);
            if (!isStopped) {
                continue;
            }
            pushUnlessPending(id, JobEvicted{id, job.attempt, owned.term,
                                             EvictionReason::LeaseLapsed, job.progressMs});
        }
    }
}

void BatchRunner::onRecord(const LoggedEnvelope &logged, FoldResult verdict)
{
    const bool isOwn = logged.envelope.writer == m_sessions.log.writer();
    const bool isAccepted = verdict == FoldResult::Accepted;
    const auto &ledger = m_sessions.log.state().get<JobLedger>();
    const auto clearPending = [&](const JobId &job) {
        const auto it = m_pendingRecords.find(job);
        if (isOwn && it != m_pendingRecords.end() && it->second == logged.envelope.sequence) {
            m_pendingRecords.erase(it);
        }
    };
    if (const auto *placed = std::get_if<JobPlaced>(&logged.envelope.record)) {
        clearPending(placed->job);
        const auto it = m_attempts.find(placed->job);
        const bool isOwnAttempt = isOwn && it != m_attempts.end()
                                  && it->second.number == placed->attempt
                                  && it->second.term == placed->term;
        if (isAccepted) {
            m_planUsage.add(*ledger.find(placed->job));
        }
        if (isOwnAttempt && isAccepted) {
            it->second.phase = Phase::Ready;
            m_readyJobs.insert(placed->job);
        } else if (it != m_attempts.end() && it->second.phase == Phase::Placing
                   && (isOwnAttempt || isAccepted)) {
            release(placed->job);
        }
    } else if (const auto *evicted = std::get_if<JobEvicted>(&logged.envelope.record)) {
        clearPending(evicted->job);
        if (isAccepted) {
            m_planUsage.subtract(*ledger.find(evicted->job));
            release(evicted->job);
        }
    } else if (const auto *finished = std::get_if<JobFinished>(&logged.envelope.record)) {
        clearPending(finished->job);
        if (isAccepted) {
            const Job &job = *ledger.find(finished->job);
            m_planUsage.subtract(job);
            forgetPlacementHistory(job.id);
            release(job.id);
        }
    } else if (const auto *cancelled = std::get_if<JobCancelled>(&logged.envelope.record)) {
        forgetPlacementHistory(cancelled->job);
    }
}

void BatchRunner::forgetPlacementHistory(const JobId &job)
{
    m_lastDecisions.erase(job);
    m_failedOn.erase(job);
}

void BatchRunner::onRestored()
{
    m_planUsage.clear();
    m_pendingRecords.clear();
    const auto &ledger = m_sessions.log.state().get<JobLedger>();
    std::vector<JobId> stale;
    for (const auto &[id, attempt] : m_attempts) {
        const Job *job = ledger.find(id);
        const bool isCurrent = job != nullptr && job->mayBeRunning()
                               && job->attempt == attempt.number
                               && job->placement->worker == attempt.worker;
        if (!isCurrent) {
            stale.push_back(id);
        }
    }
    for (const JobId &id : stale) {
        release(id);
    }
    for (const ShardId &shard : m_sessions.workers.table().shards()) {
        for (const JobId &id : ledger.placedIn(shard)) {
            m_planUsage.add(*ledger.find(id));
        }
    }
}

void BatchRunner::pushUnlessPending(const JobId &job, Record record)
{
    if (m_pendingRecords.contains(job)) {
        return;
    }
    const bool isFact = !std::holds_alternative<JobPlaced>(record);
    const auto priority = isFact ? AppendPriority::Fact : AppendPriority::NewWork;
    if (const auto sequence = m_sessions.log.push(std::move(record), priority)) {
        m_pendingRecords[job] = *sequence;
    }
}

std::optional<std::string> BatchRunner::whyNeverPlaceable(const BatchJobSpec &spec) const
{
    const PlanLimits *limits = m_sessions.log.state().get<ListsFold>().limitsOf(spec.customer);
    if (limits == nullptr) {
        return "customer '" + spec.customer.value() + "' holds no plan";
    }
    Resources amount = spec.resources;
    amount.slots = 0;
    if (!amount.fitsIn(limits->resources)) {
        return "the job is larger than its customer's plan";
    }
    if (m_listedWorkers.empty()) {
        return std::nullopt;
    }
    return m_capacityShapes.infeasibilityReason(spec.resources, limits->zones);
}

std::string BatchRunner::explain(const JobId &job) const
{
    const auto it = m_lastDecisions.find(job);
    return it != m_lastDecisions.end() ? it->second : std::string();
}

nlohmann::json BatchRunner::dump(TimePoint now) const
{
    auto attempts = nlohmann::json::object();
    for (const auto &[job, attempt] : m_attempts) {
        attempts[job.value()] = {{"attempt", attempt.number},
                                 {"worker", attempt.worker.value()},
                                 {"phase", static_cast<int>(attempt.phase)},
                                 {"throttle", attempt.throttle}};
    }
    return {{"attempts", std::move(attempts)},
            {"sizes", m_sizeEstimator.dump()},
            {"slowdowns", m_slowdowns.dump(now)},
            {"recordsOnTheirWay", m_pendingRecords.size()}};
}

} // namespace firefly
