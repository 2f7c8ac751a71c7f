#include "Cell/CellScheduler.h"

#include "Cell/TaskLedger.h"
#include "Core/Assert.h"
#include "Workload/JobRecords.h"

#include <algorithm>
#include <utility>

namespace firefly {
namespace {

/// Shortest interval between placement passes; several submissions and ended runs share one pass.
constexpr Duration MinPlacementInterval = std::chrono::milliseconds(10);
/// Number of workers that lengthens the placement interval by one MinPlacementInterval.
constexpr std::size_t WorkersPerInterval = 100;
/// Interval between records of the interference model, from which the next owner starts.
constexpr Duration ModelRecordInterval = std::chrono::seconds(3);
/// Interval between records of waits, so that tasks displaced together share one append.
constexpr Duration WaitRecordInterval = std::chrono::milliseconds(500);
/// Shorter waits aren't recorded, as most of them end soon.
constexpr Duration MinRecordedWait = std::chrono::milliseconds(500);
/// A recorded wait counts as this long at most, in case a clock was wrong.
constexpr Duration MaxRestoredWait = std::chrono::minutes(10);
constexpr Duration CleanupInterval = std::chrono::seconds(1);
/// Longest time for which a start waits until it is recorded.
constexpr Duration MaxRecordWait = std::chrono::milliseconds(50);
/// A job has no more value for its client this many objectives after its submission.
constexpr int MaxUsefulObjectives = 3;
/// Added to the retention that the platform requires, for requests in flight.
constexpr Duration StatusRetentionMargin = std::chrono::seconds(10);

Duration fromMs(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

/// The begin of the wait that the next owner has to continue; zero for none.  Of tasks that have
/// never run no client misses a run.
TimePoint waitToRecord(const CellJob &job, const CellTask &task)
{
    const bool isMissed = task.guest || task.run > 0 || job.isFromEarlierOwner;
    return isMissed && task.state != TaskState::Done ? task.waitingSince : TimePoint{};
}

} // namespace

CellScheduler::CellScheduler(const CellBounds &bounds, int cell)
    : m_cell(cell)
{
    m_state.bounds = bounds;
}

void CellScheduler::beginOwnership(Epoch epoch, TimePoint now, TimePoint locateUntil)
{
    endOwnership();
    m_now = now;
    m_state.locateUntil = locateUntil;
    m_state.epoch = epoch;
    m_state.isFenced = false;
    m_state.needsNewEpoch = false;
    m_location.begin(now);
    m_interference.restoreModel({}, now);
    m_lastModelRecord = now;
    m_lastTick = now;
    m_judgeSilenceFrom = {};
}

void CellScheduler::endOwnership()
{
    m_state.journal.abandon();
    for (const auto &[id, job] : std::exchange(m_state.jobs, {})) {
        for (const auto &it : job->onRevoked) {
            it(false);
        }
    }
    m_state.workers.clear();
    m_state.referrals.clear();
    m_state.actions.clear();
    m_state.unrecordedStarts.clear();
    m_state.epoch = 0;
    m_placement.reset();
    m_guests.reset();
    m_crashDetector.reset();
    m_admission.clear();
    m_delegatingJobs.clear();
    m_returningJobs.clear();
    m_fenceRaisesOfErased.clear();
}

void CellScheduler::restore(std::string_view key, std::string_view value)
{
    const JobRecords::ParsedKey parsed = JobRecords::parseKey(key);
    switch (parsed.kind) {
    case JobRecords::KeyKind::Worker: {
        WorkerRecord record = JobRecords::decodeWorker(value);
        auto &worker = m_state.workers[parsed.name];
        if (!worker) {
            worker = std::make_unique<CellWorker>();
            worker->info.id = WorkerId(parsed.name);
            const auto colon = record.address.rfind(':');
            worker->info.endpoint.address = record.address.substr(0, colon);
            worker->info.endpoint.port =
                static_cast<std::uint16_t>(std::stoi(record.address.substr(colon + 1)));
        }
        WorkerRecords::restore(*worker, std::move(record));
        return;
    }
    case JobRecords::KeyKind::Spec: {
        std::int64_t submittedAt = 0;
        JobSpec spec = JobRecords::decodeSpec(value, submittedAt);
        auto &job = m_state.jobs[parsed.name];
        if (!job) {
            job = std::make_unique<CellJob>();
        }
        job->id = JobId(parsed.name);
        job->spec = std::move(spec);
        job->submittedAtUnixMs = submittedAt;
        job->isDurable = true;
        job->isFromEarlierOwner = true;
        return;
    }
    case JobRecords::KeyKind::Progress: {
        JobProgress progress = JobRecords::decodeProgress(value);
        m_restoredProgress[parsed.name] = std::move(progress);
        return;
    }
    case JobRecords::KeyKind::Referral: {
        const JobReferral referral = JobRecords::decodeReferral(value);
        m_state.referrals[parsed.name] = {referral.cell, referral.atUnixMs};
        return;
    }
    case JobRecords::KeyKind::Delegation: {
        TaskDelegation delegation = JobRecords::decodeDelegation(value);
        auto &job = m_state.jobs[parsed.name];
        if (!job) {
            job = std::make_unique<CellJob>();
        }
        job->id = JobId(parsed.name);
        job->spec = std::move(delegation.spec);
        job->submittedAtUnixMs = delegation.submittedAtUnixMs;
        job->acceptedTasks = std::move(delegation.tasks);
        job->home = delegation.home;
        job->isGuestPart = true;
        job->isDurable = true;
        job->isFromEarlierOwner = true;
        return;
    }
    case JobRecords::KeyKind::Interference:
        m_interference.restoreModel(value, m_now);
        return;
    case JobRecords::KeyKind::Unknown:
        throw JobRecordError("record with an unknown key");
    }
}

void CellScheduler::finishRestore(TimePoint now, std::int64_t nowUnixMs)
{
    m_now = now;
    m_lastTick = now;
    setClock(now, nowUnixMs);
    m_records.finishRestore(now);
    for (auto &[id, job] : m_state.jobs) {
        const auto ageMs = static_cast<double>(nowUnixMs - job->submittedAtUnixMs);
        setImages(*job);
        setObjective(*job, now - fromMs(ageMs));
        const auto it = m_restoredProgress.find(id);
        if (it != m_restoredProgress.end()) {
            job->state = it->second.state;
            job->finalAtUnixMs = it->second.finalAtUnixMs;
            job->isStarted = it->second.isStarted;
        }
        job->durableState = job->state;
        // An ended job may have runs that are yet to be stopped.
        addDueOccurrences(*job, isFinal(job->state) ? job->finalAtUnixMs : nowUnixMs);
        if (job->isGuestPart) {
            restoreGuestPart(*job);
        }
        if (it != m_restoredProgress.end()) {
            restoreTasks(*job, it->second);
        }
        // The earlier owner may have recorded the last end without the job's final state, see
        // noteEarlierEnd().
        const bool isComplete = !job->isGuestPart
                                && job->occurrences.size() == job->occurrenceCount()
                                && std::ranges::all_of(job->occurrences, &Occurrence::isDone);
        if (isComplete && !isFinal(job->state)) {
            finalize(*job, JobState::Completed, nowUnixMs);
        }
    }
    m_restoredProgress.clear();
    m_state.wantsPlacement = true;
}

void CellScheduler::restoreTasks(CellJob &job, const JobProgress &progress)
{
    for (const TaskProgress &it : progress.tasks) {
        const auto ref = findBegunTask({job.id, it.occurrence, it.step, it.index});
        if (!ref) {
            continue;
        }
        CellTask &task = ref->task();
        task.failedRuns = it.failedRuns;
        task.run = it.failedRuns.empty() ? 0 : std::ranges::max(it.failedRuns);
        if (!job.isGuestPart) {
            task.firstRun = it.firstRun;
            task.run = std::max(task.run, it.firstRun);
        }
        task.checkpoint = it.checkpoint;
        task.crashes = it.crashes;
        if (it.isDone && task.state != TaskState::Done) {
            TaskLedger::finish(*ref);
        }
        if (it.guest) {
            TaskLedger::moveElsewhere(*ref);
            task.guest = it.guest;
            task.run = it.run;
            task.isDelegationDurable = true;
            job.delegations[*it.guest];
        }
        task.waitingSince = beginOfWait(it.waitingSinceUnixMs);
        task.recordedWait = task.waitingSince;
    }
    for (const int guest : progress.guests) {
        job.delegations[guest];
    }
    if (!job.delegations.empty()) {
        m_delegatingJobs.insert(job.id.value());
    }
}

void CellScheduler::submit(const JobId &id, JobSpec spec, TimePoint now, std::int64_t nowUnixMs,
                           const OnVerdict &onVerdict)
{
    m_now = now;
    if (CellJob *known = m_state.findJob(id)) {
        if (known->isGuestPart) {
            onVerdict(Verdict::Unknown);
            return;
        }
        if (known->isDurable) {
            onVerdict(Verdict::Accepted);
            return;
        }
        const bool isWaiting = m_state.journal.addCallbacks(
            JobRecords::specKey(id), [onVerdict] { onVerdict(Verdict::Accepted); },
            verdictOnLoss(onVerdict));
        FIREFLY_ASSERT(isWaiting, "a job that isn't durable must be in the journal");
        return;
    }
    auto created = std::make_unique<CellJob>();
    CellJob &job = *created;
    job.id = id;
    job.spec = std::move(spec);
    job.submittedAtUnixMs = nowUnixMs;
    setImages(job);
    setObjective(job, now);
    m_state.jobs.emplace(id.value(), std::move(created));
    addDueOccurrences(job, nowUnixMs);
    m_state.journal.putRefusable(
        {JobRecords::specKey(id), JobRecords::encodeSpec(job.spec, nowUnixMs)},
        [this, id, onVerdict] {
            if (CellJob *stored = m_state.findJob(id)) {
                stored->isDurable = true;
                m_state.wantsPlacement = true;
            }
            onVerdict(Verdict::Accepted);
        },
        [this, id, onLost = verdictOnLoss(onVerdict)](bool isDefinitelyLost) {
            const CellJob *lost = m_state.findJob(id);
            if (lost && !lost->isDurable) {
                m_state.jobs.erase(id.value());
            }
            onLost(isDefinitelyLost);
        });
}

CellJournal::OnLost CellScheduler::verdictOnLoss(OnVerdict onVerdict)
{
    return [onVerdict = std::move(onVerdict)](bool isDefinitelyLost) {
        onVerdict(isDefinitelyLost ? Verdict::NotAccepted : Verdict::Unknown);
    };
}

void CellScheduler::setObjective(CellJob &job, TimePoint submittedAt)
{
    const QueuePolicy &policy = job.spec.policy;
    const auto chain = std::chrono::duration<double, std::micro>(CellJob::criticalPathOf(job.spec));
    const Duration objective = std::chrono::duration_cast<Duration>(policy.stretch * chain)
                               + std::chrono::milliseconds(policy.targetLatencyMs);
    job.objective = submittedAt + objective;
    job.deprioritizedAt = submittedAt + MaxUsefulObjectives * objective;
}

void CellScheduler::setImages(CellJob &job)
{
    job.images.clear();
    for (const StepSpec &it : job.spec.steps) {
        job.images.push_back(m_interference.indexOf(it.image));
    }
}

bool CellScheduler::cancel(const JobId &id, TimePoint now, std::int64_t nowUnixMs,
                           const OnVerdict &onVerdict)
{
    m_now = now;
    CellJob *job = m_state.findOwnJob(id);
    if (!job) {
        return false;
    }
    if (!isFinal(job->state)) {
        finalize(*job, JobState::Canceled, nowUnixMs);
    }
    // Until a guest knows of the cancel, it may start a task of the job again.
    m_state.journal.whenDurable(
        [this, id, onVerdict] {
            CellJob *stored = m_state.findOwnJob(id);
            if (!stored || stored->delegations.empty()) {
                onVerdict(Verdict::Accepted);
                return;
            }
            stored->onRevoked.emplace_back([onVerdict](bool isRevoked) {
                onVerdict(isRevoked ? Verdict::Accepted : Verdict::Unknown);
            });
        },
        [onVerdict](bool) { onVerdict(Verdict::Unknown); });
    return true;
}

bool CellScheduler::hasJob(const JobId &id) const
{
    const auto it = m_state.jobs.find(id.value());
    return it != m_state.jobs.end() && !it->second->isGuestPart;
}

std::optional<JobState> CellScheduler::stateOf(const JobId &id) const
{
    const auto it = m_state.jobs.find(id.value());
    if (it == m_state.jobs.end() || it->second->isGuestPart) {
        return std::nullopt;
    }
    const CellJob &job = *it->second;
    if (isFinal(job.state) && !isFinal(job.durableState)) {
        // The latest record may be older than the first start.
        return job.isStarted ? JobState::Running : JobState::Queued;
    }
    return job.state;
}

std::map<std::string, int> CellScheduler::pendingByQueue() const
{
    std::map<std::string, int> counts;
    for (const auto &[id, job] : m_state.jobs) {
        if (job->isStarted || job->isGuestPart || job->isScheduled() || !job->isDurable
            || isFinal(job->state)) {
            continue;
        }
        ++counts[job->spec.policy.queue.value()];
    }
    return counts;
}

void CellScheduler::recordProgress(CellJob &job)
{
    JobProgress progress;
    progress.state = job.state;
    progress.finalAtUnixMs = job.finalAtUnixMs;
    progress.isStarted = job.isStarted;
    progress.tasks = progressOf(job);
    for (const auto &[guest, status] : job.delegations) {
        progress.guests.push_back(guest);
    }
    if (isFinal(job.state)) {
        // The guests have yet to be told.
        std::erase_if(progress.tasks, [](const TaskProgress &it) { return !it.guest; });
    }
    for (Occurrence &it : job.occurrences) {
        for (StepRun &step : it.steps) {
            for (CellTask &task : step.tasks) {
                task.recordedWait = waitToRecord(job, task);
            }
        }
    }
    const JobState state = job.state;
    m_state.journal.put({JobRecords::progressKey(job.id), JobRecords::encodeProgress(progress)},
                        [this, id = job.id, state] {
                            if (CellJob *stored = m_state.findJob(id)) {
                                stored->durableState = state;
                            }
                        });
}

void CellScheduler::recordWaits(TimePoint now)
{
    if (now - m_lastWaitRecord < WaitRecordInterval) {
        return;
    }
    m_lastWaitRecord = now;
    const auto isDue = [&](const CellJob &job, const CellTask &task) {
        const TimePoint wait = waitToRecord(job, task);
        return wait != task.recordedWait && (wait == TimePoint{} || now - wait >= MinRecordedWait);
    };
    for (const auto &entry : m_state.jobs) {
        CellJob &job = *entry.second;
        if (isFinal(job.state) || !job.isLongRunning()) {
            continue;
        }
        const bool hasDue = std::ranges::any_of(job.occurrences, [&](const Occurrence &it) {
            return std::ranges::any_of(it.steps, [&](const StepRun &step) {
                return std::ranges::any_of(step.tasks,
                                           [&](const CellTask &task) { return isDue(job, task); });
            });
        });
        if (hasDue) {
            recordProgress(job);
        }
    }
}

void CellScheduler::setClock(TimePoint now, std::int64_t nowUnixMs)
{
    m_unixMsAtZero =
        nowUnixMs
        - std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
}

std::int64_t CellScheduler::toUnixMs(TimePoint time) const
{
    return m_unixMsAtZero
           + std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

TimePoint CellScheduler::beginOfWait(std::int64_t unixMs) const
{
    if (unixMs == 0) {
        return {};
    }
    const auto longestMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(MaxRestoredWait).count();
    const std::int64_t waitedMs = std::clamp<std::int64_t>(toUnixMs(m_now) - unixMs, 0, longestMs);
    return m_now - std::chrono::milliseconds(waitedMs);
}

std::vector<TaskProgress> CellScheduler::progressOf(const CellJob &job) const
{
    std::vector<TaskProgress> rows;
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
        for (std::uint32_t s = 0; s < job.occurrences[k].steps.size(); ++s) {
            const StepRun &step = job.occurrences[k].steps[s];
            for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
                const CellTask &task = step.tasks[i];
                const bool isDone = task.state == TaskState::Done || task.hasEarlierEnd;
                const TimePoint wait = waitToRecord(job, task);
                const bool isWaiting = wait != TimePoint{};
                const bool isReturned = !job.isGuestPart && task.firstRun > 0;
                if (isDone || !task.failedRuns.empty() || !task.checkpoint.empty() || task.guest
                    || !task.crashes.isEmpty() || isWaiting || isReturned) {
                    rows.push_back(
                        {k, s, i, isDone, task.failedRuns, isDone ? std::string() : task.checkpoint,
                         task.guest, task.guest ? task.run : 0,
                         isDone ? CrashHistory() : task.crashes, isWaiting ? toUnixMs(wait) : 0,
                         isReturned ? task.firstRun : 0, false});
                }
            }
        }
    }
    return rows;
}

void CellScheduler::finalize(CellJob &job, JobState state, std::int64_t nowUnixMs)
{
    job.state = state;
    job.finalAtUnixMs = nowUnixMs;
    const std::string age = std::to_string(nowUnixMs - job.submittedAtUnixMs);
    const char *message = "job completed";
    if (state != JobState::Completed) {
        message = state == JobState::Failed ? "job failed" : "job canceled";
    }
    m_state.actions.emplace_back(LogDecision{message, {job.id, 0, 0, 0}, {}, 0, "age_ms=" + age});
    recordProgress(job);
    m_state.journal.whenDurable([this, id = job.id] {
        if (CellJob *stored = m_state.findJob(id)) {
            stopTasks(*stored);
        }
    });
}

void CellScheduler::stopTasks(CellJob &job)
{
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
        for (std::uint32_t s = 0; s < job.occurrences[k].steps.size(); ++s) {
            for (std::uint32_t i = 0; i < job.spec.steps[s].taskCount; ++i) {
                const TaskRef ref{&job, k, s, i};
                if (isPlaced(ref.task().state)) {
                    sendStop(ref);
                }
            }
        }
    }
}

