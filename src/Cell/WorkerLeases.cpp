/// \file Management of workers, as part of CellScheduler: registration, leases, stops, evacuation.

#include "Cell/CellScheduler.h"
#include "Cell/TaskLedger.h"

#include <algorithm>
#include <utility>

namespace firefly {
namespace {

/// Longest long poll of a renewal, for a worker with tasks and for one without.
constexpr Duration OccupiedWait = std::chrono::milliseconds(1000);
constexpr Duration IdleWait = std::chrono::milliseconds(2000);
/// The same for ReportUrgency::Elevated and High, since a latency target may be missed for some
/// seconds only.
constexpr Duration ElevatedWait = std::chrono::milliseconds(700);
constexpr Duration HighWait = std::chrono::milliseconds(250);
constexpr Duration MinRenewalBackoff = std::chrono::milliseconds(150);
constexpr Duration MaxRenewalBackoff = std::chrono::milliseconds(1200);
/// A worker whose clock falls back by more than this has been restarted.
constexpr Duration ClockTolerance = std::chrono::milliseconds(1000);
constexpr int FullPace = 100;
/// A stop order is repeated after this time unless the worker lists the end of the run.
constexpr Duration StopRetryInterval = std::chrono::milliseconds(700);
/// A longer time between two ticks means that this process was paused or overloaded, and may have
/// reports yet to read.
constexpr Duration MaxTickGap = std::chrono::milliseconds(300);
constexpr Duration LoggedTickGap = std::chrono::milliseconds(1000);
/// Time to read such reports before the silence of a worker counts.
constexpr Duration ListenTime = std::chrono::milliseconds(1200);
/// A reachable worker reports at least this often, by its longest long poll.
constexpr Duration HearingWindow = std::chrono::milliseconds(3500);
/// Interval of the checks for expired leases, unanswered stops and stuck tasks.
constexpr Duration WorkerCheckInterval = std::chrono::milliseconds(100);
/// A task is stuck after this time without progress, or half of its estimate if that is longer.
constexpr Duration MinStuckTime = std::chrono::milliseconds(2500);
/// No placements on a worker for this long after it refused or failed to answer a start.
constexpr Duration NoRoomBackoff = std::chrono::milliseconds(200);
constexpr Duration UnhealthyBackoff = std::chrono::milliseconds(1500);
constexpr Duration UnreachableBackoff = std::chrono::milliseconds(500);
/// Number of failed tasks that are remembered of a worker.
constexpr std::size_t MaxFailedTasks = 16;

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string addressOf(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

Duration longPollWait(const CellWorker &worker)
{
    if (worker.tasks.empty()) {
        return IdleWait;
    }
    switch (worker.reportUrgency) {
    case ReportUrgency::High:
        return HighWait;
    case ReportUrgency::Elevated:
        return ElevatedWait;
    case ReportUrgency::Normal:
        break;
    }
    return OccupiedWait;
}

Duration renewalBackoff(std::uint32_t failures)
{
    const auto shift = std::min<std::uint32_t>(failures, 6) - 1;
    return std::min(MaxRenewalBackoff, MinRenewalBackoff * (1 << shift));
}

} // namespace

std::size_t CellScheduler::unconfirmedStarts() const
{
    std::size_t count = 0;
    for (const auto &[id, worker] : m_state.workers) {
        count += worker->unconfirmedStarts();
    }
    return count;
}

void CellScheduler::onWorkerListed(const WorkerDescription &info, TimePoint now)
{
    m_now = now;
    auto &worker = m_state.workers[info.id.value()];
    if (!worker) {
        worker = std::make_unique<CellWorker>();
        if (const auto it = m_fenceRaisesOfErased.find(info.id.value());
            it != m_fenceRaisesOfErased.end()) {
            // It may have restarted unseen, while orders to it were under way.
            worker->fenceRaises = it->second;
            fenceEarlierOrders(*worker);
        }
    }
    worker->earlierLeaseEnd = worker->isRestored ? worker->earlierLeaseEnd : m_state.locateUntil;
    const bool wasReady = worker->isRegistered && worker->acceptsTasks();
    const bool hasGrown = !worker->info.capacity.fits(info.capacity);
    const bool isNew = !worker->isRestored && worker->listedAt == TimePoint{};
    const bool hasMoved = !isNew && worker->info.endpoint != info.endpoint;
    worker->info = info;
    worker->isEvacuated = m_state.evacuatedZones.contains(info.zone);
    worker->isRegistered = true;
    worker->hasLeft = false;
    if (isNew || hasMoved) {
        worker->listedAt = now;
        m_state.logDecision(isNew ? "worker joined" : "worker moved", *worker,
                            "address=" + addressOf(info.endpoint));
    }
    if (info.incarnationStartUnixMs > worker->incarnationStartUnixMs && worker->isContacted
        && info.incarnationStartUnixMs != worker->suspectedStartUnixMs) {
        worker->suspectedStartUnixMs = info.incarnationStartUnixMs;
        suspectRestart(*worker, now);
    }
    m_records.update(*worker, now);
    if (info.isDraining) {
        evacuate(*worker);
    } else if (!wasReady || hasGrown) {
        m_state.wantsPlacement = true;
    }
}

void CellScheduler::onWorkerGone(const WorkerId &id, TimePoint now)
{
    m_now = now;
    if (CellWorker *worker = m_state.findWorker(id)) {
        worker->isRegistered = false;
        worker->hasLeft = true;
        m_records.update(*worker, now);
    }
}

void CellScheduler::detectRestart(CellWorker &worker, const OrderReply &reply, TimePoint now)
{
    if (!reply.clockMs || !worker.isContacted
        || *reply.clockMs >= worker.clockAtLeast(now) - toMs(ClockTolerance)) {
        return;
    }
    worker.extendEarlierGrants(now, m_state.bounds.maxLease);
    if (worker.isRestartSuspected) {
        return;
    }
    // A new incarnation numbers its ended runs from 1 again: acknowledging the old numbers would
    // make it discard ends that were never reported.
    m_state.logDecision("restart suspected", worker,
                        "clock_ms=" + std::to_string(*reply.clockMs)
                            + " expected_ms=" + std::to_string(worker.clockAtLeast(now))
                            + " incarnation=" + std::to_string(worker.incarnationStartUnixMs));
    suspectRestart(worker, now);
}

void CellScheduler::suspectRestart(CellWorker &worker, TimePoint now)
{
    if (!std::exchange(worker.isRestartSuspected, true)) {
        fenceEarlierOrders(worker);
        worker.renewalFence = m_state.fenceOf(worker);
        worker.isRenewing = false; // A renewal in flight may wait for the end of a run.
    }
    worker.nextRenewal = now;
}

void CellScheduler::onStartReply(const WorkerId &id, const TaskName &name, std::uint32_t run,
                                 const OrderReply &reply, TimePoint now)
{
    m_now = now;
    const OrderOutcome outcome = reply.outcome;
    const auto ref = m_state.findTask(name);
    CellWorker *worker = m_state.findWorker(id);
    noteFencing(id, outcome, reply.fence);
    if (worker) {
        detectRestart(*worker, reply, now);
        if (reply.clockMs && outcome != OrderOutcome::OtherIncarnation) {
            worker->lastSignMs = std::max(worker->lastSignMs, *reply.clockMs);
        }
    }
    if (!ref || !worker) {
        return;
    }
    CellTask &task = ref->task();
    if (task.worker != worker || task.run != run || task.state != TaskState::Starting) {
        return;
    }
    switch (outcome) {
    case OrderOutcome::Accepted:
        task.state = TaskState::Running;
        task.startedAt = now;
        task.progressMs = reply.clockMs.value_or(worker->clockAtLeast(now));
        task.acceptedMs = task.progressMs;
        if (isFinal(ref->job->durableState) || task.isEarlierEndDurable) {
            sendStop(*ref);
        }
        return;
    case OrderOutcome::Unknown:
        m_state.logDecision("start unanswered", *ref,
                            "incarnation=" + std::to_string(worker->incarnationStartUnixMs)
                                + " sent_ms=" + std::to_string(toMs(now - task.startedAt)));
        task.state = TaskState::Unsettled;
        worker->avoidUntil = std::max(worker->avoidUntil, now + UnreachableBackoff);
        sendStop(*ref);
        return;
    case OrderOutcome::NoRoom:
        worker->avoidUntil = std::max(worker->avoidUntil, now + NoRoomBackoff);
        break;
    case OrderOutcome::Unhealthy:
        worker->avoidUntil = std::max(worker->avoidUntil, now + UnhealthyBackoff);
        break;
    case OrderOutcome::OtherIncarnation:
        worker->nextRenewal = now; // Tells what became of the worker's other tasks.
        [[fallthrough]];
    case OrderOutcome::NotSent:
    case OrderOutcome::Refused:
    case OrderOutcome::Invalid:
        worker->avoidUntil = std::max(worker->avoidUntil, now + UnreachableBackoff);
        break;
    case OrderOutcome::FencedOff:
    case OrderOutcome::OldRun:
    case OrderOutcome::Late:
    case OrderOutcome::BadTicket:
        break;
    }
    releaseTask(*ref);
    m_state.wantsPlacement = true;
}

void CellScheduler::onStopOutcome(const StopTask &order, OrderOutcome outcome, TimePoint now)
{
    m_now = now;
    noteFencing(order.worker, outcome, order.fence);
    const auto ref = m_state.findTask(order.task);
    if (outcome != OrderOutcome::Accepted || !ref) {
        return;
    }
    // An accepted stop rules out that the start still takes effect, unless an earlier incarnation
    // accepted it; the next report decides.
    CellTask &task = ref->task();
    if (task.state == TaskState::Unsettled && task.run == order.run
        && task.worker->info.id == order.worker && order.fence >= task.worker->restartFence) {
        task.state = TaskState::Stopping;
        task.startedAt = now;
    }
}

void CellScheduler::onPaceOutcome(const PaceTask &order, OrderOutcome outcome, TimePoint now)
{
    m_now = now;
    const auto ref = m_state.findTask(order.task);
    if (outcome == OrderOutcome::Accepted || !ref) {
        return;
    }
    // The worker's actual pace is unknown; the guard sets it again if the tail latencies require
    // it.
    CellTask &task = ref->task();
    if (task.worker && task.worker->info.id == order.worker && task.run == order.run) {
        task.pace = FullPace;
    }
}

void CellScheduler::noteFencing(const WorkerId &id, OrderOutcome outcome, Epoch fence)
{
    if (outcome != OrderOutcome::FencedOff) {
        return;
    }
    // The worker refuses orders to an earlier incarnation by this owner's own token.
    const CellWorker *worker = m_state.findWorker(id);
    m_state.isFenced = m_state.isFenced || !worker || fence >= m_state.fenceOf(*worker);
}

void CellScheduler::onLeaseReport(const WorkerId &id, OrderOutcome outcome,
                                  const LeaseReport &report, TimePoint sentAt, TimePoint now,
                                  std::int64_t nowUnixMs)
{
    m_now = now;
    CellWorker *worker = m_state.findWorker(id);
    if (!worker || report.fence < worker->renewalFence) {
        return; // Superseded when a restart was suspected.
    }
    worker->isRenewing = false;
    if (outcome == OrderOutcome::FencedOff) {
        m_state.isFenced = true;
        return;
    }
    if (outcome != OrderOutcome::Accepted) {
        worker->silentSince = worker->renewFailures == 0 ? now : worker->silentSince;
        ++worker->renewFailures;
        worker->isReplaced = worker->isReplaced || outcome == OrderOutcome::OtherIncarnation;
        worker->isRefusing = worker->isRefusing || outcome == OrderOutcome::Refused;
        worker->nextRenewal = now + renewalBackoff(worker->renewFailures);
        if (outcome == OrderOutcome::Unknown && worker->acknowledgedEndNumber > 0) {
            raiseFence(*worker); // It may arrive in a later incarnation, beside starts there.
            worker->acknowledgedEndNumber = 0;
        }
        if (outcome == OrderOutcome::OtherIncarnation) {
            applySuspicions(m_crashDetector.onReplaced(*worker, now), nowUnixMs);
            releaseEarlierRuns(*worker, Successor::OtherId, sentAt, nowUnixMs);
        }
        return;
    }
    if (report.incarnationStartUnixMs == worker->incarnationStartUnixMs) {
        worker->forgottenEndNumber =
            std::max(worker->forgottenEndNumber, worker->acknowledgedEndNumber);
    }
    const bool wasAcknowledging = std::exchange(worker->acknowledgedEndNumber, 0) > 0;
    applyLeaseReport(*worker, report, sentAt, now, nowUnixMs);
    if (wasAcknowledging && report.ended.empty()) {
        worker->nextRenewal = now; // That one can wait for the next end.
    }
    m_state.wantsPlacement =
        m_state.wantsPlacement || std::exchange(worker->hasDeferredStart, false);
}

void CellScheduler::renewLeases(TimePoint now)
{
    if (now >= m_state.ordersUntil) {
        return;
    }
    for (auto &[id, worker] : m_state.workers) {
        const bool isNeeded = worker->isRegistered || !worker->tasks.empty()
                              || (m_state.isLocating && !worker->hasListedAllEnds)
                              || worker->durableEndNumber < worker->processedEndNumber;
        if (isNeeded && !worker->isRenewing && now >= worker->nextRenewal) {
            renewLease(*worker, now);
        }
    }
}

void CellScheduler::renewLease(CellWorker &worker, TimePoint now)
{
    RenewLease order;
    order.worker = worker.info.id;
    order.fence = m_state.fenceOf(worker);
    // After a failed renewal the next one may reach a new incarnation, which numbers ends from 1.
    const bool mayBeRestarted = worker.isRestartSuspected || worker.renewFailures > 0;
    // Each batch of ends is acknowledged once, and not while a start may be under way: both may be
    // held until the next incarnation.
    const bool isForgotten = worker.durableEndNumber <= worker.forgottenEndNumber;
    const bool mayAcknowledge = !mayBeRestarted && !isForgotten && !worker.mayCarryOutStarts(now);
    order.acknowledgedEndNumber = mayAcknowledge ? worker.durableEndNumber : 0;
    worker.acknowledgedEndNumber = order.acknowledgedEndNumber;
    // Renewals to a worker that doesn't answer may still arrive; were they to extend its lease, its
    // tasks could never be restarted elsewhere.
    // A deadline by the clock of an earlier incarnation would grant a later one the longest lease.
    const bool isAnswering = worker.isContacted && !mayBeRestarted;
    if (isAnswering && !worker.isLeaseLimited) {
        const Duration lease = std::min(m_state.bounds.grantedLease(), m_state.ordersUntil - now);
        order.deadlineMs = worker.clockAtLeast(now) + toMs(lease);
        worker.grantedDeadlineMs = std::max(worker.grantedDeadlineMs, *order.deadlineMs);
    }
    // A worker that lists ends answers at once, and starts wait for the answer to an
    // acknowledgement.
    if (isAnswering && worker.processedEndNumber == worker.forgottenEndNumber
        && worker.refusesEarlierOrders()) {
        order.wait = longPollWait(worker);
    }
    worker.renewalFence = order.fence;
    worker.isRenewing = true;
    m_state.actions.emplace_back(std::move(order));
}

void CellScheduler::detectPause(TimePoint now)
{
    const Duration gap = now - m_lastTick;
    m_lastTick = now;
    if (gap <= MaxTickGap) {
        return;
    }
    m_judgeSilenceFrom = now + ListenTime;
    if (gap > HearingWindow) {
        m_hearingSince.reset();
    }
    if (gap >= LoggedTickGap) {
        m_state.actions.emplace_back(
            LogDecision{"owner was delayed", {}, {}, 0, "ms=" + std::to_string(toMs(gap))});
    }
}

bool CellScheduler::canJudgeSilence(TimePoint now) const
{
    return now >= m_judgeSilenceFrom && now <= m_state.exclusiveUntil();
}

bool CellScheduler::hearsMostWorkers(TimePoint now)
{
    std::size_t expected = 0;
    std::size_t heard = 0;
    for (const auto &[id, worker] : m_state.workers) {
        // An entry that never answered an owner may name no worker of the cell.
        if (!worker->isRegistered || (!worker->isContacted && !worker->record)) {
            continue;
        }
        ++expected;
        heard += worker->isContacted && now - worker->clockAt <= HearingWindow ? 1 : 0;
    }
    if (heard == 0) {
        m_hearingSince.reset();
    } else if (!m_hearingSince) {
        m_hearingSince = now;
    }
    return 2 * heard >= expected;
}

bool CellScheduler::isSilentBesideOthers(const CellWorker &worker, TimePoint now) const
{
    // When a link comes back, the first answers come before each worker has been asked again.
    return worker.renewFailures > 0 && m_hearingSince
           && now - std::max(*m_hearingSince, worker.silentSince) >= m_state.bounds.maxLease;
}

void CellScheduler::expireLeases(TimePoint now, std::int64_t nowUnixMs)
{
    if (now - m_lastWorkerCheck < WorkerCheckInterval) {
        return;
    }
    m_lastWorkerCheck = now;
    const bool canJudge = canJudgeSilence(now);
    const bool hearsMost = hearsMostWorkers(now);
    for (auto it = m_state.workers.begin(); it != m_state.workers.end();) {
        CellWorker &worker = *it->second;
        const bool hasRenewalResult = worker.isContacted || worker.renewFailures > 0;
        // The platform's list tells of a worker that has left, whether or not others are heard.
        const bool isSilenceCertain =
            hearsMost || !worker.isRegistered || isSilentBesideOthers(worker, now);
        if (worker.hasLeft || worker.isReplaced) {
            clearOpenStarts(worker);
        }
        dropExpiredOpenStarts(worker, now);
        const bool isExpired =
            canJudge && hasRenewalResult && isSilenceCertain && now >= worker.leaseEnd();
        if (isExpired && !worker.tasks.empty()) {
            releaseTasks(worker, nowUnixMs);
        }
        if (isExpired && !worker.isRegistered && !worker.isRenewing) {
            m_records.remove(worker, now);
            m_fenceRaisesOfErased[it->first] = worker.fenceRaises;
            it = m_state.workers.erase(it);
            continue;
        }
        m_records.update(worker, now);
        resendStops(worker, now);
        restartStuckTasks(worker, now);
        ++it;
    }
}

void CellScheduler::applySuspicions(std::span<const TaskRef> suspects, std::int64_t nowUnixMs)
{
    std::set<CellJob *> changed;
    for (const TaskRef &it : suspects) {
        const CrashHistory &crashes = it.task().crashes;
        const bool isConvicted = CrashDetector::isConvicted(it.task());
        m_state.logDecision(isConvicted ? "task given up" : "task suspected of a crash", it,
                            "early=" + std::to_string(crashes.early)
                                + " certain=" + std::to_string(crashes.certain)
                                + " evidence=" + std::to_string(crashes.evidence)
                                + " late=" + std::to_string(crashes.late));
        changed.insert(it.job);
        if (isConvicted && !isFinal(it.job->state)) {
            finalize(*it.job, JobState::Failed, nowUnixMs);
        }
    }
    for (CellJob *it : changed) {
        if (!isFinal(it->state)) {
            recordCrashes(*it);
        }
    }
}

std::vector<TaskRef> CellScheduler::runsOfLatestIncarnation(const CellWorker &worker,
                                                            std::span<const TaskRef> tasks)
{
    std::vector<TaskRef> runs;
    std::ranges::copy_if(tasks, std::back_inserter(runs), [&worker](const TaskRef &it) {
        return it.task().acceptedMs || it.task().startFence >= worker.incarnationFence;
    });
    return runs;
}

void CellScheduler::recordCrashes(CellJob &job)
{
    recordProgress(job);
    ++job.unstoredCrashRecords;
    m_state.journal.whenDurable([this, id = job.id] {
        if (CellJob *stored = m_state.findJob(id)) {
            --stored->unstoredCrashRecords;
            m_state.wantsPlacement = true;
        }
    });
}

void CellScheduler::releaseEarlierRuns(CellWorker &worker, Successor successor, TimePoint sentAt,
                                       std::int64_t nowUnixMs)
{
    std::vector<TaskRef> earlier;
    std::ranges::copy_if(worker.tasks, std::back_inserter(earlier), [sentAt](const TaskRef &it) {
        return it.task().state != TaskState::Starting && it.task().startedAt < sentAt;
    });
    const std::vector<TaskRef> lost = runsOfLatestIncarnation(worker, earlier);
    applySuspicions(m_crashDetector.onRunsLost(worker, lost, CrashDetector::Loss::Crashed, m_now),
                    nowUnixMs);
    for (const TaskRef &it : lost) {
        m_state.logDecision("worker restarted", it, worker.describeLoss(it.task(), m_now));
    }
    for (const TaskRef &it : earlier) {
        if (successor == Successor::OtherId || it.task().acceptedMs) {
            releaseTask(it);
        }
    }
    if (successor == Successor::OtherId) {
        clearOpenStarts(worker);
    }
    m_state.wantsPlacement = true;
}

void CellScheduler::fenceEarlierOrders(CellWorker &worker)
{
    for (const TaskRef &it : worker.tasks) {
        CellTask &task = it.task();
        if (task.state == TaskState::Stopping && !task.acceptedMs) {
            task.state = TaskState::Unsettled; // The new incarnation knows of no stop.
        }
        if (task.state == TaskState::Unsettled) {
            task.stopSentAt = {};
        }
    }
    raiseFence(worker);
}

void CellScheduler::raiseFence(CellWorker &worker)
{
    if (worker.fenceRaises + 1 < FencesPerEpoch) {
        ++worker.fenceRaises;
    } else {
        m_state.logDecision("fencing tokens used up", worker, {});
        m_state.needsNewEpoch = true;
    }
    worker.restartFence = m_state.fenceOf(worker);
}

void CellScheduler::addOpenStart(const TaskRef &ref, CellWorker &worker, TimePoint end)
{
    CellTask &task = ref.task();
    if (task.openStart && task.openStart->worker != worker.info.id) {
        // Two workers may carry out starts of it: it starts nowhere until one of them can't.
        task.notBefore = std::max(task.notBefore, std::min(task.openStart->end, end));
    }
    if (!task.openStart || task.openStart->end < end) {
        task.openStart = {worker.info.id, end};
    }
    const TaskName name = ref.name();
    const auto known = std::ranges::find(worker.openStarts, name, &CellWorker::OpenStart::task);
    if (known != worker.openStarts.end()) {
        known->end = std::max(known->end, end);
    } else {
        worker.openStarts.push_back({name, end, ref.spec().reservation()});
    }
}

void CellScheduler::clearOpenStarts(CellWorker &worker)
{
    for (const auto &it : std::exchange(worker.openStarts, {})) {
        const auto ref = m_state.findTask(it.task);
        if (ref && ref->task().openStart && ref->task().openStart->worker == worker.info.id) {
            ref->task().openStart.reset();
            m_state.wantsPlacement = true;
        }
    }
}

void CellScheduler::dropExpiredOpenStarts(CellWorker &worker, TimePoint now)
{
    const auto isOver = [now](const auto &it) { return now >= it.end; };
    if (std::erase_if(worker.openStarts, isOver) > 0) {
        m_state.wantsPlacement = true;
    }
}

void CellScheduler::releaseTasks(CellWorker &worker, std::int64_t nowUnixMs)
{
    std::vector<TaskRef> lost;
    std::ranges::copy_if(worker.tasks, std::back_inserter(lost),
                         [&](const TaskRef &it) { return m_now >= worker.startEnd(it.task()); });
    if (lost.empty()) {
        return;
    }
    const CrashDetector::Loss loss = worker.isReplaced   ? CrashDetector::Loss::Crashed
                                     : worker.isRefusing ? CrashDetector::Loss::Down
                                                         : CrashDetector::Loss::Silent;
    applySuspicions(
        m_crashDetector.onRunsLost(worker, runsOfLatestIncarnation(worker, lost), loss, m_now),
        nowUnixMs);
    for (const TaskRef &it : lost) {
        m_state.logDecision("lease over", it, worker.describeLoss(it.task(), m_now));
        releaseTask(it);
    }
    m_state.wantsPlacement = true;
}

void CellScheduler::recordFailure(const TaskRef &ref, CellWorker &worker, std::uint32_t run)
{
    FailureHistory &history = ref.failureCounter().task().failures;
    history.record(worker.info.id, run, m_now);
    if (m_now - std::max(worker.lastFailure, worker.failurePauseUntil) > FailureHistory::Memory) {
        worker.failedTasks.clear();
    }
    worker.lastFailure = m_now;
    const TaskName name = ref.failureCounter().name();
    if (std::ranges::find(worker.failedTasks, name) == worker.failedTasks.end()) {
        if (worker.failedTasks.size() == MaxFailedTasks) {
            worker.failedTasks.erase(worker.failedTasks.begin());
        }
        worker.failedTasks.push_back(name);
    }
    const std::size_t failures = countIndependentFailures(worker);
    const TimePoint pausedUntil = m_now + FailureHistory::pauseAfter(failures);
    if (pausedUntil > std::max(worker.failurePauseUntil, m_now)) {
        worker.failurePauseUntil = pausedUntil;
        m_state.logDecision("worker paused", worker,
                            "failures=" + std::to_string(failures)
                                + " ms=" + std::to_string(toMs(pausedUntil - m_now)));
    }
    for (const WorkerId &id : history.workers()) {
        CellWorker *other = m_state.findWorker(id);
        if (other && other->failurePauseUntil > m_now
            && FailureHistory::pauseAfter(countIndependentFailures(*other)) == Duration{}) {
            m_state.logDecision("worker pause ended", *other,
                                "left_ms=" + std::to_string(toMs(other->failurePauseUntil - m_now))
                                    + " failed_elsewhere=" + name.job.value());
            other->failurePauseUntil = m_now;
            m_state.wantsPlacement = true;
        }
    }
}

std::size_t CellScheduler::countIndependentFailures(const CellWorker &worker)
{
    std::set<TaskName> sources;
    for (const TaskName &it : worker.failedTasks) {
        const auto ref = m_state.findTask(it);
        if (!ref) {
            continue;
        }
        const CellTask &task = ref->task();
        if (task.state != TaskState::Done && task.failures.hasFailedWithout(worker.info.id)) {
            continue;
        }
        const bool isStepSound = ref->stepRun().doneCount > 0;
        sources.insert(isStepSound ? it : TaskName{it.job, 0, 0, 0});
    }
    return sources.size();
}

void CellScheduler::resendStops(CellWorker &worker, TimePoint now)
{
    for (const TaskRef &it : worker.tasks) {
        const CellTask &task = it.task();
        const bool isStopPending =
            task.state == TaskState::Stopping || task.state == TaskState::Unsettled;
        if (isStopPending && now - task.stopSentAt >= StopRetryInterval
            && now < m_state.ordersUntil) {
            sendStop(it);
        }
    }
}

void CellScheduler::restartStuckTasks(CellWorker &worker, TimePoint now)
{
    if (worker.renewFailures > 0) {
        return;
    }
    for (const TaskRef &it : worker.tasks) {
        const CellTask &task = it.task();
        // The end of a run that the latest report doesn't list may not have been reported yet.
        if (task.state != TaskState::Running || task.pace == 0
            || task.lastListedReport != worker.reportCount
            || (it.spec().isLongRunning && task.percent >= 100)) {
            continue;
        }
        // Both times are the worker's: reports that this process reads late don't make a task
        // stuck.
        const Duration stuckTimeout =
            std::max<Duration>(MinStuckTime, std::chrono::milliseconds(it.spec().estimateMs / 2));
        if (worker.clockMs - task.progressMs < toMs(stuckTimeout)) {
            continue;
        }
        if (it.spec().isFiller && !task.isPaceKnown) {
            // An earlier owner may have paused it; it can be stuck only once the guard resumes it.
            m_state.logDecision("filler pace changed", it, "percent=0 restored=1");
            setPace(it, 0, now);
            continue;
        }
        recordFailure(it, worker, task.run);
        m_state.logDecision("task stuck", it, "percent=" + std::to_string(task.percent));
        sendStop(it);
    }
}

void CellScheduler::evacuate(CellWorker &worker)
{
    const Duration left = worker.info.remaining.value_or(Duration{});
    for (const TaskRef &it : worker.tasks) {
        const CellTask &task = it.task();
        if (task.state != TaskState::Running) {
            continue;
        }
        const auto workMs = it.spec().estimateMs * (100 - std::min(task.percent, 100)) / 100;
        if (it.spec().isLongRunning || std::chrono::milliseconds(workMs) > left) {
            m_state.logDecision("evacuated", it, "work_ms=" + std::to_string(workMs));
            sendStop(it);
            m_state.wantsPlacement = true;
        }
    }
}

} // namespace firefly
