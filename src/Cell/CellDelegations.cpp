/// \file Delegation of long-running tasks to other cells, as part of CellScheduler.

#include "Cell/CellScheduler.h"
#include "Cell/TaskLedger.h"
#include "Core/Assert.h"
#include "Workload/JobRecords.h"

#include <algorithm>
#include <chrono>
#include <iterator>
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
/// Time for which a guest tries to start a task before it may give it back.
constexpr Duration ReturnDelay = std::chrono::milliseconds(2000);
constexpr Duration RequestRetryInterval = std::chrono::milliseconds(300);

} // namespace

// Home

bool CellScheduler::isDelegable(const CellJob &job, std::uint32_t step)
{
    // The guest knows nothing of the job's other steps, and which workers have a label or a data
    // rack isn't known here for other cells.
    const StepSpec &spec = job.spec.steps[step];
    return job.isDurable && !isFinal(job.state) && !job.isScheduled() && spec.isLongRunning
           && !spec.isGang && spec.after.empty() && spec.requiredLabel.empty()
           && spec.dataRack.empty();
}

bool CellScheduler::isReturnable(const TaskRef &ref, TimePoint now)
{
    // What is suspected of crashes here would look harmless to its home.
    const CellTask &task = ref.task();
    return ref.job->home && ref.hasRunBefore() && task.crashes.isEmpty()
           && now - task.acceptedAt >= ReturnDelay;
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
                    && !ref.hasOpenStart(now) && (!job->isGuestPart || isReturnable(ref, now))
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
    CellLoad home = outstandingLoad();
    std::map<CellJob *, std::vector<TaskRef>> leaving;
    for (const DelegationCandidate &it : delegationCandidates(now)) {
        if (it.task.job->spec.policy.service != service) {
            continue;
        }
        const ResourceVector demand = it.task.spec().reservation();
        auto guest = m_guests.choose(demand, home.longRunning, cells, now);
        if (!guest && it.task.hasRunBefore()) {
            guest = m_guests.chooseShorterQueue(demand, home, cells, now);
        }
        if (!guest) {
            continue;
        }
        const double share = static_cast<double>(demand.milliCpu) / home.milliCpu;
        home.longRunning -= share;
        home.displaced -= it.task.hasRunBefore() ? share : 0.0;
        // The home of a guest's task chooses the next guest.
        if (!it.task.job->isGuestPart) {
            delegateTask(it, *guest, now);
        }
        leaving[it.task.job].push_back(it.task);
    }
    for (const auto &[job, tasks] : leaving) {
        if (job->isGuestPart) {
            giveBackTasks(*job, tasks);
            continue;
        }
        m_delegatingJobs.insert(job->id.value());
        recordProgress(*job);
        std::vector<TaskName> names;
        std::ranges::transform(tasks, std::back_inserter(names), &TaskRef::name);
        m_state.journal.whenDurable([this, names = std::move(names)] {
            for (const TaskName &it : names) {
                const auto ref = m_state.findTask(it);
                if (ref && ref->task().guest) {
                    ref->task().isDelegationDurable = true;
                    ref->job->delegations.at(*ref->task().guest).isDue = true;
                }
            }
        });
    }
}

void CellScheduler::delegateTask(const DelegationCandidate &candidate, int guest, TimePoint now)
{
    const TaskRef &ref = candidate.task;
    CellTask &task = ref.task();
    const auto waited =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - candidate.waitingSince);
    m_state.logDecision("task delegated", ref,
                        "to_cell=" + std::to_string(guest)
                            + " waited_ms=" + std::to_string(waited.count()));
    // The guest continues above all runs that any owner of this cell may have started.
    task.run = ref.hasRunBefore() ? TaskLedger::nextRun(task, m_state.epoch) - 1 : 0;
    task.guest = guest;
    const bool isWaiting = task.waitingSince != TimePoint{};
    const TimePoint waitingSince = isWaiting ? task.waitingSince : candidate.waitingSince;
    TaskLedger::moveElsewhere(ref);
    // The guest continues the wait.
    task.waitingSince = waitingSince;
    ref.job->delegations[guest];
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
        keepLarger(room.largestWorker, worker->info.capacity);
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
    if (!std::exchange(status.isDue, false)) {
        return;
    }
    std::vector<TaskProgress> tasks = delegatedTasks(job, guest);
    if (tasks.empty()) {
        return;
    }
    status.isRequestOpen = true;
    status.requestedCount = tasks.size();
    m_state.actions.emplace_back(DelegateTasks{
        guest, job.id,
        JobRecords::encodeDelegation({job.submittedAtUnixMs, job.spec, std::move(tasks), m_cell})});
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
        status.isDue = true;
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