void CellScheduler::sendStop(const TaskRef &ref)
{
    TaskLedger::orderStop(m_state, ref, m_now);
}

void CellScheduler::sendStop(CellWorker &worker, const TaskName &name, std::uint32_t run)
{
    m_state.actions.emplace_back(StopTask{worker.info.id, name, run, m_state.fenceOf(worker)});
}

void CellScheduler::addDueOccurrences(CellJob &job, std::int64_t nowUnixMs)
{
    auto count = static_cast<std::uint32_t>(job.occurrences.size());
    while (count < job.occurrenceCount()
           && (!job.isScheduled() || job.startAtUnixMs(count) <= nowUnixMs)) {
        ++count;
    }
    addOccurrences(job, count);
}

void CellScheduler::addOccurrences(CellJob &job, std::uint32_t count)
{
    const TaskState state =
        job.isFromEarlierOwner && m_state.isLocating ? TaskState::Unlocated : TaskState::Pending;
    while (job.occurrences.size() < count) {
        const auto k = static_cast<std::int64_t>(job.occurrences.size());
        TaskLedger::addOccurrence(job, job.isScheduled() ? job.startAtUnixMs(k) : 0, state);
        m_state.wantsPlacement = true;
    }
}

std::optional<TaskRef> CellScheduler::findBegunTask(const TaskName &name)
{
    CellJob *job = m_state.findJob(name.job);
    if (job && name.occurrence < job->occurrenceCount()) {
        addOccurrences(*job, name.occurrence + 1);
    }
    return m_state.findTask(name);
}

