#include "Entry/BatchRunner.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace firefly {
namespace {

/// Entries take turns with a job that its first entry does not place.
constexpr Duration TurnLength = std::chrono::seconds(2);
/// Wait before a stop that had no effect is sent again.
constexpr Duration StopRetry = std::chrono::seconds(2);
/// Observed slowdowns below this many running calls are too noisy to learn from.
constexpr std::int64_t MinCallsToLearn = 1;

Resources atLeast(const Resources &a, const Resources &b)
{
    return {std::max(a.milliProcessors, b.milliProcessors), std::max(a.memoryMiB, b.memoryMiB),
            std::max(a.accelerators, b.accelerators), std::max(a.slots, b.slots)};
}

double shareOf(const Resources &amount, const Resources &capacity)
{
    if (capacity.milliProcessors == 0) {
        return 0;
    }
    return static_cast<double>(amount.milliProcessors)
           / static_cast<double>(capacity.milliProcessors);
}

PlacementSettings toPlacement(const PolicySettings &policy)
{
    PlacementSettings settings;
    settings.urgentWeight = policy.urgentWeight;
    return settings;
}

EvictionSettings toEviction(const PolicySettings &policy)
{
    EvictionSettings settings;
    settings.urgentWeight = policy.urgentWeight;
    return settings;
}

ServiceId firstService(const Settings &settings)
{
    return settings.services.empty() ? ServiceId("default") : settings.services.begin()->first;
}

} // namespace

BatchRunner::BatchRunner(EntryId self, const Settings &settings, EntrySessions sessions)
    : m_self(std::move(self))
    , m_sessions(sessions)
    , m_placementSettings(toPlacement(settings.policy))
    , m_service(m_slowdowns.service(firstService(settings)))
    , m_evictions(toEviction(settings.policy))
{}

void BatchRunner::onVmList(const VmList &list)
{
    for (const WorkerInfo &worker : m_shaped) {
        m_shapes.remove(worker);
    }
    m_shaped = list.workers;
    for (const WorkerInfo &worker : m_shaped) {
        m_shapes.add(worker);
    }
}

void BatchRunner::tick(TimePoint now, EntryActions &actions)
{
    if (m_sessions.log.isCurrent() && m_sessions.log.hasRoom()) {
        placePending(now);
    }
    startReady(now, actions);
}

void BatchRunner::dropLostShards()
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
    if (m_sessions.workers.open().empty()) {
        return;
    }
    const auto &ledger = m_sessions.log.state().get<JobLedger>();
    auto entries = m_sessions.peers.table().claimants(now);
    entries.push_back(m_self);
    std::sort(entries.begin(), entries.end());
    std::vector<JobId> chosen;
    auto it = ledger.pending().upper_bound(m_cursor);
    for (std::size_t n = 0; n < MaxScannedPerTick && it != ledger.pending().end(); ++n, ++it) {
        m_cursor = it->first;
        if (m_attempts.contains(it->second) || !isMyTurn(it->second, entries, now)) {
            continue;
        }
        chosen.push_back(it->second);
        if (chosen.size() == MaxPlacementsPerTick) {
            break;
        }
    }
    if (it == ledger.pending().end()) {
        m_cursor = 0;
    }
    for (const JobId &job : chosen) {
        place(*ledger.find(job), now);
    }
}

bool BatchRunner::isMyTurn(const JobId &job, std::span<const EntryId> entries, TimePoint now) const
{
    const auto ranked = ClaimPlanner::rank(ShardId(job.value()), entries);
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / TurnLength);
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
    Resources total = m_usage.ofPlan(*plan, lists.plans().planOfCustomer) + job.spec.resources;
    total.slots = 0;
    return total.fitsIn(limits->resources);
}

PlacementContext BatchRunner::context() const
{
    return {m_sessions.workers.pool(), m_mixes, m_slowdowns, m_service, m_placementSettings};
}

