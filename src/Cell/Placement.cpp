#include "Cell/Placement.h"

#include "Cell/CrashDetector.h"
#include "Cell/PlacementRules.h"
#include "Cell/TaskLedger.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace firefly {

using PlacementRules::Obstacle;

namespace {

/// Time from sending a start to its deadline, after which it can't take effect any more.
constexpr Duration StartValidity = std::chrono::milliseconds(1500);
/// Score of the rack that holds the data; other scores mostly lie between 0 and 1.
constexpr double DataRackBonus = 10.0;
/// Score lost at the address of the latest crash under the task.
constexpr double CrashAddressPenalty = 100.0;
/// Score lost on a worker where the task has failed; exceeds all differences but those of racks.
constexpr double FailedWorkerPenalty = 4.0;
/// Score lost on a rack that other tasks wait for; exceeds all differences by free room.
constexpr double ContestedRackPenalty = 2.0;
/// Score of a serving task on a worker with serving tasks of its own image, and of another image.
constexpr double SameImageBonus = 1.0;
constexpr double OtherImagePenalty = -2.0;
/// Score lost per serving task that is expected to exceed its target.
constexpr double ViolationWeight = 4.0;

/// Time without a worker after which the log reports a long-running task, and the interval of the
/// further reports.
constexpr Duration FirstWaitReport = std::chrono::milliseconds(1000);
constexpr Duration WaitReportInterval = std::chrono::milliseconds(3000);

/// Time that the platform tolerates without a run of an unfinished batch job beside idle capacity,
/// and the interval of the log lines about jobs that wait for longer.
constexpr Duration MaxIdleTime = std::chrono::milliseconds(3000);
/// Time without a run after which a batch job may start a task before all other batch jobs, and the
/// starts of other batch tasks between two such turns.
constexpr Duration IdleTurnDelay = MaxIdleTime / 2;
constexpr std::uint32_t MinStartsBetweenIdleTurns = 1;
/// Interval of the attempts to start a filler of a job that has been idle for longer: while nothing
/// else calls for a pass, and at least.
constexpr Duration IdleTurnInterval = std::chrono::milliseconds(200);
constexpr Duration MinIdleTurnInterval = std::chrono::milliseconds(50);
/// Share of the processors of a service in a cell, reserved by placed tasks, above which idle jobs
/// of fillers wait for their turn.  The platform tolerates idle jobs from a half on, over all
/// cells.
constexpr double MaxReservedShare = 0.6;

/// Time that the platform tolerates without a run of a task that has run before.  A displaced task
/// that has waited longer may fit no worker at all and holds nothing back.
constexpr Duration MaxFirstStartDelay = std::chrono::milliseconds(6000);

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// True for a batch job that has no more value for its client, yet has to finish.
bool isOverdue(const CellJob &job, TimePoint now)
{
    return !job.isLongRunning() && now > job.deprioritizedAt;
}

/// Order of jobs of one priority: -1 for a long-running job, as its users notice a missing task at
/// once; 0 for a job that can still meet its objective, 1 for one that will be late, 2 for one that
/// has no more value for its client.
int latenessRank(const CellJob &job, TimePoint now)
{
    if (job.isLongRunning()) {
        return -1;
    }
    if (isOverdue(job, now)) {
        return 2;
    }
    return now + job.remainingCriticalPath() > job.objective ? 1 : 0;
}

/// Calls \a visit(job, occurrence, step) for the due and ready steps of \a jobs with pending tasks.
template <typename Visit>
void forEachStartableStep(std::span<CellJob *const> jobs, std::int64_t nowUnixMs,
                          const Visit &visit)
{
    for (CellJob *job : jobs) {
        for (std::uint32_t k = 0; k < job->occurrences.size(); ++k) {
            if (job->occurrences[k].dueUnixMs > nowUnixMs) {
                continue;
            }
            for (std::uint32_t s = 0; s < job->spec.steps.size(); ++s) {
                if (job->occurrences[k].steps[s].pendingCount > 0
                    && TaskLedger::isReady(*job, k, s)) {
                    visit(*job, k, s);
                }
            }
        }
    }
}

/// Share of the processors of the workers of \a service that placed tasks reserve; O(workers).
double reservedShare(const CellState &state, std::string_view service)
{
    std::int64_t capacity = 0;
    std::int64_t reserved = 0;
    for (const auto &[id, worker] : state.workers) {
        if (worker->isRegistered && worker->info.service == service) {
            capacity += worker->info.capacity.milliCpu;
            reserved += worker->reserved.milliCpu;
        }
    }
    return capacity > 0 ? static_cast<double>(reserved) / static_cast<double>(capacity) : 1.0;
}

/// True for a long-running task that its users have had before.
bool isDisplaced(const TaskRef &ref)
{
    return ref.spec().isLongRunning && ref.hasRunBefore();
}

/// True if \a ref is a suspect that the next owner may know nothing of, as it reads the stored
/// crashes only.
bool isUnstoredSuspect(const TaskRef &ref)
{
    return ref.job->unstoredCrashRecords > 0 && CrashDetector::isSuspect(ref.task());
}

/// True if \a ref is pending and may start now.
bool isStartable(const TaskRef &ref, TimePoint now)
{
    const CellTask &task = ref.task();
    return task.state == TaskState::Pending && task.notBefore <= now && !isUnstoredSuspect(ref);
}

/// True if workers that would take other tasks of its step may not take \a ref.
bool hasOwnObstacles(const TaskRef &ref, TimePoint now)
{
    const CellTask &task = ref.task();
    return CrashDetector::isSuspect(task) || task.failures.isPaused(now) || ref.hasOpenStart(now);
}

void beginWait(CellTask &task, TimePoint now)
{
    task.waitingSince = now;
    task.nextWaitReport = now + FirstWaitReport;
}

/// Score that groups serving tasks by image, so that a filler that slows one image still finds
/// workers without that image.
double imageAffinity(const CellWorker &worker, ImageIndex image)
{
    double affinity = 0.0;
    for (const TaskRef &it : worker.tasks) {
        if (it.spec().targetMs > 0) {
            affinity = it.image() == image ? std::max(affinity, SameImageBonus) : OtherImagePenalty;
        }
        if (affinity < 0.0) {
            break;
        }
    }
    return affinity;
}

} // namespace