void CellScheduler::takeBackTasks(const JobId &id, std::string_view record, TimePoint now,
                                  std::int64_t nowUnixMs, const OnVerdict &onVerdict)
{
    m_now = now;
    setClock(now, nowUnixMs);
    const TaskDelegation returned = JobRecords::decodeDelegation(record);
    CellJob *job = m_state.findOwnJob(id);
    std::vector<TaskName> taken;
    for (const TaskProgress &it : returned.tasks) {
        const TaskName name{id, it.occurrence, it.step, it.index};
        const auto ref = job && !isFinal(job->state) ? m_state.findTask(name) : std::nullopt;
        // A task that was delegated again has a number that is at least as high.
        if (!ref || ref->task().state != TaskState::Elsewhere || ref->task().guest != it.guest
            || ref->task().run >= it.run) {
            continue;
        }
        CellTask &task = ref->task();
        task.guest.reset();
        task.isDelegationDurable = false;
        task.run = it.run;
        task.firstRun = it.run;
        task.checkpoint = it.checkpoint;
        task.waitingSince = beginOfWait(it.waitingSinceUnixMs);
        taken.push_back(name);
    }
    if (!taken.empty()) {
        recordProgress(*job);
    }
    // Until the return is durable the next owner would leave the tasks to the guest.
    m_state.journal.whenDurable(
        [this, taken = std::move(taken), onVerdict] {
            for (const TaskName &it : taken) {
                beginReturnedTask(it);
            }
            onVerdict(Verdict::Accepted);
        },
        verdictOnLoss(onVerdict));
}