void CellScheduler::tick(TimePoint now, std::int64_t nowUnixMs)
{
    m_now = now;
    setClock(now, nowUnixMs);
    detectPause(now);
    expireLeases(now, nowUnixMs);
    m_location.update(now, canJudgeSilence(now));
    if (now - m_lastCleanup >= CleanupInterval) {
        m_lastCleanup = now;
        dropOldJobs(nowUnixMs);
        dropOldReferrals(nowUnixMs);
    }
    if (now - m_lastModelRecord >= ModelRecordInterval) {
        m_lastModelRecord = now;
        m_state.journal.put({JobRecords::interferenceKey(), m_interference.encodeModel(now)});
    }
    m_state.wantsPlacement = m_state.wantsPlacement || m_placement.isIdleTurnDue(now);
    const bool mayPlace = mayStartTasks(now);
    if (m_state.wantsPlacement && mayPlace && now - m_lastPlacement >= placementInterval()) {
        m_state.wantsPlacement = false;
        m_lastPlacement = now;
        m_placement.run(now, nowUnixMs);
        updateWaiting(now);
    } else if (!m_state.wantsPlacement) {
        updateWaiting(now);
    } else if (mayPlace) {
        m_placement.refill(now, nowUnixMs);
    }
    recordNewStarts(now);
    recordWaits(now);
    sendDelegations(now);
    sendReturns(now);
    renewLeases(now);
}