void Placement::run(TimePoint now, std::int64_t nowUnixMs)
{
    m_unplaceable.clear();
    m_placeWaits.beginPass(nowUnixMs);
    m_reservations.removeObsolete(now);
    m_displaced.clear();
    m_waiting.clear();
    startReserved(now);
    startBound(now);
    std::vector<CellJob *> jobs = pendingJobs();
    findDisplaced(jobs, now, nowUnixMs);
    reserveForEvacuated(now);
    sortJobs(jobs, now);
    const CellJob *resumed = nullptr;
    const CellJob *advanced = nullptr;
    bool isIdleTurnOver = m_startsSinceIdleTurn < MinStartsBetweenIdleTurns;
    auto nextDisplaced = m_displaced.cbegin();
    forEachStartableStep(
        jobs, nowUnixMs, [&](CellJob &job, std::uint32_t occurrence, std::uint32_t step) {
            const int priority = job.spec.policy.priority;
            for (; nextDisplaced != m_displaced.cend()
                   && nextDisplaced->job->spec.policy.priority <= priority;
                 ++nextDisplaced) {
                startDisplaced(*nextDisplaced, now);
            }
            if (!job.isLongRunning() && !std::exchange(isIdleTurnOver, true)) {
                advanced = startLongestIdle(jobs, priority, now, nowUnixMs);
            }
            if (&job == resumed || &job == advanced) {
                return;
            }
            const bool isIdle = isOverdue(job, now) && job.placedCount == 0;
            if (job.spec.steps[step].isGang) {
                startGang(job, occurrence, step, now);
            } else {
                startStep(job, occurrence, step, isIdle ? 1 : job.spec.steps[step].taskCount, now);
            }
            if (isIdle && job.placedCount > 0) {
                // The next pass starts its other tasks in their turn.
                resumed = &job;
                m_state.wantsPlacement = true;
            }
        });
    reportIdleJobs(jobs, now, nowUnixMs);
    startIdleFillers(jobs, now, nowUnixMs);
    if (!m_waiting.empty()) {
        m_defragmenter.makeRoom(m_waiting, now);
    }
    for (const auto &[id, worker] : m_state.workers) {
        worker->hasFreedCapacity = false;
    }
}

void Placement::refill(TimePoint now, std::int64_t nowUnixMs)
{
    std::vector<CellWorker *> freed;
    for (const auto &[id, worker] : m_state.workers) {
        if (std::exchange(worker->hasFreedCapacity, false) && worker->isUsable()) {
            freed.push_back(worker.get());
        }
    }
    if (freed.empty()) {
        return;
    }
    for (const TaskRef &ref : m_reservations.pendingTasks()) {
        if (isStartable(ref, now) && startOnOneOf(freed, ref, now)) {
            m_reservations.remove(ref);
        }
    }
    const std::vector<CellJob *> jobs = pendingJobs();
    if (jobs.empty()) {
        return;
    }
    const int firstPriority = std::ranges::min(jobs, {}, [](const CellJob *it) {
                                  return it->spec.policy.priority;
                              })->spec.policy.priority;
    m_displaced.clear();
    findDisplaced(jobs, now, nowUnixMs);
    for (const TaskRef &ref : m_displaced) {
        if (ref.job->spec.policy.priority > firstPriority) {
            return;
        }
        if (!ref.spec().isGang) {
            startOnOneOf(freed, ref, now);
        }
    }
}