void CellScheduler::beginReturnedTask(const TaskName &name)
{
    const auto ref = m_state.findTask(name);
    if (!ref || ref->task().state != TaskState::Elsewhere || ref->task().guest) {
        return;
    }
    TaskLedger::moveBack(*ref);
    m_state.wantsPlacement = true;
    m_state.logDecision("task taken back", *ref, {});
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
    // Requests of older builds don't name their cell.
    job->home = delegation.home ? delegation.home : job->home;
    std::vector<TaskProgress> added;
    for (const TaskProgress &task : delegation.tasks) {
        const auto isSameTask = [&task](const auto &it) {
            return it.step == task.step && it.index == task.index;
        };
        const auto known = std::ranges::find_if(job->acceptedTasks, isSameTask);
        const bool isKnown = known != job->acceptedTasks.end();
        // The home delegates a returned task above all runs here; older requests may come late.
        const bool isDelegatedAgain = isKnown && known->isReturned && task.run >= known->run;
        if ((isKnown && !isDelegatedAgain) || isFinal(job->state)
            || !m_state.findTask({id, task.occurrence, task.step, task.index})) {
            continue;
        }
        if (isDelegatedAgain) {
            *known = task;
            std::erase_if(job->returns.tasks, isSameTask);
        } else {
            job->acceptedTasks.push_back(task);
        }
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
            if (it == job.acceptedTasks.end() || it->isReturned) {
                TaskLedger::moveElsewhere(ref);
                if (it != job.acceptedTasks.end()) {
                    job.returns.tasks.push_back({s, i, true, false});
                    m_returningJobs.insert(job.id.value());
                }
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
    m_state.journal.put({JobRecords::delegationKey(job.id),
                         JobRecords::encodeDelegation(
                             {job.submittedAtUnixMs, job.spec, job.acceptedTasks, job.home})});
}

void CellScheduler::beginAcceptedTasks(CellJob &job, std::span<const TaskProgress> tasks)
{
    job.isDurable = true;
    for (const TaskProgress &it : tasks) {
        const TaskRef ref{&job, it.occurrence, it.step, it.index};
        if (isFinal(job.state) || ref.task().state != TaskState::Elsewhere) {
            continue;
        }
        CellTask &task = ref.task();
        task.firstRun = it.run;
        task.run = it.run;
        task.checkpoint = it.checkpoint;
        task.crashes = it.crashes;
        task.waitingSince = beginOfWait(it.waitingSinceUnixMs);
        task.acceptedAt = m_now;
        TaskLedger::moveBack(ref);
        m_state.logDecision("delegated task accepted", ref, {});
    }
    m_state.wantsPlacement = true;
}

void CellScheduler::giveBackTasks(CellJob &job, std::span<const TaskRef> tasks)
{
    std::vector<TaskName> names;
    for (const TaskRef &ref : tasks) {
        const auto row = std::ranges::find_if(job.acceptedTasks, [&ref](const TaskProgress &it) {
            return it.step == ref.step && it.index == ref.index;
        });
        FIREFLY_ASSERT(row != job.acceptedTasks.end(), "a guest has only tasks that it accepted");
        CellTask &task = ref.task();
        m_state.logDecision("task given back", ref, {});
        // A number of its own tells this return from the delegation and from earlier returns.
        task.run = TaskLedger::nextRun(task, m_state.epoch);
        row->run = task.run;
        row->isReturned = true;
        row->checkpoint = task.checkpoint;
        row->waitingSinceUnixMs =
            task.waitingSince == TimePoint{} ? 0 : toUnixMs(task.waitingSince);
        TaskLedger::moveElsewhere(ref);
        job.returns.tasks.push_back({ref.step, ref.index, false, false});
        names.push_back(ref.name());
    }
    m_returningJobs.insert(job.id.value());
    recordGuestPart(job);
    m_state.journal.whenDurable([this, id = job.id, names = std::move(names)] {
        CellJob *stored = m_state.findJob(id);
        if (!stored) {
            return;
        }
        for (const TaskName &name : names) {
            for (TaskReturn &it : stored->returns.tasks) {
                it.isDurable = it.isDurable || (it.step == name.step && it.index == name.index);
            }
        }
    });
}

void CellScheduler::sendReturns(TimePoint now)
{
    for (auto it = m_returningJobs.begin(); it != m_returningJobs.end();) {
        CellJob *job = m_state.findJob(JobId(*it));
        if (!job || isFinal(job->state) || job->returns.tasks.empty()) {
            it = m_returningJobs.erase(it);
            continue;
        }
        ++it;
        if (!job->returns.isRequestOpen && now >= job->returns.nextRequest) {
            sendReturns(*job);
        }
    }
}

void CellScheduler::sendReturns(CellJob &job)
{
    std::vector<TaskProgress> rows;
    for (TaskReturn &it : job.returns.tasks) {
        it.isRequested = it.isDurable;
        const auto row = std::ranges::find_if(job.acceptedTasks, [&it](const TaskProgress &task) {
            return task.step == it.step && task.index == it.index;
        });
        if (it.isDurable && row != job.acceptedTasks.end()) {
            rows.push_back(*row);
        }
    }
    if (rows.empty() || !job.home) {
        return;
    }
    job.returns.isRequestOpen = true;
    m_state.actions.emplace_back(
        ReturnTasks{*job.home, job.id,
                    JobRecords::encodeDelegation(
                        {job.submittedAtUnixMs, job.spec, std::move(rows), job.home})});
}

void CellScheduler::onReturnReply(const JobId &id, bool isAccepted, TimePoint now)
{
    m_now = now;
    CellJob *job = m_state.findJob(id);
    if (!job || !job->isGuestPart) {
        return;
    }
    job->returns.isRequestOpen = false;
    if (isAccepted) {
        std::erase_if(job->returns.tasks, &TaskReturn::isRequested);
    } else {
        job->returns.nextRequest = now + RequestRetryInterval;
    }
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
