/// \file CellScheduler's reading of the workers' reports.

#include "Cell/CellScheduler.h"
#include "Cell/TaskLedger.h"

#include <algorithm>

namespace firefly {
namespace {

/// Between an answer and the next renewal, so that ends close in time share one.
constexpr Duration RenewalGap = std::chrono::milliseconds(25);
/// Renewals while ends wait to become durable; the worker answers these at once.
constexpr Duration RecordingGap = std::chrono::milliseconds(700);
/// A long-running task that failed soon after its start waits this long.
constexpr Duration RestartPause = std::chrono::milliseconds(200);

} // namespace

void CellScheduler::takeReport(CellWorker &worker, const LeaseReport &report, TimePoint sentAt,
                               TimePoint now, std::int64_t nowUnixMs)
{
    if (report.bornUnixMs != worker.bornUnixMs) {
        beginIncarnation(worker, report.bornUnixMs, sentAt);
    }
    worker.isRestartSuspected = false;
    worker.clockMs = report.clockMs;
    worker.clockAt = now;
    // Whoever granted the lease before, it can't be longer than this.
    const auto longest =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_state.bounds.maxLease).count();
    if (worker.grantedDeadlineMs == 0) {
        worker.grantedDeadlineMs = report.clockMs + longest;
    }
    if (!worker.isContacted) {
        worker.isContacted = true;
        m_state.wantsPlacement = true;
    }
    ++worker.reports;
    for (const RunningTask &row : report.running) {
        takeRunning(worker, row, now);
    }
    for (const EndedRun &row : report.ended) {
        if (row.number > worker.handledEnd) {
            worker.handledEnd = row.number;
            takeEnded(worker, row, now, nowUnixMs);
        }
    }
    dropVanished(worker, sentAt);
    relieveServing(worker, now);
    acknowledgeEnds(worker, now);
    if (worker.info.isDraining) {
        evacuate(worker);
    }
}

void CellScheduler::beginIncarnation(CellWorker &worker, std::int64_t bornUnixMs, TimePoint sentAt)
{
    // What was ordered after the renewal left may already belong to the new incarnation.
    const std::vector<TaskRef> tasks = worker.tasks;
    for (const TaskRef &it : tasks) {
        if (it.task().state != TaskState::Starting && it.task().startedAt < sentAt) {
            TaskLedger::release(it);
        }
    }
    worker.bornUnixMs = bornUnixMs;
    worker.grantedDeadlineMs = 0;
    worker.handledEnd = 0;
    worker.recordingEnd = 0;
    worker.durableEnd = 0;
    m_state.wantsPlacement = true;
}

void CellScheduler::takeRunning(CellWorker &worker, const RunningTask &row, TimePoint now)
{
    const auto ref = m_state.findTask(row.task);
    if (!ref) {
        sendStop(worker, row.task, row.run);
        return;
    }
    CellTask &task = ref->task();
    const bool isFree = task.state == TaskState::Pending || task.state == TaskState::Unlocated;
    if (isFree && !isFinal(ref->job->state)) {
        TaskLedger::place(*ref, worker, TaskState::Running, row.run);
        task.startedAt = now;
        task.progressAt = now;
    }
    if (task.worker != &worker || task.run != row.run) {
        sendStop(worker, row.task, row.run);
        return;
    }
    if (task.state == TaskState::Starting
        || (task.state == TaskState::Unsettled && !isFinal(ref->job->state))) {
        task.state = TaskState::Running;
        task.startedAt = now;
        task.progressAt = now;
    }
    if (row.percent != task.percent) {
        task.progressAt = now;
    }
    task.percent = row.percent;
    task.usage = row.usage;
    task.seenIn = worker.reports;
    if (!row.checkpoint.empty()) {
        task.checkpoint = row.checkpoint;
    }
    if (isFinal(ref->job->state) && task.state == TaskState::Running) {
        sendStop(*ref);
    }
}