bool Placement::startOnOneOf(std::span<CellWorker *const> workers, const TaskRef &ref,
                             TimePoint now)
{
    CellWorker *best = nullptr;
    double bestScore = -std::numeric_limits<double>::infinity();
    for (CellWorker *worker : workers) {
        if (PlacementRules::findObstacle(*worker, m_reservations.availableTo(ref, *worker),
                                         m_reservations.countOfStep(ref, *worker), ref, now)) {
            continue;
        }
        const auto value = score(*worker, ref, now);
        if (value && *value > bestScore) {
            bestScore = *value;
            best = worker;
        }
    }
    if (best) {
        start(ref, *best, TaskLedger::nextRun(ref.task(), m_state.epoch), now);
    }
    return best != nullptr;
}

void Placement::startBound(TimePoint now)
{
    for (const auto &[id, worker] : m_state.workers) {
        for (const CellWorker::OpenStart &it : worker->openStarts) {
            if (const auto ref = m_state.findTask(it.task)) {
                restart(*ref, *worker, now);
            }
        }
    }
}

bool Placement::restart(const TaskRef &ref, CellWorker &worker, TimePoint now)
{
    CellWorker *const workers[] = {&worker};
    const bool canStart = isStartable(ref, now) && ref.job->isDurable && !isFinal(ref.job->state)
                          && !ref.spec().isGang;
    return canStart && startOnOneOf(workers, ref, now);
}

const CellJob *Placement::startLongestIdle(std::span<CellJob *const> jobs, int priority,
                                           TimePoint now, std::int64_t nowUnixMs)
{
    std::vector<CellJob *> idle;
    std::ranges::copy_if(jobs, std::back_inserter(idle), [now](const CellJob *it) {
        return !it->isLongRunning() && it->placedCount == 0 && it->idleSince != TimePoint{}
               && now - it->idleSince >= IdleTurnDelay;
    });
    // Jobs that have been idle for equally long keep the order of this pass.
    std::ranges::stable_sort(idle, {}, &CellJob::idleSince);
    // Displaced tasks of the priorities that this pass hasn't come to.
    const auto wouldOvertake = [&](const CellJob &job) {
        return std::ranges::any_of(m_displaced, [&](const TaskRef &it) {
            const int other = it.job->spec.policy.priority;
            return it.task().state == TaskState::Pending && other > priority
                   && other <= job.spec.policy.priority;
        });
    };
    const CellJob *started = nullptr;
    forEachStartableStep(idle, nowUnixMs,
                         [&](CellJob &job, std::uint32_t occurrence, std::uint32_t step) {
                             if (started || wouldOvertake(job)) {
                                 return;
                             }
                             if (job.spec.steps[step].isGang) {
                                 startGang(job, occurrence, step, now);
                             } else {
                                 startStep(job, occurrence, step, 1, now);
                             }
                             if (job.placedCount > 0) {
                                 started = &job;
                                 m_startsSinceIdleTurn = 0;
                                 // The next pass starts its other tasks in their turn.
                                 m_state.wantsPlacement = true;
                             }
                         });
    return started;
}

void Placement::reportIdleJobs(std::span<CellJob *const> jobs, TimePoint now,
                               std::int64_t nowUnixMs)
{
    struct Idle
    {
        TaskRef task;
        std::size_t position = 0; ///< In the order of this pass.
    };
    std::optional<Idle> longest;
    std::size_t idleCount = 0;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        std::optional<TaskRef> startable;
        forEachStartableStep(jobs.subspan(i, 1), nowUnixMs,
                             [&startable](CellJob &job, std::uint32_t k, std::uint32_t s) {
                                 startable = startable.value_or(TaskRef{&job, k, s, 0});
                             });
        CellJob &job = *jobs[i];
        if (!startable || job.isLongRunning() || job.placedCount > 0) {
            job.idleSince = {};
            continue;
        }
        if (job.idleSince == TimePoint{}) {
            job.idleSince = now;
        }
        ++idleCount;
        if (!longest || job.idleSince < longest->task.job->idleSince) {
            longest = Idle{*startable, i};
        }
    }
    if (!longest || now < m_nextIdleReport || now - longest->task.job->idleSince < MaxIdleTime) {
        return;
    }
    m_nextIdleReport = now + MaxIdleTime;
    const CellJob &job = *longest->task.job;
    m_state.logDecision(
        "batch job idle", longest->task,
        "idle_ms=" + std::to_string(toMs(now - job.idleSince)) + " idle_jobs="
            + std::to_string(idleCount) + " position=" + std::to_string(longest->position) + " of "
            + std::to_string(jobs.size()) + " lateness=" + std::to_string(latenessRank(job, now))
            + " restored=" + std::to_string(job.isFromEarlierOwner ? 1 : 0) + " "
            + describeObstacles(longest->task, now));
}

