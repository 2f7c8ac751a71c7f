/// \file Processing of the workers' lease reports, as part of CellScheduler.

#include "Cell/CellScheduler.h"
#include "Cell/TaskLedger.h"

#include <algorithm>
#include <utility>

namespace firefly {
namespace {

/// Delay of the next renewal after an answer, so that runs that end close together share a report.
constexpr Duration RenewalDelay = std::chrono::milliseconds(25);
/// The same while ended runs aren't durable yet, since the worker then answers without a long poll.
constexpr Duration UnflushedRenewalDelay = std::chrono::milliseconds(700);
/// The same while they mustn't be acknowledged, as an unanswered start may still be carried out.
constexpr Duration OpenStartRenewalDelay = std::chrono::milliseconds(300);
/// Time after the first stop order for which a worker is asked often; it may never end the run.
constexpr Duration AwaitedEndTime = std::chrono::milliseconds(2000);
/// Delay before a failed long-running task is started again.
constexpr Duration RestartDelay = std::chrono::milliseconds(200);

/// True if a long-running task on \a worker, which takes new tasks, was told to stop lately.
bool awaitsEnd(const CellWorker &worker, TimePoint now)
{
    return worker.isUsable() && std::ranges::any_of(worker.tasks, [now](const TaskRef &it) {
               const CellTask &task = it.task();
               return it.spec().isLongRunning && task.state == TaskState::Stopping
                      && now - task.stopOrderedAt < AwaitedEndTime;
           });
}

} // namespace

void CellScheduler::applyLeaseReport(CellWorker &worker, const LeaseReport &report,
                                     TimePoint sentAt, TimePoint now, std::int64_t nowUnixMs)
{
    // The first report by which the worker refuses earlier orders bounds the leases that these have
    // granted.  An incarnation that the previous owner knew has got none since.
    bool mayHaveEarlierGrants = !worker.refusesEarlierOrders();
    if (report.incarnationStartUnixMs != worker.incarnationStartUnixMs) {
        mayHaveEarlierGrants =
            worker.isContacted || !worker.isRestored || !worker.record
            || worker.record->earlierGrantsMs > 0
            || worker.record->incarnationStartUnixMs != report.incarnationStartUnixMs;
        logIncarnation(worker, report, sentAt);
        beginIncarnation(worker, report.incarnationStartUnixMs, sentAt, nowUnixMs);
    }
    applySuspicions(m_crashDetector.onAnswer(worker, now), nowUnixMs);
    worker.renewFailures = 0;
    worker.silentSince = {};
    worker.isReplaced = false;
    worker.isRefusing = false;
    worker.isRestartSuspected = false;
    worker.clockMs = report.clockMs;
    worker.clockAt = now;
    worker.lastSignMs = std::max(worker.lastSignMs, report.clockMs);
    // An earlier owner may have granted the lease, at most for this long.
    const auto longest =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_state.bounds.maxLease).count();
    if (worker.grantedDeadlineMs == 0) {
        worker.grantedDeadlineMs = report.clockMs + longest;
    }
    if (!worker.isContacted) {
        worker.isContacted = true;
        if (!worker.isRestored) {
            m_state.logDecision("new worker answered", worker,
                                "recorded=" + std::to_string(worker.isRecorded ? 1 : 0)
                                    + " running=" + std::to_string(report.running.size())
                                    + " ended=" + std::to_string(report.ended.size()));
        }
        m_state.wantsPlacement = true;
    }
    ++worker.reportCount;
    m_state.wantsPlacement = m_state.wantsPlacement || !worker.refusesEarlierOrders();
    worker.reportFence = report.fence;
    if (mayHaveEarlierGrants) {
        worker.extendEarlierGrants(now, m_state.bounds.maxLease);
    }
    worker.hasUntrackedRuns = false;
    const ResourceVector earlierUntracked = std::exchange(worker.untracked, {});
    for (const RunningTask &row : report.running) {
        applyRunningTask(worker, row, now);
    }
    m_state.wantsPlacement = m_state.wantsPlacement || worker.untracked != earlierUntracked;
    for (const EndedRun &row : report.ended) {
        if (row.number > worker.processedEndNumber) {
            worker.processedEndNumber = row.number;
            applyEndedRun(worker, row, now, nowUnixMs);
        }
    }
    settleRestoredStarts(worker, report);
    if (report.mayOmitEnds) {
        m_state.logDecision("report may omit ended runs", worker,
                            "listed_to=" + std::to_string(worker.processedEndNumber)
                                + " durable_to=" + std::to_string(worker.durableEndNumber)
                                + " running=" + std::to_string(report.running.size()));
    } else {
        worker.hasListedAllEnds = true;
        releaseMissingTasks(worker, report, sentAt);
    }
    adjustFillers(worker, now);
    // Before its ends are acknowledged, its record mustn't name their runs as unanswered starts.
    m_records.update(worker, now);
    acknowledgeEndedRuns(worker, now);
    if (!worker.refusesEarlierOrders()) {
        worker.nextRenewal = now; // Until it answers, it takes orders to an earlier incarnation.
    }
    if (worker.info.isDraining) {
        evacuate(worker);
    }
}