void BatchRunner::place(const Job &job, TimePoint now)
{
    const auto &state = m_sessions.log.state();
    if (!state.get<PlannedWorkFold>().isRunning(job.spec.customer, job.spec.kind)) {
        m_reasons[job.id] = "planned work of this kind is stopped";
        return;
    }
    if (!fitsPlan(job)) {
        m_reasons[job.id] = "the plan's resources are in use";
        return;
    }
    const Resources need = atLeast(job.spec.resources, m_sizes.estimate(job.spec).resources);
    PlacementRequest request;
    request.job = job.id;
    request.kind = m_slowdowns.batchKind(job.spec.kind);
    request.resources = need;
    request.zones = state.get<ListsFold>().limitsOf(job.spec.customer)->zones;
    const std::vector<WorkerIndex> failed = workersThatFailed(job.id);
    request.exclude = failed;
    const Placement placement =
        m_placer.place(context(), m_shapes, request, m_sessions.random, now);
    if (const auto *placed = std::get_if<Placed>(&placement)) {
        propose(job, *placed, need, now);
    } else if (const auto *notNow = std::get_if<NotNow>(&placement)) {
        m_reasons[job.id] = std::string(toString(notNow->reason));
    } else {
        m_reasons[job.id] = std::get<NeverRuns>(placement).reason;
    }
}