void Placement::startIdleFillers(std::span<CellJob *const> jobs, TimePoint now,
                                 std::int64_t nowUnixMs)
{
    if (now - m_lastIdleTurn < MinIdleTurnInterval) {
        return;
    }
    m_lastIdleTurn = now;
    std::vector<TaskRef> fillers = findIdleFillers(jobs, now, nowUnixMs);
    std::vector<TaskRef> singles;
    std::ranges::copy_if(fillers, std::back_inserter(singles),
                         [](const TaskRef &it) { return !it.spec().isGang; });
    if (const auto trial = m_fillerTrials.choose(singles, now)) {
        m_state.logDecision("filler on trial", trial->filler,
                            "on=" + trial->worker->info.id.value() + " expected_violations="
                                + std::to_string(trial->expectedViolations));
        m_fillerTrials.onStart(*trial, now);
        start(trial->filler, *trial->worker,
              TaskLedger::nextRun(trial->filler.task(), m_state.epoch), now);
        std::erase(fillers, trial->filler);
    }
    m_fillerSharing.update(fillers, now);
}

std::vector<TaskRef> Placement::findIdleFillers(std::span<CellJob *const> jobs, TimePoint now,
                                                std::int64_t nowUnixMs)
{
    m_nextIdleTurn.reset();
    std::vector<TaskRef> fillers;
    std::map<std::string, bool> hasIdleCapacity; // By service.
    forEachStartableStep(jobs, nowUnixMs, [&](CellJob &job, std::uint32_t k, std::uint32_t s) {
        const StepSpec &spec = job.spec.steps[s];
        if (!spec.isFiller || job.placedCount > 0 || job.idleSince == TimePoint{}) {
            return;
        }
        const std::string &service = job.spec.policy.service;
        if (!hasIdleCapacity.contains(service)) {
            hasIdleCapacity[service] = reservedShare(m_state, service) < MaxReservedShare;
        }
        if (!hasIdleCapacity[service]) {
            return;
        }
        const TimePoint due = std::max(job.idleSince + IdleTurnDelay, now + IdleTurnInterval);
        m_nextIdleTurn = std::min(m_nextIdleTurn.value_or(due), due);
        const StepRun &run = job.occurrences[k].steps[s];
        std::uint32_t i = 0;
        while (i < run.tasks.size() && !isStartable({&job, k, s, i}, now)) {
            ++i;
        }
        const bool isListed = !fillers.empty() && fillers.back().job == &job;
        if (now - job.idleSince < IdleTurnDelay || isListed || i == run.tasks.size()
            || (spec.isGang && run.pendingCount < run.tasks.size())) {
            return;
        }
        fillers.push_back({&job, k, s, i});
    });
    std::ranges::stable_sort(fillers, {}, [](const TaskRef &it) { return it.job->idleSince; });
    return fillers;
}

void Placement::startReserved(TimePoint now)
{
    for (const TaskRef &ref : m_reservations.pendingTasks()) {
        if (!isStartable(ref, now)) {
            continue;
        }
        CellWorker *worker =
            isDisplaced(ref) ? chooseWorkerForDisplaced(ref, now) : chooseWorker(ref, now);
        if (worker) {
            m_reservations.remove(ref);
            start(ref, *worker, TaskLedger::nextRun(ref.task(), m_state.epoch), now);
        } else {
            reportWait(ref, now);
        }
    }
}

void Placement::reserveForEvacuated(TimePoint now)
{
    std::set<std::string> contestedServices;
    for (const TaskRef &it : m_displaced) {
        if (now - it.task().waitingSince < MaxFirstStartDelay) {
            contestedServices.insert(it.job->spec.policy.service);
        }
    }
    for (const auto &[id, draining] : m_state.workers) {
        if (!draining->info.isDraining) {
            continue;
        }
        for (const TaskRef &ref : draining->tasks) {
            if (ref.task().state != TaskState::Stopping || !ref.spec().isLongRunning
                || ref.spec().isGang || isFinal(ref.job->state) || m_reservations.contains(ref)) {
                continue;
            }
            if (CellWorker *worker = chooseWorker(ref, now)) {
                m_reservations.add(ref, *worker, CapacityReservations::Kind::RunEnds, now);
                m_state.logDecision("capacity reserved", ref,
                                    "on=" + worker->info.id.value() + " still_running=1");
            } else if (!contestedServices.contains(ref.job->spec.policy.service)) {
                m_waiting.push_back(ref);
            }
        }
    }
}