void CellScheduler::logIncarnation(const CellWorker &worker, const LeaseReport &report,
                                   TimePoint sentAt)
{
    if (worker.incarnationStartUnixMs == 0) {
        return;
    }
    const auto sentMs = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - sentAt);
    m_state.logDecision(
        "worker incarnation changed", worker,
        "from=" + std::to_string(worker.incarnationStartUnixMs)
            + " to=" + std::to_string(report.incarnationStartUnixMs) + " sent_ms="
            + std::to_string(sentMs.count()) + " tasks=" + std::to_string(worker.tasks.size())
            + " unconfirmed=" + std::to_string(worker.unconfirmedStarts())
            + " running=" + std::to_string(report.running.size())
            + " ended=" + std::to_string(report.ended.size()) + " acknowledging="
            + std::to_string(worker.acknowledgedEndNumber) + " " + worker.describeLease(m_now));
}

void CellScheduler::beginIncarnation(CellWorker &worker, std::int64_t incarnationStartUnixMs,
                                     TimePoint sentAt, std::int64_t nowUnixMs)
{
    const bool isRestart = worker.incarnationStartUnixMs != 0;
    releaseEarlierRuns(worker, Successor::SameId, sentAt, nowUnixMs);
    worker.incarnationStartUnixMs = incarnationStartUnixMs;
    worker.grantedDeadlineMs = 0;
    worker.lastSignMs = 0;
    worker.processedEndNumber = 0;
    worker.journaledEndNumber = 0;
    worker.durableEndNumber = 0;
    worker.forgottenEndNumber = 0;
    const auto mayStillStart = [fence = worker.restartFence](const TaskRef &it) {
        return !it.task().acceptedMs && it.task().startFence >= fence;
    };
    if (isRestart
        && (!worker.isRestartSuspected || std::ranges::any_of(worker.tasks, mayStillStart))) {
        fenceEarlierOrders(worker);
    }
    worker.incarnationFence = m_state.fenceOf(worker);
}

