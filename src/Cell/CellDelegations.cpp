/// \file Delegation of long-running tasks to other cells, as part of CellScheduler.

#include "Cell/CellScheduler.h"
#include "Cell/TaskLedger.h"
#include "Core/Assert.h"
#include "Workload/JobRecords.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace firefly {
namespace {

/// Time without a worker after which a task that has run before may go to another cell, and a task
/// that has never run.
constexpr Duration DisplacedDelay = std::chrono::milliseconds(1000);
constexpr Duration FirstStartDelay = std::chrono::milliseconds(3000);
/// Time for which a new owner tries its own workers only, some of which it has yet to record.
constexpr Duration LocatedDelay = std::chrono::milliseconds(300);
constexpr Duration RequestRetryInterval = std::chrono::milliseconds(300);

} // namespace

// Home

bool CellScheduler::isDelegable(const CellJob &job, std::uint32_t step)
{
    // The guest knows nothing of the job's other steps, and which workers have a label or a data
    // rack isn't known here for other cells.
    const StepSpec &spec = job.spec.steps[step];
    return !job.isGuestPart && job.isDurable && !isFinal(job.state) && !job.isScheduled()
           && spec.isLongRunning && !spec.isGang && spec.after.empty() && spec.requiredLabel.empty()
           && spec.dataRack.empty();
}

std::vector<CellScheduler::DelegationCandidate>
CellScheduler::delegationCandidates(TimePoint now) const
{
    std::vector<DelegationCandidate> candidates;
    if (now - m_location.resolvedAt() < LocatedDelay) {
        return candidates;
    }
    for (const auto &[id, job] : m_state.jobs) {
        if (job->occurrences.empty()) {
            continue;
        }
        for (std::uint32_t s = 0; s < job->spec.steps.size(); ++s) {
            const StepRun &run = job->occurrences.front().steps[s];
            if (run.pendingCount == 0 || !isDelegable(*job, s)) {
                continue;
            }
            // Of the tasks that have never run only the first of a step is marked; the others ask
            // for as much.
            TimePoint waitingSince = now;
            for (const CellTask &it : run.tasks) {
                const bool isWaiting =
                    it.state == TaskState::Pending && it.waitingSince != TimePoint{};
                waitingSince = isWaiting ? std::min(waitingSince, it.waitingSince) : waitingSince;
            }
            for (std::uint32_t i = 0; i < run.tasks.size(); ++i) {
                const TaskRef ref{job.get(), 0, s, i};
                const Duration delay = ref.hasRunBefore() ? DisplacedDelay : FirstStartDelay;
                if (ref.task().state == TaskState::Pending && now - waitingSince >= delay
                    && !m_placement.hasReservation(ref)) {
                    candidates.push_back({ref, waitingSince});
                }
            }
        }
    }
    std::ranges::sort(candidates, {}, [](const DelegationCandidate &it) {
        return std::tuple(!it.task.hasRunBefore(), it.waitingSince);
    });
    return candidates;
}

std::set<std::string> CellScheduler::servicesToDelegate(TimePoint now) const
{
    std::set<std::string> services;
    for (const DelegationCandidate &it : delegationCandidates(now)) {
        services.insert(it.task.job->spec.policy.service);
    }
    return services;
}

void CellScheduler::delegateTasks(const std::string &service,
                                  std::span<const std::optional<GuestOffer>> cells, TimePoint now)
{
    m_now = now;
    const double milliCpu = usableMilliCpu();
    double homeDemand = 0.0;
    for (const auto &[id, job] : m_state.jobs) {
        homeDemand += isFinal(job->state) ? 0.0 : job->outstandingDemand(1.0).longRunning;
    }
    std::map<CellJob *, std::vector<TaskName>> delegated;
    for (const DelegationCandidate &it : delegationCandidates(now)) {
        if (it.task.job->spec.policy.service != service) {
            continue;
        }
        const ResourceVector demand = it.task.spec().reservation();
        const auto guest = m_guests.choose(demand, homeDemand / milliCpu, cells, now);
        if (!guest) {
            continue;
        }
        homeDemand -= static_cast<double>(demand.milliCpu);
        CellTask &task = it.task.task();
        const auto waited =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - it.waitingSince);
        m_state.logDecision("task delegated", it.task,
                            "to_cell=" + std::to_string(*guest)
                                + " waited_ms=" + std::to_string(waited.count()));
        // The guest continues above all runs that any owner of this cell may have started.
        task.run = it.task.hasRunBefore() ? TaskLedger::nextRun(task, m_state.epoch) - 1 : 0;
        task.guest = guest;
        const bool isWaiting = task.waitingSince != TimePoint{};
        const TimePoint waitingSince = isWaiting ? task.waitingSince : it.waitingSince;
        TaskLedger::moveElsewhere(it.task);
        // The guest continues the wait.
        task.waitingSince = waitingSince;
        it.task.job->delegations[*guest];
        delegated[it.task.job].push_back(it.task.name());
    }
    for (const auto &[job, tasks] : delegated) {
        m_delegatingJobs.insert(job->id.value());
        recordProgress(*job);
        m_state.journal.whenDurable([this, tasks = tasks] {
            for (const TaskName &it : tasks) {
                if (const auto ref = m_state.findTask(it)) {
                    ref->task().isDelegationDurable = true;
                }
            }
        });
    }
}