std::vector<CellJob *> Placement::pendingJobs() const
{
    std::vector<CellJob *> jobs;
    for (const auto &[id, job] : m_state.jobs) {
        if (isFinal(job->state) || !job->isDurable) {
            continue;
        }
        const bool hasPending = std::ranges::any_of(job->occurrences, [](const Occurrence &it) {
            return std::ranges::any_of(it.steps,
                                       [](const StepRun &s) { return s.pendingCount > 0; });
        });
        if (hasPending) {
            jobs.push_back(job.get());
        }
    }
    return jobs;
}

void Placement::sortJobs(std::vector<CellJob *> &jobs, TimePoint now) const
{
    struct Ranked
    {
        std::tuple<int, bool, int, bool, TimePoint> key;
        CellJob *job;
    };
    std::vector<Ranked> ranked;
    ranked.reserve(jobs.size());
    for (CellJob *it : jobs) {
        const bool hasDisplaced =
            std::ranges::find(m_displaced, it, &TaskRef::job) != m_displaced.end();
        // Overdue jobs share the room, so that none of them waits for the others to finish.
        const bool isSharing = isOverdue(*it, now) && it->placedCount > 0;
        ranked.push_back({{it->spec.policy.priority, !hasDisplaced, latenessRank(*it, now),
                           isSharing, it->objective},
                          it});
    }
    std::ranges::sort(ranked, {}, &Ranked::key);
    std::ranges::transform(ranked, jobs.begin(), &Ranked::job);
}

void Placement::findDisplaced(std::span<CellJob *const> jobs, TimePoint now, std::int64_t nowUnixMs)
{
    forEachStartableStep(jobs, nowUnixMs, [&](CellJob &job, std::uint32_t k, std::uint32_t s) {
        if (!job.spec.steps[s].isLongRunning) {
            return;
        }
        for (std::uint32_t i = 0; i < job.spec.steps[s].taskCount; ++i) {
            const TaskRef ref{&job, k, s, i};
            CellTask &task = ref.task();
            if (!isStartable(ref, now) || !ref.hasRunBefore() || m_reservations.contains(ref)) {
                continue;
            }
            if (task.waitingSince == TimePoint{}) {
                beginWait(task, now);
            }
            m_displaced.push_back(ref);
        }
    });
    std::ranges::stable_sort(m_displaced, {}, [](const TaskRef &it) {
        return std::tuple(it.job->spec.policy.priority, it.task().waitingSince);
    });
}

bool Placement::isHeldBack(const TaskRef &ref, TimePoint now) const
{
    if (!ref.spec().isLongRunning || ref.hasRunBefore()) {
        return false;
    }
    return std::ranges::any_of(m_displaced, [&](const TaskRef &it) {
        const CellTask &task = it.task();
        if (task.state != TaskState::Pending) {
            return false;
        }
        const bool isSameStep =
            it.job == ref.job && it.occurrence == ref.occurrence && it.step == ref.step;
        return isSameStep
               || (now - task.waitingSince < MaxFirstStartDelay
                   && it.job->spec.policy.service == ref.job->spec.policy.service);
    });
}

void Placement::startDisplaced(const TaskRef &ref, TimePoint now)
{
    if (ref.spec().isGang || isKnownUnplaceable(ref, now)) {
        return;
    }
    if (CellWorker *worker = chooseWorkerForDisplaced(ref, now)) {
        startOrAwaitRack(ref, *worker, now);
    } else if (!hasOwnObstacles(ref, now)) {
        recordUnplaceable(ref);
    }
}

bool Placement::startOrAwaitRack(const TaskRef &ref, CellWorker &worker, TimePoint now)
{
    const bool isNear = worker.info.rack == ref.spec().dataRack;
    if (!isNear && m_placeWaits.isEligible(ref) && m_placeWaits.shouldWait(ref, now)) {
        return false;
    }
    m_placeWaits.onStart(ref, isNear, now);
    start(ref, worker, TaskLedger::nextRun(ref.task(), m_state.epoch), now);
    return true;
}