bool CellScheduler::mayStartTasks(TimePoint now) const
{
    return !m_state.areStartsSuspended && now < std::min(m_state.ordersUntil, m_state.startsUntil);
}

void CellScheduler::recordNewStarts(TimePoint now)
{
    for (auto &[id, worker] : m_state.workers) {
        if (std::exchange(worker->hasNewStarts, false)) {
            m_records.update(*worker, now);
        }
    }
    const bool hasNew =
        !m_state.unrecordedStarts.empty() && m_state.unrecordedStarts.back().batch == 0;
    if (hasNew) {
        ++m_startBatches;
        for (CellState::UnrecordedStart &it : m_state.unrecordedStarts) {
            it.batch = it.batch == 0 ? m_startBatches : it.batch;
        }
        m_state.journal.whenDurable([this, last = m_startBatches] {
            sendStarts([last](const CellState::UnrecordedStart &it) {
                return it.batch != 0 && it.batch <= last;
            });
        });
    }
    const bool isStoring = m_state.journal.isStoring();
    sendStarts([this, now, isStoring](const CellState::UnrecordedStart &it) {
        // The stored record ends the open start of its task earlier than this one.
        const auto ref = m_state.findTask(it.order.task);
        const bool needsRecord = ref && ref->hasOpenStart(now);
        return !needsRecord && (!isStoring || now - it.since >= MaxRecordWait);
    });
}