std::map<std::string, ServiceRoom> CellScheduler::roomByService() const
{
    std::map<std::string, ServiceRoom> rooms;
    for (const auto &[id, worker] : m_state.workers) {
        if (!worker->isUsable() || worker->renewFailures > 0 || worker->isPaused(m_now)) {
            continue;
        }
        ServiceRoom &room = rooms[worker->info.service];
        ResourceVector free = worker->freeRoom();
        free.subtract(worker->held);
        // Displaced tasks of other cells may take it, as those of this one.
        free.add(worker->heldForRunning);
        const auto keepLarger = [](ResourceVector &largest, const ResourceVector &it) {
            largest = it.milliCpu > largest.milliCpu ? it : largest;
        };
        keepLarger(room.largestFree, free);
        for (const TaskRef &it : worker->tasks) {
            free.add(it.spec().isLongRunning ? ResourceVector{} : it.spec().reservation());
        }
        keepLarger(room.largestAfterBatch, free);
    }
    return rooms;
}

std::vector<TaskProgress> CellScheduler::delegatedTasks(CellJob &job, int guest) const
{
    std::vector<TaskProgress> tasks = progressOf(job);
    std::erase_if(tasks, [&](const TaskProgress &it) {
        const TaskRef ref{&job, it.occurrence, it.step, it.index};
        return it.guest != guest || !ref.task().isDelegationDurable;
    });
    return tasks;
}

void CellScheduler::sendDelegations(TimePoint now)
{
    for (const std::string &id : m_delegatingJobs) {
        CellJob *job = m_state.findJob(JobId(id));
        FIREFLY_ASSERT(job, "a job is kept while other cells have tasks of it");
        for (auto &[guest, status] : job->delegations) {
            if (!status.isRequestOpen && now >= status.nextRequest) {
                sendDelegation(*job, guest, status);
            }
        }
    }
}

void CellScheduler::sendDelegation(CellJob &job, int guest, DelegationStatus &status)
{
    if (isFinal(job.state)) {
        if (isFinal(job.durableState)) {
            status.isRequestOpen = true;
            status.isRevoking = true;
            m_state.actions.emplace_back(RevokeDelegation{guest, job.id});
        }
        return;
    }
    std::vector<TaskProgress> tasks = delegatedTasks(job, guest);
    if (tasks.size() == status.acceptedCount) {
        return;
    }
    status.isRequestOpen = true;
    status.requestedCount = tasks.size();
    m_state.actions.emplace_back(DelegateTasks{
        guest, job.id,
        JobRecords::encodeDelegation({job.submittedAtUnixMs, job.spec, std::move(tasks)})});
}

void CellScheduler::onDelegationReply(const JobId &id, int guest, bool isAccepted, TimePoint now)
{
    m_now = now;
    CellJob *job = m_state.findOwnJob(id);
    if (!job || !job->delegations.contains(guest)) {
        return;
    }
    DelegationStatus &status = job->delegations.at(guest);
    status.isRequestOpen = false;
    if (!isAccepted) {
        status.nextRequest = now + RequestRetryInterval;
        return;
    }
    if (status.isRevoking) {
        endDelegation(*job, guest);
        return;
    }
    status.acceptedCount = status.requestedCount;
}

std::set<int> CellScheduler::guests() const
{
    std::set<int> cells;
    for (const std::string &id : m_delegatingJobs) {
        for (const auto &[guest, status] : m_state.jobs.at(id)->delegations) {
            cells.insert(guest);
        }
    }
    return cells;
}

void CellScheduler::onTasksGivenUp(int guest, std::span<const JobId> jobs, TimePoint now,
                                   std::int64_t nowUnixMs)
{
    m_now = now;
    for (const JobId &id : jobs) {
        CellJob *job = m_state.findOwnJob(id);
        if (job && !isFinal(job->state) && job->delegations.contains(guest)) {
            finalize(*job, JobState::Failed, nowUnixMs);
        }
    }
}

void CellScheduler::endDelegation(CellJob &job, int guest)
{
    for (const TaskProgress &it : progressOf(job)) {
        if (it.guest == guest) {
            const TaskRef ref{&job, it.occurrence, it.step, it.index};
            ref.task().guest.reset();
            TaskLedger::moveBack(ref);
        }
    }
    job.delegations.erase(guest);
    recordProgress(job);
    if (!job.delegations.empty()) {
        return;
    }
    m_delegatingJobs.erase(job.id.value());
    for (const auto &it : std::exchange(job.onRevoked, {})) {
        it(true);
    }
}

// Guest