void CellScheduler::applyRunningTask(CellWorker &worker, const RunningTask &row, TimePoint now)
{
    const auto ref = findBegunTask(row.task);
    if (!ref) {
        worker.hasUntrackedRuns = true;
        sendStop(worker, row.task, row.run);
        return;
    }
    CellTask &task = ref->task();
    const bool isUnplaced = task.state == TaskState::Pending || task.state == TaskState::Unlocated;
    if (isUnplaced) {
        // Of an ended job too: the run occupies the worker until it is stopped.
        TaskLedger::place(*ref, worker, TaskState::Running, row.run);
        task.startedAt = now;
        task.waitingSince = {};
        task.progressMs = worker.clockMs;
        task.isPaceKnown = false;
        // An earlier owner started the run, so that it has survived its start.
        task.acceptedMs = worker.clockMs - CrashDetector::FreshMs;
    }
    if (task.worker != &worker || task.run != row.run) {
        m_state.logDecision("stray run stopped", *ref,
                            "on=" + worker.info.id.value()
                                + " listed_run=" + std::to_string(row.run)
                                + " incarnation=" + std::to_string(worker.incarnationStartUnixMs));
        worker.hasUntrackedRuns = true;
        worker.untracked.add(ref->spec().reservation());
        sendStop(worker, row.task, row.run);
        return;
    }
    // Until its final state is durable the next owner may restart the job, so that its runs go on.
    const bool isEnded = isFinal(ref->job->durableState);
    task.acceptedMs = task.acceptedMs.value_or(worker.clockMs);
    if (task.state == TaskState::Starting || (task.state == TaskState::Unsettled && !isEnded)) {
        task.state = TaskState::Running;
        task.startedAt = now;
        task.progressMs = worker.clockMs;
    }
    if (row.percent != task.percent) {
        task.progressMs = worker.clockMs;
    }
    task.percent = row.percent;
    task.usage = row.usage;
    task.lastListedReport = worker.reportCount;
    if (CrashDetector::onAlive(*ref, worker) && !isFinal(ref->job->state)) {
        recordProgress(*ref->job);
    }
    if (!row.checkpoint.empty()) {
        task.checkpoint = row.checkpoint;
    }
    if ((isEnded || task.isEarlierEndDurable) && task.state == TaskState::Running) {
        sendStop(*ref);
    }
}

void CellScheduler::applyEndedRun(CellWorker &worker, const EndedRun &row, TimePoint now,
                                  std::int64_t nowUnixMs)
{
    const auto ref = findBegunTask(row.task);
    if (!ref) {
        return;
    }
    CellTask &task = ref->task();
    if (task.state == TaskState::Done) {
        return;
    }
    const bool isLongRunning = ref->spec().isLongRunning;
    const bool isCurrent = task.worker == &worker && task.run == row.run;
    const bool isUnplaced = task.state == TaskState::Pending || task.state == TaskState::Unlocated;
    m_state.wantsPlacement = true;
    if (row.reason == RunEndReason::Done && !isLongRunning) {
        if (isCurrent || isUnplaced) {
            worker.failedTasks.clear();
            completeTask(*ref, nowUnixMs);
        } else if (isPlaced(task.state) && !ref->spec().isGang) {
            noteEarlierEnd(*ref, worker, row.run);
        }
        return;
    }
    if (isCurrent) {
        releaseTask(*ref);
    }
    if (task.hasEarlierEnd) {
        return;
    }
    if (isCurrent || isUnplaced) {
        task.run = std::max(task.run, row.run);
        task.checkpoint = row.checkpoint.empty() ? task.checkpoint : row.checkpoint;
    }
    if (row.reason == RunEndReason::Failed) {
        task.crashes = {};
        recordFailure(*ref, worker, row.run);
        task.notBefore = std::max(task.notBefore, isLongRunning ? now + RestartDelay : now);
        // The failure of an earlier run counts even if a later run was reported first.
        if (!isLongRunning && !isFinal(ref->job->state)) {
            recordTaskFailure(*ref, worker, row.run, nowUnixMs);
        }
        // A worker that hasn't answered yet may list failures that the earlier owner didn't store.
        const bool mayHaveFailedBefore = m_state.isLocating && ref->job->isFromEarlierOwner;
        if (isCurrent && !isLongRunning && mayHaveFailedBefore) {
            TaskLedger::unlocate(*ref);
        }
        return;
    }
    if (!task.checkpoint.empty() && !isFinal(ref->job->state)) {
        recordProgress(*ref->job);
    }
}