void Placement::startStep(CellJob &job, std::uint32_t occurrence, std::uint32_t step,
                          std::uint32_t maxStarts, TimePoint now)
{
    StepRun &run = job.occurrences[occurrence].steps[step];
    bool isWaitReported = false;
    std::uint32_t starts = 0;
    for (std::uint32_t i = 0; i < run.tasks.size() && starts < maxStarts; ++i) {
        const TaskRef ref{&job, occurrence, step, i};
        if (!isStartable(ref, now)) {
            continue;
        }
        if (ref.spec().isLongRunning && m_reservations.contains(ref)) {
            continue;
        }
        if (isHeldBack(ref, now)) {
            if (!std::exchange(isWaitReported, true)) {
                reportWait(ref, now);
            }
            continue;
        }
        if (isKnownUnplaceable(ref, now)) {
            onUnplaceable(ref, now);
            return;
        }
        CellWorker *worker =
            isDisplaced(ref) ? chooseWorkerForDisplaced(ref, now) : chooseWorker(ref, now);
        if (!worker && hasOwnObstacles(ref, now)) {
            onUnplaceable(ref, now);
            continue;
        }
        if (!worker) {
            recordUnplaceable(ref);
            onUnplaceable(ref, now);
            return;
        }
        starts += startOrAwaitRack(ref, *worker, now) ? 1 : 0;
    }
}

void Placement::startGang(CellJob &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now)
{
    StepRun &run = job.occurrences[occurrence].steps[step];
    if (run.pendingCount != run.tasks.size() || isHeldBack({&job, occurrence, step, 0}, now)) {
        return;
    }
    std::uint32_t number = 0;
    std::string checkpoint;
    for (std::uint32_t i = 0; i < run.tasks.size(); ++i) {
        if (isUnstoredSuspect({&job, occurrence, step, i})) {
            return;
        }
        number = std::max(number, TaskLedger::nextRun(run.tasks[i], m_state.epoch));
        checkpoint = std::max(checkpoint, run.tasks[i].checkpoint);
    }
    const TaskRef leader{&job, occurrence, step, 0};
    const bool prefersRack = m_placeWaits.isEligible(leader);
    auto chosen = prefersRack ? chooseRackForGang(leader, number, now)
                              : std::vector<std::pair<TaskRef, CellWorker *>>();
    const bool isOnOneRack = !chosen.empty();
    if (!isOnOneRack) {
        chosen = chooseForGang(leader, number, now);
    }
    if (chosen.empty()
        || (prefersRack && !isOnOneRack && m_placeWaits.shouldGangWait(leader, now))) {
        return;
    }
    m_placeWaits.onStart(leader, isOnOneRack, now);
    for (const auto &[ref, worker] : chosen) {
        ref.task().checkpoint = checkpoint;
        start(ref, *worker, number, now);
    }
}

std::vector<std::pair<TaskRef, CellWorker *>> Placement::chooseForGang(const TaskRef &leader,
                                                                       std::uint32_t run,
                                                                       TimePoint now,
                                                                       const std::string *rack)
{
    // Reserve capacity for all members before any start: a gang must start as a whole or not at
    // all.
    const std::uint32_t count = leader.spec().taskCount;
    std::vector<std::pair<TaskRef, CellWorker *>> chosen;
    std::vector<std::uint32_t> earlierRuns;
    for (std::uint32_t i = 0; i < count; ++i) {
        const TaskRef ref{leader.job, leader.occurrence, leader.step, i};
        CellWorker *worker = chooseWorker(ref, now, nullptr, rack);
        if (!worker) {
            break;
        }
        earlierRuns.push_back(ref.task().run);
        TaskLedger::place(ref, *worker, TaskState::Starting, run);
        chosen.emplace_back(ref, worker);
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        TaskLedger::release(chosen[i].first);
        chosen[i].first.task().run = earlierRuns[i];
    }
    if (chosen.size() != count) {
        chosen.clear();
    }
    return chosen;
}

std::vector<std::pair<TaskRef, CellWorker *>>
Placement::chooseRackForGang(const TaskRef &leader, std::uint32_t run, TimePoint now)
{
    std::vector<std::string> racks{leader.spec().dataRack};
    for (const auto &[id, worker] : m_state.workers) {
        if (std::ranges::find(racks, worker->info.rack) == racks.end()) {
            racks.push_back(worker->info.rack);
        }
    }
    for (const std::string &rack : racks) {
        if (auto chosen = chooseForGang(leader, run, now, &rack); !chosen.empty()) {
            return chosen;
        }
    }
    return {};
}

bool Placement::isKnownUnplaceable(const TaskRef &ref, TimePoint now) const
{
    const StepSpec &spec = ref.spec();
    if (spec.isFiller && m_fillerSharing.hasWorker(*ref.job, now)) {
        return false;
    }
    return std::ranges::any_of(m_unplaceable, [&](const UnplaceableDemand &it) {
        return (it.isDisplaced || !isDisplaced(ref)) && it.isFiller == spec.isFiller
               && (!spec.isFiller || it.image == ref.image())
               && it.service == ref.job->spec.policy.service && spec.demand.fits(it.demand);
    });
}