template <typename IsDue>
void CellScheduler::sendStarts(const IsDue &isDue)
{
    std::vector<CellState::UnrecordedStart> waiting;
    for (CellState::UnrecordedStart &it : std::exchange(m_state.unrecordedStarts, {})) {
        if (!isDue(it)) {
            waiting.push_back(std::move(it));
            continue;
        }
        const auto ref = m_state.findTask(it.order.task);
        const bool isCurrent = ref && ref->task().state == TaskState::Starting
                               && ref->task().run == it.order.run
                               && ref->task().worker->info.id == it.order.worker;
        if (isCurrent && ref->task().hasEarlierEnd) {
            releaseTask(*ref);
        } else if (isCurrent) {
            ref->task().startSentAt = m_now;
            m_state.actions.emplace_back(std::move(it.order));
        }
    }
    m_state.unrecordedStarts = std::move(waiting);
}

Duration CellScheduler::placementInterval() const
{
    // A pass visits every worker, so that larger cells run fewer passes.
    return MinPlacementInterval * static_cast<int>(1 + m_state.workers.size() / WorkersPerInterval);
}

void CellScheduler::dropOldJobs(std::int64_t nowUnixMs)
{
    const auto keptMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                            m_state.bounds.statusRetention + StatusRetentionMargin)
                            .count();
    for (auto it = m_state.jobs.begin(); it != m_state.jobs.end();) {
        CellJob &job = *it->second;
        addDueOccurrences(job, isFinal(job.state) ? 0 : nowUnixMs);
        const bool isOld = isFinal(job.durableState) && job.placedCount == 0
                           && job.delegations.empty() && nowUnixMs - job.finalAtUnixMs > keptMs;
        if (!isOld) {
            ++it;
            continue;
        }
        m_state.journal.put(
            {job.isGuestPart ? JobRecords::delegationKey(job.id) : JobRecords::specKey(job.id),
             std::nullopt});
        m_state.journal.put({JobRecords::progressKey(job.id), std::nullopt});
        it = m_state.jobs.erase(it);
    }
    m_state.wantsPlacement = true;
}

std::vector<CellAction> CellScheduler::takeActions()
{
    return std::exchange(m_state.actions, {});
}

} // namespace firefly