void CellScheduler::completeTask(const TaskRef &ref, std::int64_t nowUnixMs)
{
    recordFinishedWork(ref);
    TaskLedger::finish(ref);
    CellJob &job = *ref.job;
    if (isFinal(job.state)) {
        return;
    }
    const bool isComplete = job.occurrences.size() == job.occurrenceCount()
                            && std::ranges::all_of(job.occurrences, &Occurrence::isDone);
    if (isComplete) {
        finalize(job, JobState::Completed, nowUnixMs);
    } else {
        recordProgress(job);
    }
}

void CellScheduler::noteEarlierEnd(const TaskRef &ref, const CellWorker &worker, std::uint32_t run)
{
    if (std::exchange(ref.task().hasEarlierEnd, true)) {
        return;
    }
    m_state.logDecision("earlier run done", ref,
                        "on=" + worker.info.id.value() + " listed_run=" + std::to_string(run));
    if (isFinal(ref.job->state)) {
        return;
    }
    recordProgress(*ref.job);
    // The next owner may need the later run until then.
    m_state.journal.whenDurable([this, name = ref.name()] {
        const auto stored = m_state.findTask(name);
        if (stored && stored->task().hasEarlierEnd && isPlaced(stored->task().state)) {
            stored->task().isEarlierEndDurable = true;
            sendStop(*stored);
        }
    });
}

void CellScheduler::releaseTask(const TaskRef &ref)
{
    TaskLedger::release(ref);
    if (ref.task().hasEarlierEnd) {
        completeTask(ref, toUnixMs(m_now));
    }
}

void CellScheduler::recordTaskFailure(const TaskRef &ref, const CellWorker &worker,
                                      std::uint32_t run, std::int64_t nowUnixMs)
{
    CellTask &task = ref.failureCounter().task();
    if (std::ranges::find(task.failedRuns, run) != task.failedRuns.end()) {
        return;
    }
    task.failedRuns.push_back(run);
    m_state.actions.emplace_back(
        LogDecision{"run failed", ref.name(), worker.info.id.value(), run,
                    "failures=" + std::to_string(task.failedRuns.size()) + " of "
                        + std::to_string(ref.job->spec.policy.maxAttempts)});
    if (task.failedRuns.size() >= ref.job->spec.policy.maxAttempts) {
        finalize(*ref.job, JobState::Failed, nowUnixMs);
    } else {
        recordProgress(*ref.job);
    }
}

void CellScheduler::releaseMissingTasks(CellWorker &worker, const LeaseReport &report,
                                        TimePoint sentAt)
{
    const std::vector<TaskRef> tasks = worker.tasks;
    for (const TaskRef &it : tasks) {
        const CellTask &task = it.task();
        if (task.lastListedReport == worker.reportCount) {
            continue;
        }
        const bool isConfirmed =
            task.state == TaskState::Running || task.state == TaskState::Stopping;
        const bool isMissing = isConfirmed && task.startedAt < sentAt;
        // That this incarnation would refuse a start under way, by its deadline or token, says
        // nothing of the next one; an accepted stop, sent after the start, has followed it.
        const bool isOver = task.state == TaskState::Unsettled
                            && m_now >= task.startSentAt + CellBounds::OrderLifetime;
        if (isMissing || isOver) {
            m_state.logDecision("run missing", it,
                                "running=" + std::to_string(report.running.size())
                                    + " ended=" + std::to_string(report.ended.size()) + " stopping="
                                    + std::to_string(task.state == TaskState::Stopping ? 1 : 0));
            const TimePoint startEnd = task.startSentAt + CellBounds::OrderLifetime;
            const bool isOpen = !task.acceptedMs && m_now < startEnd;
            releaseTask(it);
            m_state.wantsPlacement = true;
            if (isOpen) {
                addOpenStart(it, worker, startEnd);
                if (mayStartTasks(m_now)) {
                    m_placement.restart(it, worker, m_now);
                }
            }
        }
    }
}

