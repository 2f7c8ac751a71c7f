/// \file CellScheduler's care for its workers: registration, leases, stops, evacuation.

#include "Cell/CellScheduler.h"
#include "Cell/TaskLedger.h"

#include <algorithm>

namespace firefly {
namespace {

/// Longest wait of a renewal's answer for an end, with and without tasks on the worker.
constexpr Duration BusyWait = std::chrono::milliseconds(1000);
constexpr Duration IdleWait = std::chrono::milliseconds(2000);
/// The same where a serving task needs relief in time: its target may be missed for some seconds.
constexpr Duration RaisedWait = std::chrono::milliseconds(700);
constexpr Duration CloseWait = std::chrono::milliseconds(250);
constexpr Duration FirstRetry = std::chrono::milliseconds(150);
constexpr Duration LongestRetry = std::chrono::milliseconds(1200);
/// Added to the computed end of a lease, for orders under way.
constexpr Duration LeaseMargin = std::chrono::milliseconds(200);
/// A worker's steady clock may be this much slow.
constexpr double SlowestClock = 0.98;
/// A worker's clock that is this much behind what it was belongs to another incarnation.
constexpr Duration ClockTolerance = std::chrono::milliseconds(1000);
constexpr int FullPace = 100;
/// A stop without a listed end is repeated after this time.
constexpr Duration StopRepeat = std::chrono::milliseconds(700);
/// Interval of checks that need not react faster.
constexpr Duration CareInterval = std::chrono::milliseconds(100);
/// A task without progress for this time, or for half of its estimate, is stuck.
constexpr Duration LeastStuckTime = std::chrono::milliseconds(2500);
/// Pauses after a worker refused or failed a start.
constexpr Duration NoRoomPause = std::chrono::milliseconds(200);
constexpr Duration UnhealthyPause = std::chrono::milliseconds(1500);
constexpr Duration UnreachablePause = std::chrono::milliseconds(500);
constexpr Duration LongestStrikePause = std::chrono::seconds(8);
constexpr std::uint32_t ToleratedStrikes = 1;

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Duration reportWait(const CellWorker &worker)
{
    if (worker.tasks.empty()) {
        return IdleWait;
    }
    switch (worker.attention) {
    case Attention::Close:
        return CloseWait;
    case Attention::Raised:
        return RaisedWait;
    case Attention::Usual:
        break;
    }
    return BusyWait;
}

Duration retryAfter(std::uint32_t failures)
{
    const auto shift = std::min<std::uint32_t>(failures, 6) - 1;
    return std::min(LongestRetry, FirstRetry * (1 << shift));
}

} // namespace

void CellScheduler::onWorkerListed(const WorkerDescription &info, TimePoint now)
{
    m_now = now;
    auto &worker = m_state.workers[info.id.value()];
    if (!worker) {
        worker = std::make_unique<CellWorker>();
    }
    const bool wasReady = worker->isRegistered && !worker->info.isDraining;
    worker->info = info;
    worker->isRegistered = true;
    if (!worker->isRecorded) {
        recordWorker(*worker);
    }
    if (info.bornUnixMs > worker->bornUnixMs && worker->isContacted) {
        worker->nextRenewal = now;
    }
    if (info.isDraining) {
        evacuate(*worker);
    } else if (!wasReady) {
        m_state.wantsPlacement = true;
    }
}

void CellScheduler::recordWorker(CellWorker &worker)
{
    const Endpoint &endpoint = worker.info.endpoint;
    m_state.journal.put({JobRecords::workerKey(worker.info.id.value()),
                         endpoint.address + ":" + std::to_string(endpoint.port)},
                        [this, id = worker.info.id] {
                            if (CellWorker *stored = m_state.findWorker(id)) {
                                stored->isRecorded = true;
                                m_state.wantsPlacement = true;
                            }
                        });
}

void CellScheduler::onWorkerGone(const WorkerId &id, TimePoint now)
{
    m_now = now;
    if (CellWorker *worker = m_state.findWorker(id)) {
        worker->isRegistered = false;
    }
}

void CellScheduler::checkClock(CellWorker &worker, const OrderReply &reply, TimePoint now)
{
    if (!reply.clockMs || !worker.isContacted) {
        return;
    }
    if (*reply.clockMs < worker.clockAtLeast(now) - toMs(ClockTolerance)) {
        // A new incarnation counts its ends from 1: the numbers known here would make it forget
        // ends that nobody has heard of.
        worker.isRestartSuspected = true;
        worker.nextRenewal = now;
    }
}

void CellScheduler::onStartReply(const WorkerId &id, const TaskName &name, std::uint32_t run,
                                 const OrderReply &reply, TimePoint now)
{
    m_now = now;
    const OrderOutcome outcome = reply.outcome;
    const auto ref = m_state.findTask(name);
    CellWorker *worker = m_state.findWorker(id);
    if (outcome == OrderOutcome::FencedOff) {
        m_state.isFenced = true;
    }
    if (worker) {
        checkClock(*worker, reply, now);
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
        task.progressAt = now;
        if (isFinal(ref->job->state)) {
            sendStop(*ref);
        }
        return;
    case OrderOutcome::Unknown:
        task.state = TaskState::Unsettled;
        worker->avoidUntil = std::max(worker->avoidUntil, now + UnreachablePause);
        sendStop(*ref);
        return;
    case OrderOutcome::NoRoom:
        worker->avoidUntil = std::max(worker->avoidUntil, now + NoRoomPause);
        break;
    case OrderOutcome::Unhealthy:
        worker->avoidUntil = std::max(worker->avoidUntil, now + UnhealthyPause);
        break;
    case OrderOutcome::NotSent:
    case OrderOutcome::OtherIncarnation:
    case OrderOutcome::Invalid:
        worker->avoidUntil = std::max(worker->avoidUntil, now + UnreachablePause);
        break;
    case OrderOutcome::FencedOff:
    case OrderOutcome::OldRun:
    case OrderOutcome::Late:
    case OrderOutcome::BadTicket:
        break;
    }
    TaskLedger::release(*ref);
    m_state.wantsPlacement = true;
}

void CellScheduler::onStopOutcome(const WorkerId &id, const TaskName &name, std::uint32_t run,
                                  OrderOutcome outcome, TimePoint now)
{
    m_now = now;
    if (outcome == OrderOutcome::FencedOff) {
        m_state.isFenced = true;
    }
    const auto ref = m_state.findTask(name);
    if (outcome != OrderOutcome::Accepted || !ref) {
        return;
    }
    // After an accepted stop the start can't take effect any more: the next report settles it.
    CellTask &task = ref->task();
    if (task.state == TaskState::Unsettled && task.run == run && task.worker->info.id == id) {
        task.state = TaskState::Stopping;
        task.startedAt = now;
    }
}

void CellScheduler::onPaceOutcome(const WorkerId &id, const TaskName &name, std::uint32_t run,
                                  OrderOutcome outcome, TimePoint now)
{
    m_now = now;
    const auto ref = m_state.findTask(name);
    if (outcome == OrderOutcome::Accepted || !ref) {
        return;
    }
    // Which pace the worker keeps is unknown: the guard sets it anew when the tails ask for it.
    CellTask &task = ref->task();
    if (task.worker && task.worker->info.id == id && task.run == run) {
        task.pace = FullPace;
    }
}

void CellScheduler::onLeaseReport(const WorkerId &id, OrderOutcome outcome,
                                  const LeaseReport &report, TimePoint sentAt, TimePoint now,
                                  std::int64_t nowUnixMs)
{
    m_now = now;
    CellWorker *worker = m_state.findWorker(id);
    if (!worker) {
        return;
    }
    worker->isRenewing = false;
    if (outcome == OrderOutcome::FencedOff) {
        m_state.isFenced = true;
        return;
    }
    if (outcome != OrderOutcome::Accepted) {
        ++worker->renewFailures;
        worker->nextRenewal = now + retryAfter(worker->renewFailures);
        return;
    }
    worker->renewFailures = 0;
    takeReport(*worker, report, sentAt, now, nowUnixMs);
}

TimePoint CellScheduler::leaseEnd(const CellWorker &worker) const
{
    if (!worker.isContacted) {
        return m_state.locateUntil;
    }
    const double leftMs = static_cast<double>(worker.grantedDeadlineMs - worker.clockMs);
    const auto left = std::chrono::duration<double, std::milli>(leftMs / SlowestClock);
    return worker.clockAt + std::chrono::duration_cast<Duration>(left) + LeaseMargin;
}

void CellScheduler::renewLeases(TimePoint now)
{
    if (now >= m_state.ordersUntil) {
        return;
    }
    for (auto &[id, worker] : m_state.workers) {
        const bool isNeeded = worker->isRegistered || !worker->tasks.empty()
                              || (m_state.isLocating && !worker->isContacted)
                              || worker->durableEnd < worker->handledEnd;
        if (isNeeded && !worker->isRenewing && now >= worker->nextRenewal) {
            renewLease(*worker, now);
        }
    }
}

void CellScheduler::renewLease(CellWorker &worker, TimePoint now)
{
    RenewLease order;
    order.worker = worker.info.id;
    // After a failed renewal the next one may reach a new incarnation, whose ends count anew.
    const bool mayBeNew = worker.isRestartSuspected || worker.renewFailures > 0;
    order.lastSeenEnd = mayBeNew ? 0 : worker.durableEnd;
    // A renewal that may be carried out late must not lengthen the lease of a silent worker: its
    // tasks would be held back for ever.
    if (worker.isContacted && worker.renewFailures == 0) {
        const Duration lease = std::min(m_state.bounds.grantedLease(), m_state.ordersUntil - now);
        order.deadlineMs = worker.clockAtLeast(now) + toMs(lease);
        worker.grantedDeadlineMs = std::max(worker.grantedDeadlineMs, *order.deadlineMs);
        if (worker.durableEnd == worker.handledEnd) {
            order.wait = reportWait(worker);
        }
    }
    worker.isRenewing = true;
    m_state.actions.emplace_back(std::move(order));
}

void CellScheduler::expireLeases(TimePoint now)
{
    if (now - m_lastCare < CareInterval) {
        return;
    }
    m_lastCare = now;
    for (auto it = m_state.workers.begin(); it != m_state.workers.end();) {
        CellWorker &worker = *it->second;
        const bool wasAsked = worker.isContacted || worker.renewFailures > 0;
        const bool isExpired = wasAsked && now >= leaseEnd(worker);
        if (isExpired && !worker.tasks.empty()) {
            dropTasks(worker);
        }
        if (isExpired && !worker.isRegistered && !worker.isRenewing) {
            m_state.journal.put({JobRecords::workerKey(it->first), std::nullopt});
            it = m_state.workers.erase(it);
            continue;
        }
        repeatStops(worker, now);
        restartStuckTasks(worker, now);
        ++it;
    }
}

void CellScheduler::locateTasks(TimePoint now)
{
    if (!m_state.isLocating) {
        return;
    }
    // A worker that answers may list ends that nobody took note of, also after its lease.
    const bool isLate = now >= m_state.locateUntil;
    const bool isComplete = std::ranges::all_of(m_state.workers, [isLate](const auto &it) {
        return it.second->isContacted || !it.second->isRecorded
               || (isLate && it.second->renewFailures > 0);
    });
    if (!isComplete) {
        return;
    }
    m_state.isLocating = false;
    m_state.wantsPlacement = true;
    for (auto &[id, job] : m_state.jobs) {
        for (std::uint32_t k = 0; k < job->occurrences.size(); ++k) {
            for (std::uint32_t s = 0; s < job->spec.steps.size(); ++s) {
                for (std::uint32_t i = 0; i < job->spec.steps[s].taskCount; ++i) {
                    TaskLedger::settle({job.get(), k, s, i});
                }
            }
        }
    }
}

void CellScheduler::dropTasks(CellWorker &worker)
{
    while (!worker.tasks.empty()) {
        m_state.note("lease over", worker.tasks.back(),
                     "failed_renewals=" + std::to_string(worker.renewFailures));
        TaskLedger::release(worker.tasks.back());
    }
    m_state.wantsPlacement = true;
}

void CellScheduler::strike(CellWorker &worker, TimePoint now)
{
    ++worker.strikes;
    if (worker.strikes > ToleratedStrikes) {
        const auto shift = std::min<std::uint32_t>(worker.strikes - ToleratedStrikes, 4) - 1;
        const Duration pause =
            std::min<Duration>(LongestStrikePause, std::chrono::seconds(1 << shift));
        worker.avoidUntil = std::max(worker.avoidUntil, now + pause);
    }
}

void CellScheduler::repeatStops(CellWorker &worker, TimePoint now)
{
    for (const TaskRef &it : worker.tasks) {
        const CellTask &task = it.task();
        const bool isWanted =
            task.state == TaskState::Stopping || task.state == TaskState::Unsettled;
        if (isWanted && now - task.stopSentAt >= StopRepeat && now < m_state.ordersUntil) {
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
        if (task.state != TaskState::Running || task.pace == 0
            || (it.spec().isLongRunning && task.percent >= 100)) {
            continue;
        }
        const Duration patience =
            std::max<Duration>(LeastStuckTime, std::chrono::milliseconds(it.spec().estimateMs / 2));
        if (now - task.progressAt >= patience) {
            strike(worker, now);
            m_state.note("task stuck", it, "percent=" + std::to_string(task.percent));
            sendStop(it);
        }
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
            m_state.note("evacuated", it, "work_ms=" + std::to_string(workMs));
            sendStop(it);
        }
    }
}

} // namespace firefly