void BatchRunner::propose(const Job &job, const Placed &placed, const Resources &need,
                          TimePoint now)
{
    const WorkerInfo &info = m_sessions.workers.pool().view(placed.worker).info;
    const auto term = m_sessions.workers.mayGiveWork(info.id, now);
    if (!term || m_pushed.contains(job.id)) {
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
    attempt.share = shareOf(need, info.capacity);
    if (!m_sessions.workers.pool().reserveBatch(placed.worker, need)) {
        return;
    }
    reserve(attempt);
    pushOnce(job.id, JobPlaced{job.id, attempt.number, info.id, attempt.shard, *term});
    m_reasons[job.id] = std::string(toString(placed.reason)) + " on " + info.id.value();
    m_attempts.emplace(job.id, std::move(attempt));
    if (!m_pushed.contains(job.id)) {
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
        m_slowdowns.predict(m_service, m_mixes.of(attempt.index), attempt.startedAt);
    m_sessions.workers.pool().setExpectedSlowdown(attempt.index, estimate.mean);
}

void BatchRunner::startReady(TimePoint now, EntryActions &actions)
{
    const std::set<JobId> ready = m_ready;
    for (const JobId &job : ready) {
        const auto it = m_attempts.find(job);
        if (it == m_attempts.end() || it->second.phase != Phase::Ready) {
            m_ready.erase(job);
            continue;
        }
        start(job, it->second, now, actions);
    }
}

void BatchRunner::start(const JobId &id, Attempt &attempt, TimePoint now, EntryActions &actions)
{
    const Job *job = m_sessions.log.state().get<JobLedger>().find(id);
    const auto term = m_sessions.workers.mayGiveWork(attempt.worker, now);
    const WorkerLease lease = m_sessions.workers.authority().lease(attempt.shard, attempt.worker);
    const bool isRecordOnItsWay = m_pushed.contains(id);
    if (job == nullptr || isRecordOnItsWay || !term || *term != attempt.term || lease.number == 0) {
        return;
    }
    if (job->state == JobState::Cancelling) {
        pushOnce(id, JobEvicted{id, attempt.number, attempt.term, EvictionReason::Refused,
                                job->progressMs});
        return;
    }
    attempt.phase = Phase::Starting;
    attempt.startLease = lease.number;
    attempt.startInFlight = true;
    attempt.startedAt = now;
    StartTask task;
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

void BatchRunner::onStartReply(const StartTask &task, WorkerResult result)
{
    const auto it = m_attempts.find(task.job);
    if (it == m_attempts.end() || it->second.number != task.attempt) {
        return;
    }
    Attempt &attempt = it->second;
    attempt.startInFlight = false;
    if (attempt.phase != Phase::Starting || attempt.startLease != task.leaseNumber) {
        return;
    }
    if (result == WorkerResult::NotSent) {
        attempt.phase = Phase::Ready;
        m_ready.insert(task.job);
    } else if (result == WorkerResult::Refused) {
        pushOnce(task.job, JobEvicted{task.job, task.attempt, attempt.term, EvictionReason::Refused,
                                      task.progressMs});
    }
}

bool BatchRunner::hasMessagesInFlight(const ShardId &shard) const
{
    for (const auto &[job, attempt] : m_attempts) {
        if (attempt.shard == shard && attempt.startInFlight) {
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
    evictMissing(sync, reply);
    const auto index = m_sessions.workers.pool().find(sync.worker);
    if (!index) {
        return;
    }
    if (reply.urgentRunning >= MinCallsToLearn && !m_mixes.of(*index).empty()) {
        m_slowdowns.observe(m_service, m_mixes.of(*index), reply.urgentSlowdown, now);
    }
    relieve(now, sync, reply, actions);
}

void BatchRunner::onReport(TimePoint now, const WorkerSync &sync, const TaskReport &report,
                           EntryActions &actions)
{
    const Job *job = m_sessions.log.state().get<JobLedger>().find(report.job);
    const bool isCurrent = job != nullptr && job->mayBeRunning() && job->attempt == report.attempt
                           && job->placement->worker == sync.worker;
    if (!isCurrent) {
        onForeignReport(sync, report, job, actions);
        return;
    }
    switch (report.state) {
    case TaskState::Running:
        onRunning(now, *job, sync, report, actions);
        break;
    case TaskState::Finished:
        pushOnce(job->id, JobFinished{job->id, report.attempt, sync.term, true, report.result});
        break;
    case TaskState::Failed:
        onFailed(*job, sync, report);
        break;
    case TaskState::Stopped: {
        const auto it = m_attempts.find(job->id);
        const bool isOwn = it != m_attempts.end() && it->second.stopReason.has_value();
        const auto reason = isOwn ? *it->second.stopReason : EvictionReason::LeaseLapsed;
        pushOnce(job->id,
                 JobEvicted{job->id, report.attempt, sync.term, reason, report.progressMs});
        break;
    }
    }
}

void BatchRunner::onFailed(const Job &job, const WorkerSync &sync, const TaskReport &report)
{
    if (job.failures + 1 >= MaxFailedAttempts) {
        pushOnce(job.id, JobFinished{job.id, report.attempt, sync.term, false, report.result});
        return;
    }
    m_failedOn[job.id].insert(sync.worker);
    pushOnce(job.id, JobEvicted{job.id, report.attempt, sync.term, EvictionReason::TaskFailed,
                                job.progressMs});
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

void BatchRunner::onForeignReport(const WorkerSync &sync, const TaskReport &report, const Job *job,
                                  EntryActions &actions)
{
    if (report.state != TaskState::Running) {
        m_sessions.workers.acknowledge(sync.worker, report.job, report.attempt);
        return;
    }
    const bool isAhead = job != nullptr && !job->isEnded() && report.attempt > job->attempt;
    FIREFLY_ASSERT(!isAhead, "a worker runs an attempt that the log never placed");
    const StopTask task{sync.worker, sync.term, report.job, report.attempt, false};
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
    if (const auto reason = whyStop(job, sync.worker)) {
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
    attempt.share = shareOf(report.resources, info.capacity);
    attempt.startedAt = now;
    m_sessions.workers.pool().adoptBatch(*index, report.resources);
    reserve(attempt);
    m_attempts.emplace(job.id, std::move(attempt));
}

std::optional<EvictionReason> BatchRunner::whyStop(const Job &job, const WorkerId &worker) const
{
    if (job.state == JobState::Cancelling) {
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
    const StopTask task{attempt.worker, attempt.term, job, attempt.number, true};
    actions.emplace_back(SendStop{*m_sessions.workers.table().find(attempt.worker), task});
}

void BatchRunner::evictMissing(const WorkerSync &sync, const WorkerSyncReply &reply)
{
    std::set<JobId> listed;
    for (const TaskReport &report : reply.tasks) {
        listed.insert(report.job);
    }
    const auto &ledger = m_sessions.log.state().get<JobLedger>();
    for (const JobId &id : ledger.placedOn(sync.worker)) {
        const Job &job = *ledger.find(id);
        if (listed.contains(id) || !surelyNotThere(job, sync)) {
            continue;
        }
        pushOnce(
            id, JobEvicted{id, job.attempt, sync.term, EvictionReason::WorkerLost, job.progressMs});
    }
}

bool BatchRunner::surelyNotThere(const Job &job, const WorkerSync &sync) const
{
    const auto it = m_attempts.find(job.id);
    if (it == m_attempts.end() || it->second.number != job.attempt) {
        return job.placement->term < sync.term;
    }
    const Attempt &attempt = it->second;
    const bool wasSent = attempt.phase == Phase::Starting || attempt.phase == Phase::Running;
    return wasSent && sync.number > attempt.startLease;
}

void BatchRunner::relieve(TimePoint now, const WorkerSync &sync, const WorkerSyncReply &reply,
                          EntryActions &actions)
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
            m_slowdowns.pair(m_service, attempt.kind, now).mean * attempt.share;
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
    const ThrottleTask task{sync.worker, sync.term, throttle.job, throttle.attempt, throttle.share};
    actions.emplace_back(SendThrottle{*m_sessions.workers.table().find(sync.worker), task});
}

void BatchRunner::evictLost(TimePoint now)
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
            pushOnce(id, JobEvicted{id, job.attempt, owned.term, EvictionReason::LeaseLapsed,
                                    job.progressMs});
        }
    }
}

void BatchRunner::onRecord(const LoggedEnvelope &logged, FoldVerdict verdict)
{
    const bool isOwn = logged.envelope.writer == m_sessions.log.writer();
    const bool isAccepted = verdict == FoldVerdict::Accepted;
    const auto &ledger = m_sessions.log.state().get<JobLedger>();
    const auto settle = [&](const JobId &job) {
        const auto it = m_pushed.find(job);
        if (isOwn && it != m_pushed.end() && it->second == logged.envelope.sequence) {
            m_pushed.erase(it);
        }
    };
    if (const auto *placed = std::get_if<JobPlaced>(&logged.envelope.record)) {
        settle(placed->job);
        const auto it = m_attempts.find(placed->job);
        const bool isMine = isOwn && it != m_attempts.end() && it->second.number == placed->attempt
                            && it->second.term == placed->term;
        if (isAccepted) {
            m_usage.add(*ledger.find(placed->job));
        }
        if (isMine && isAccepted) {
            it->second.phase = Phase::Ready;
            m_ready.insert(placed->job);
        } else if (it != m_attempts.end() && it->second.phase == Phase::Placing
                   && (isMine || isAccepted)) {
            release(placed->job);
        }
    } else if (const auto *evicted = std::get_if<JobEvicted>(&logged.envelope.record)) {
        settle(evicted->job);
        if (isAccepted) {
            m_usage.subtract(*ledger.find(evicted->job));
            release(evicted->job);
        }
    } else if (const auto *finished = std::get_if<JobFinished>(&logged.envelope.record)) {
        settle(finished->job);
        if (isAccepted) {
            const Job &job = *ledger.find(finished->job);
            m_usage.subtract(job);
            forget(job.id);
            release(job.id);
        }
    } else if (const auto *cancelled = std::get_if<JobCancelled>(&logged.envelope.record)) {
        forget(cancelled->job);
    }
}

void BatchRunner::forget(const JobId &job)
{
    m_reasons.erase(job);
    m_failedOn.erase(job);
}

void BatchRunner::onRestored()
{
    m_usage.clear();
    m_pushed.clear();
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
            m_usage.add(*ledger.find(id));
        }
    }
}

void BatchRunner::pushOnce(const JobId &job, Record record)
{
    if (m_pushed.contains(job)) {
        return;
    }
    const bool isFact = !std::holds_alternative<JobPlaced>(record);
    const auto priority = isFact ? AppendPriority::Fact : AppendPriority::NewWork;
    if (const auto sequence = m_sessions.log.push(std::move(record), priority)) {
        m_pushed[job] = *sequence;
    }
}

std::optional<std::string> BatchRunner::whyNever(const JobSpec &spec) const
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
    if (m_shaped.empty()) {
        return std::nullopt;
    }
    return m_shapes.whyNever(spec.resources, limits->zones);
}

std::string BatchRunner::explain(const JobId &job) const
{
    const auto it = m_reasons.find(job);
    return it != m_reasons.end() ? it->second : std::string();
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
            {"sizes", m_sizes.dump()},
            {"slowdowns", m_slowdowns.dump(now)},
            {"recordsOnTheirWay", m_pushed.size()}};
}

} // namespace firefly