void Placement::recordUnplaceable(const TaskRef &ref)
{
    const StepSpec &spec = ref.spec();
    if (spec.requiredLabel.empty() && spec.maxPerWorker == 0) {
        m_unplaceable.push_back({ref.job->spec.policy.service, spec.isFiller, ref.image(),
                                 spec.demand, isDisplaced(ref)});
    }
}

CellWorker *Placement::chooseWorkerBy(const TaskRef &ref, TimePoint now, Available availableTo,
                                      const CellWorker *excluded, const std::string *rack) const
{
    CellWorker *best = nullptr;
    double bestScore = -std::numeric_limits<double>::infinity();
    for (const auto &[id, worker] : m_state.workers) {
        if (rack && worker->info.rack != *rack) {
            continue;
        }
        const ResourceVector available = (m_reservations.*availableTo)(ref, *worker);
        if (worker.get() == excluded
            || PlacementRules::findObstacle(*worker, available,
                                            m_reservations.countOfStep(ref, *worker), ref, now)) {
            continue;
        }
        const auto value = score(*worker, ref, now);
        if (value && *value > bestScore) {
            bestScore = *value;
            best = worker.get();
        }
    }
    return best;
}

CellWorker *Placement::chooseWorkerForDisplaced(const TaskRef &ref, TimePoint now)
{
    if (CellWorker *worker = chooseWorker(ref, now)) {
        return worker;
    }
    CellWorker *worker = chooseWorkerBy(ref, now, &CapacityReservations::availableWithDeferred);
    if (worker && m_reservations.removeDeferred(ref, *worker)) {
        // The tasks that lose their reservations search again.
        m_state.wantsPlacement = true;
    }
    return worker;
}

void Placement::onUnplaceable(const TaskRef &ref, TimePoint now)
{
    if (ref.spec().isLongRunning) {
        reportWait(ref, now);
        m_waiting.push_back(ref);
    } else if (now >= m_nextBatchWaitReport) {
        m_nextBatchWaitReport = now + WaitReportInterval;
        m_state.logDecision("batch task waits", ref, describeObstacles(ref, now));
    }
}

void Placement::reportWait(const TaskRef &ref, TimePoint now) const
{
    CellTask &task = ref.task();
    if (task.waitingSince == TimePoint{}) {
        beginWait(task, now);
        return;
    }
    if (now < task.nextWaitReport) {
        return;
    }
    task.nextWaitReport = now + WaitReportInterval;
    m_state.logDecision("long-running task waits", ref,
                        "waited_ms=" + std::to_string(toMs(now - task.waitingSince)) + " "
                            + describeObstacles(ref, now));
}

std::string Placement::describeObstacles(const TaskRef &ref, TimePoint now) const
{
    static constexpr std::pair<Obstacle, const char *> Names[] = {
        {Obstacle::Unavailable, "unavailable"},
        {Obstacle::Unrecorded, "unrecorded"},
        {Obstacle::Restarted, "restarted"},
        {Obstacle::Evacuated, "evacuated"},
        {Obstacle::Unresponsive, "unresponsive"},
        {Obstacle::Acknowledged, "acknowledged"},
        {Obstacle::OpenStart, "open_start"},
        {Obstacle::Avoided, "avoided"},
        {Obstacle::Capacity, "full"},
        {Obstacle::MissedTarget, "missed_target"},
        {Obstacle::IdleCpu, "idle_cpu"},
        {Obstacle::FillersKept, "fillers_kept"},
        {Obstacle::Label, "label"},
        {Obstacle::Observed, "observed"},
        {Obstacle::TaskLimit, "task_limit"}};
    std::map<Obstacle, int> counts;
    std::int64_t freeCpu = 0;
    ResourceVector largestFree;
    int expectedViolations = 0; // Workers where the filler would push serving tasks over targets.
    for (const auto &[id, worker] : m_state.workers) {
        const ResourceVector available = m_reservations.availableTo(ref, *worker);
        const auto obstacle = PlacementRules::findObstacle(
            *worker, available, m_reservations.countOfStep(ref, *worker), ref, now);
        if (!obstacle) {
            expectedViolations += score(*worker, ref, now) ? 0 : 1;
            continue;
        }
        ++counts[*obstacle];
        if (*obstacle == Obstacle::Capacity) {
            freeCpu += std::max<std::int64_t>(0, available.milliCpu);
            largestFree = available.milliCpu > largestFree.milliCpu ? available : largestFree;
        }
    }
    const ResourceVector &demand = ref.spec().demand;
    std::string text = "cpu=" + std::to_string(demand.milliCpu) + " memory_mb="
                       + std::to_string(demand.memoryMb) + " free_cpu=" + std::to_string(freeCpu)
                       + " largest_free_cpu=" + std::to_string(largestFree.milliCpu);
    for (const auto &[obstacle, name] : Names) {
        if (const auto it = counts.find(obstacle); it != counts.end()) {
            text += std::string(" ") + name + "=" + std::to_string(it->second);
        }
    }
    text += " largest_free_memory_mb=" + std::to_string(largestFree.memoryMb);
    if (expectedViolations > 0) {
        text += " expected_violations=" + std::to_string(expectedViolations);
    }
    if (isHeldBack(ref, now)) {
        text += " held_back=1";
    }
    return text;
}