void CellScheduler::acceptTasks(const JobId &id, std::string_view record, TimePoint now,
                                std::int64_t nowUnixMs, const OnVerdict &onVerdict)
{
    m_now = now;
    setClock(now, nowUnixMs);
    const TaskDelegation delegation = JobRecords::decodeDelegation(record);
    CellJob *job = m_state.findJob(id);
    if (job && !job->isGuestPart) {
        onVerdict(Verdict::NotAccepted);
        return;
    }
    if (!job) {
        job = &addGuestPart(id, delegation, now, nowUnixMs);
    }
    std::vector<TaskProgress> added;
    for (const TaskProgress &task : delegation.tasks) {
        const bool isKnown =
            std::ranges::any_of(job->acceptedTasks, [&task](const TaskProgress &it) {
                return it.step == task.step && it.index == task.index;
            });
        if (isKnown || isFinal(job->state)
            || !m_state.findTask({id, task.occurrence, task.step, task.index})) {
            continue;
        }
        job->acceptedTasks.push_back(task);
        added.push_back(task);
    }
    if (!added.empty()) {
        recordGuestPart(*job);
    }
    m_state.journal.whenDurable(
        [this, id, added = std::move(added), onVerdict] {
            if (CellJob *stored = m_state.findJob(id)) {
                beginAcceptedTasks(*stored, added);
            }
            onVerdict(Verdict::Accepted);
        },
        verdictOnLoss(onVerdict));
}

CellJob &CellScheduler::addGuestPart(const JobId &id, const TaskDelegation &delegation,
                                     TimePoint now, std::int64_t nowUnixMs)
{
    auto created = std::make_unique<CellJob>();
    CellJob &job = *created;
    job.id = id;
    job.spec = delegation.spec;
    job.submittedAtUnixMs = delegation.submittedAtUnixMs;
    job.isGuestPart = true;
    setImages(job);
    setObjective(job, now - std::chrono::milliseconds(nowUnixMs - job.submittedAtUnixMs));
    addDueOccurrences(job, nowUnixMs);
    restoreGuestPart(job);
    return *(m_state.jobs[id.value()] = std::move(created));
}

void CellScheduler::restoreGuestPart(CellJob &job)
{
    for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
        for (std::uint32_t i = 0; i < job.spec.steps[s].taskCount; ++i) {
            const TaskRef ref{&job, 0, s, i};
            const auto it = std::ranges::find_if(job.acceptedTasks, [&](const TaskProgress &row) {
                return row.step == s && row.index == i;
            });
            if (it == job.acceptedTasks.end()) {
                TaskLedger::moveElsewhere(ref);
                continue;
            }
            ref.task().firstRun = it->run;
            ref.task().run = it->run;
            ref.task().checkpoint = it->checkpoint;
            ref.task().crashes = it->crashes;
        }
    }
}

std::vector<JobId> CellScheduler::givenUpJobs() const
{
    std::vector<JobId> ids;
    for (const auto &[id, job] : m_state.jobs) {
        if (job->isGuestPart && job->durableState == JobState::Failed) {
            ids.push_back(job->id);
        }
    }
    std::ranges::sort(ids);
    return ids;
}

void CellScheduler::recordGuestPart(const CellJob &job)
{
    m_state.journal.put(
        {JobRecords::delegationKey(job.id),
         JobRecords::encodeDelegation({job.submittedAtUnixMs, job.spec, job.acceptedTasks})});
}

void CellScheduler::beginAcceptedTasks(CellJob &job, std::span<const TaskProgress> tasks)
{
    job.isDurable = true;
    for (const TaskProgress &it : tasks) {
        const TaskRef ref{&job, it.occurrence, it.step, it.index};
        if (isFinal(job.state)) {
            continue;
        }
        CellTask &task = ref.task();
        task.firstRun = it.run;
        task.run = it.run;
        task.checkpoint = it.checkpoint;
        task.crashes = it.crashes;
        task.waitingSince = beginOfWait(it.waitingSinceUnixMs);
        TaskLedger::moveBack(ref);
        m_state.logDecision("delegated task accepted", ref, {});
    }
    m_state.wantsPlacement = true;
}

void CellScheduler::revokeTasks(const JobId &id, TimePoint now, std::int64_t nowUnixMs,
                                const OnVerdict &onVerdict)
{
    m_now = now;
    CellJob *job = m_state.findJob(id);
    if (job && !job->isGuestPart) {
        onVerdict(Verdict::NotAccepted);
        return;
    }
    if (!job) {
        // A delegation that arrives later must find that it was revoked.
        TaskDelegation none;
        none.submittedAtUnixMs = nowUnixMs;
        job = &addGuestPart(id, none, now, nowUnixMs);
        job->isDurable = true;
        recordGuestPart(*job);
    }
    if (!isFinal(job->state)) {
        finalize(*job, JobState::Canceled, nowUnixMs);
    }
    m_state.journal.whenDurable([onVerdict] { onVerdict(Verdict::Accepted); },
                                verdictOnLoss(onVerdict));
}

} // namespace firefly