void CellScheduler::takeEnded(CellWorker &worker, const EndedRun &row, TimePoint now,
                              std::int64_t nowUnixMs)
{
    const auto ref = m_state.findTask(row.task);
    if (!ref) {
        return;
    }
    CellTask &task = ref->task();
    if (task.state == TaskState::Done) {
        return;
    }
    const bool isLongRunning = ref->spec().isLongRunning;
    const bool isCurrent = task.worker == &worker && task.run == row.run;
    const bool isFree = task.state == TaskState::Pending || task.state == TaskState::Unlocated;
    m_state.wantsPlacement = true;
    if (row.how == RunEnd::Done && !isLongRunning) {
        if (isCurrent || isFree) {
            worker.strikes = 0;
            takeDone(*ref, nowUnixMs);
        }
        return;
    }
    if (isCurrent) {
        TaskLedger::release(*ref);
    }
    if (isCurrent || isFree) {
        task.run = std::max(task.run, row.run);
        task.checkpoint = row.checkpoint.empty() ? task.checkpoint : row.checkpoint;
    }
    if (row.how == RunEnd::Failed) {
        strike(worker, now);
        task.notBefore = isLongRunning ? now + RestartPause : now;
        // An earlier run's failure counts also when a later run was found first.
        if (!isLongRunning && !isFinal(ref->job->state)) {
            takeFailed(*ref, worker, row.run, nowUnixMs);
        }
        return;
    }
    if (!task.checkpoint.empty() && !isFinal(ref->job->state)) {
        recordProgress(*ref->job);
    }
}

void CellScheduler::takeDone(const TaskRef &ref, std::int64_t nowUnixMs)
{
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

void CellScheduler::takeFailed(const TaskRef &ref, const CellWorker &worker, std::uint32_t run,
                               std::int64_t nowUnixMs)
{
    // The members of a gang fail together; the first one counts for all.
    TaskRef counter = ref;
    counter.index = ref.spec().isGang ? 0 : ref.index;
    CellTask &task = counter.task();
    if (std::ranges::find(task.failedRuns, run) != task.failedRuns.end()) {
        return;
    }
    task.failedRuns.push_back(run);
    m_state.actions.emplace_back(CellNote{"run failed", ref.name(), worker.info.id.value(), run,
                                          "failures=" + std::to_string(task.failedRuns.size())
                                              + " of "
                                              + std::to_string(ref.job->spec.policy.maxAttempts)});
    if (task.failedRuns.size() >= ref.job->spec.policy.maxAttempts) {
        finalize(*ref.job, JobState::Failed, nowUnixMs);
    } else {
        recordProgress(*ref.job);
    }
}

void CellScheduler::dropVanished(CellWorker &worker, TimePoint sentAt)
{
    const std::vector<TaskRef> tasks = worker.tasks;
    for (const TaskRef &it : tasks) {
        const CellTask &task = it.task();
        if (task.seenIn == worker.reports) {
            continue;
        }
        const bool isAnswered =
            task.state == TaskState::Running || task.state == TaskState::Stopping;
        const bool hasVanished = isAnswered && task.startedAt < sentAt;
        const bool hasExpired =
            task.state == TaskState::Unsettled && worker.clockMs > task.startDeadlineMs;
        if (hasVanished || hasExpired) {
            TaskLedger::release(it);
            m_state.wantsPlacement = true;
        }
    }
}

void CellScheduler::relieveServing(CellWorker &worker, TimePoint now)
{
    m_interference.observe(worker, now);
    for (const InterferenceGuard::Measure &it : m_interference.guard(worker, now)) {
        m_state.note(it.relief == InterferenceGuard::Relief::Stop ? "filler moved" : "filler paced",
                     it.task, "percent=" + std::to_string(it.percent));
        if (it.relief == InterferenceGuard::Relief::Stop) {
            sendStop(it.task);
            continue;
        }
        CellTask &task = it.task.task();
        task.pace = it.percent;
        task.pacedAt = now;
        task.progressAt = now;
        m_state.actions.emplace_back(
            PaceTask{worker.info.id, it.task.name(), task.run, it.percent});
    }
}

void CellScheduler::acknowledgeEnds(CellWorker &worker, TimePoint now)
{
    if (worker.handledEnd == worker.durableEnd) {
        worker.nextRenewal = now + RenewalGap;
        return;
    }
    worker.nextRenewal = now + RecordingGap;
    if (worker.recordingEnd == worker.handledEnd) {
        return;
    }
    worker.recordingEnd = worker.handledEnd;
    m_state.journal.whenDurable(
        [this, id = worker.info.id, born = worker.bornUnixMs, end = worker.handledEnd] {
            CellWorker *stored = m_state.findWorker(id);
            if (stored && stored->bornUnixMs == born) {
                stored->durableEnd = std::max(stored->durableEnd, end);
                stored->nextRenewal = std::min(stored->nextRenewal, m_now + RenewalGap);
            }
        });
}

} // namespace firefly