std::optional<double> Placement::score(CellWorker &worker, const TaskRef &ref, TimePoint now) const
{
    const StepSpec &spec = ref.spec();
    const double capacity =
        std::max<double>(1.0, static_cast<double>(worker.info.capacity.milliCpu));
    double value = 0.0;
    if (spec.isFiller) {
        value = PlacementRules::expectedUnusedCpu(worker) / capacity;
        const double violations = m_interference.expectedViolations(worker, ref, now);
        if (!InterferenceGuard::isWorthwhile(spec, violations)) {
            return std::nullopt;
        }
        value -= ViolationWeight * violations;
    } else if (CrashDetector::isSuspect(ref.task())) {
        // A crash takes all of the worker's tasks with it.
        value = -static_cast<double>(worker.tasks.size());
    } else {
        value = -static_cast<double>(worker.freeRoom().milliCpu) / capacity;
        if (spec.targetMs > 0) {
            value += imageAffinity(worker, ref.image());
        }
    }
    if (!spec.dataRack.empty() && worker.info.rack == spec.dataRack) {
        value += DataRackBonus;
    } else if (m_placeWaits.isContested(worker.info.rack)) {
        value -= ContestedRackPenalty;
    }
    if (ref.failures().hasFailedOn(worker.info.id)) {
        value -= FailedWorkerPenalty;
    }
    if (CrashDetector::isAtCrashAddress(ref.task(), worker)) {
        value -= CrashAddressPenalty;
    }
    return value;
}

void Placement::reportStart(const TaskRef &ref, const CellWorker &worker, TimePoint now) const
{
    if (!ref.spec().isLongRunning) {
        return;
    }
    const TimePoint since = ref.task().waitingSince == TimePoint{} ? now : ref.task().waitingSince;
    std::size_t passedOver = 0;
    TimePoint longestPassed = now;
    for (const TaskRef &it : m_displaced) {
        const CellTask &task = it.task();
        if (task.state != TaskState::Pending || task.waitingSince >= since || it == ref
            || PlacementRules::findObstacle(worker, m_reservations.availableTo(it, worker),
                                            m_reservations.countOfStep(it, worker), it, now)) {
            continue;
        }
        ++passedOver;
        longestPassed = std::min(longestPassed, task.waitingSince);
    }
    if (now - since < FirstWaitReport && passedOver == 0) {
        return;
    }
    const ResourceVector &demand = ref.spec().demand;
    m_state.logDecision(
        "long-running task placed", ref,
        "on=" + worker.info.id.value() + " waited_ms=" + std::to_string(toMs(now - since)) + " cpu="
            + std::to_string(demand.milliCpu) + " memory_mb=" + std::to_string(demand.memoryMb)
            + " has_run=" + std::to_string(ref.hasRunBefore() ? 1 : 0)
            + " passed_over=" + std::to_string(passedOver)
            + " longest_passed_ms=" + std::to_string(toMs(now - longestPassed)));
}

void Placement::start(const TaskRef &ref, CellWorker &worker, std::uint32_t run, TimePoint now)
{
    reportStart(ref, worker, now);
    if (!ref.spec().isLongRunning) {
        ++m_startsSinceIdleTurn;
    }
    TaskLedger::place(ref, worker, TaskState::Starting, run);
    m_placeWaits.onPlaced(ref, worker, now);
    CellTask &task = ref.task();
    task.startedAt = now;
    task.startSentAt = now;
    worker.hasNewStarts = true;
    CrashDetector::onStart(ref, worker, now);
    task.waitingSince = {};
    const Duration left = std::min(StartValidity, m_state.ordersUntil - now);
    task.startDeadlineMs = worker.clockAtLeast(now) + std::max<std::int64_t>(1, toMs(left));
    worker.grantedDeadlineMs = std::max(worker.grantedDeadlineMs, task.startDeadlineMs);
    StartTask order;
    order.worker = worker.info.id;
    order.task = ref.name();
    order.run = run;
    order.payload = ref.job->spec.payload;
    order.deadlineMs = task.startDeadlineMs;
    order.checkpoint = task.checkpoint;
    order.fence = m_state.fenceOf(worker);
    task.startFence = order.fence;
    m_state.unrecordedStarts.push_back({std::move(order), now});
}

} // namespace firefly