void CellScheduler::settleRestoredStarts(CellWorker &worker, const LeaseReport &report)
{
    if (worker.restoredStarts.empty()) {
        return;
    }
    const auto isShown = [&report](const OrderedStart &start) {
        const auto isLater = [&start](const auto &row) {
            return row.task == start.task && row.run >= start.run;
        };
        return std::ranges::any_of(report.running, isLater)
               || std::ranges::any_of(report.ended, isLater);
    };
    std::erase_if(worker.restoredStarts, isShown);
    if (report.mayOmitEnds) {
        return;
    }
    for (const OrderedStart &it : std::exchange(worker.restoredStarts, {})) {
        const auto ref = findBegunTask(it.task);
        if (!ref) {
            continue;
        }
        // An owner acknowledges no end beside an open start.  So the end of a later run of the task
        // may be the one that this report lists, and has to stay.
        const bool isOpen = it.run == WorkerRecords::AnyRun;
        if (!isOpen && ref->task().state == TaskState::Done) {
            continue;
        }
        const CellTask &task = ref->task();
        const bool hasFailed = std::ranges::any_of(
            task.failedRuns, [&it](std::uint32_t run) { return run >= it.run; });
        const bool isSuperseded = task.worker && task.worker != &worker && task.run > it.run;
        if (!hasFailed && !isSuperseded) {
            addOpenStart(*ref, worker,
                         isOpen ? worker.earlierOpenStartsEnd : worker.earlierStartsEnd);
        }
    }
}

void CellScheduler::adjustFillers(CellWorker &worker, TimePoint now)
{
    m_interference.observe(worker, now);
    for (const InterferenceGuard::Adjustment &it : m_interference.planAdjustments(worker, now)) {
        m_state.logDecision(it.action == InterferenceGuard::Action::Stop ? "filler evicted"
                                                                         : "filler pace changed",
                            it.task, "percent=" + std::to_string(it.percent));
        if (it.action == InterferenceGuard::Action::Stop) {
            sendStop(it.task);
            continue;
        }
        setPace(it.task, it.percent, now);
    }
}

void CellScheduler::setPace(const TaskRef &ref, int percent, TimePoint now)
{
    CellTask &task = ref.task();
    task.pace = percent;
    task.isPaceKnown = true;
    task.paceChangedAt = now;
    task.progressMs = task.worker->clockMs;
    m_state.actions.emplace_back(PaceTask{task.worker->info.id, ref.name(), task.run, percent,
                                          m_state.fenceOf(*task.worker)});
}

void CellScheduler::acknowledgeEndedRuns(CellWorker &worker, TimePoint now)
{
    if (worker.processedEndNumber == worker.durableEndNumber) {
        const bool hasOpenStart =
            !worker.openStarts.empty() || std::ranges::any_of(worker.tasks, [](const TaskRef &it) {
                return it.task().state == TaskState::Unsettled;
            });
        const bool isHeldBack = worker.processedEndNumber > worker.forgottenEndNumber
                                && hasOpenStart && !awaitsEnd(worker, now);
        worker.nextRenewal = now + (isHeldBack ? OpenStartRenewalDelay : RenewalDelay);
        return;
    }
    worker.nextRenewal =
        now + (awaitsEnd(worker, now) ? TaskLedger::AwaitedEndDelay : UnflushedRenewalDelay);
    if (worker.journaledEndNumber == worker.processedEndNumber) {
        return;
    }
    worker.journaledEndNumber = worker.processedEndNumber;
    m_state.journal.whenDurable([this, id = worker.info.id,
                                 incarnation = worker.incarnationStartUnixMs,
                                 end = worker.processedEndNumber] {
        CellWorker *stored = m_state.findWorker(id);
        if (stored && stored->incarnationStartUnixMs == incarnation) {
            stored->durableEndNumber = std::max(stored->durableEndNumber, end);
            stored->nextRenewal = std::min(stored->nextRenewal, m_now + RenewalDelay);
        }
    });
}

} // namespace firefly
