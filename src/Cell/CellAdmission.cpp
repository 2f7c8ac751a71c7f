/// \file Admission of new jobs by the cell's backlog, as part of CellScheduler.

#include "Admission/RetryAdvice.h"
#include "Cell/CellScheduler.h"
#include "Cell/PlacementRules.h"
#include "Cell/TaskLedger.h"

#include <algorithm>

namespace firefly {
namespace {

constexpr Duration WaitingUpdateInterval = std::chrono::milliseconds(100);

/// True if Placement serves \a job before \a other, a new job, once both are late.
bool precedes(const CellJob &job, const CellJob &other, TimePoint now)
{
    const int priority = job.spec.policy.priority;
    const int otherPriority = other.spec.policy.priority;
    if (priority != otherPriority) {
        return priority < otherPriority;
    }
    return now <= job.deprioritizedAt && job.objective <= other.objective;
}

bool canBeInTime(const CellJob &job, TimePoint now)
{
    return now + job.remainingCriticalPath() <= job.objective;
}

} // namespace

double CellScheduler::workOf(const StepSpec &step, const BacklogAdmission &admission)
{
    const Duration time =
        step.estimateMs > 0 ? std::chrono::milliseconds(step.estimateMs) : admission.meanRunTime();
    return static_cast<double>(step.demand.milliCpu) / 1000.0
           * std::chrono::duration<double>(time).count();
}

CellScheduler::RemainingWork CellScheduler::remainingWork(const CellJob &job,
                                                          const WorkQueue &queue,
                                                          const BacklogAdmission &admission) const
{
    RemainingWork sum;
    for (const Occurrence &occurrence : job.occurrences) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            const StepSpec &step = job.spec.steps[s];
            const StepRun &run = occurrence.steps[s];
            if (step.isLongRunning || step.isFiller != queue.isFiller || run.isDone()) {
                continue;
            }
            const double work = workOf(step, admission);
            auto unplaced =
                static_cast<double>(run.tasks.size() - run.doneCount - run.elsewhereCount);
            for (std::size_t i = 0; job.placedCount > 0 && i < run.tasks.size(); ++i) {
                const CellTask &task = run.tasks[i];
                if (!isPlaced(task.state)) {
                    continue;
                }
                unplaced -= 1.0;
                sum.placed += work * (100 - std::clamp(task.percent, 0, 100)) / 100.0;
            }
            sum.unplaced += work * unplaced;
        }
    }
    return sum;
}

bool CellScheduler::hasRoomFor(CellJob &job, TimePoint now) const
{
    for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
        if (!job.spec.steps[s].after.empty()) {
            continue;
        }
        const TaskRef ref{&job, 0, s, 0};
        const bool fits = std::ranges::any_of(m_state.workers, [&](const auto &it) {
            ResourceVector available = it.second->freeRoom();
            available.subtract(it.second->held);
            const auto obstacle = PlacementRules::findObstacle(*it.second, available, 0, ref, now);
            // Latency targets keep fillers away for moments only.
            return !obstacle
                   || (*obstacle == PlacementRules::Obstacle::MissedTarget
                       && PlacementRules::hasUnusedCpuFor(*it.second, ref.spec()));
        });
        if (fits) {
            return true;
        }
    }
    return false;
}

BacklogAdmission::Decision CellScheduler::admit(const JobId &id, const JobSpec &spec, TimePoint now)
{
    CellJob job;
    job.id = id;
    job.spec = spec;
    BacklogAdmission::Decision notLimited;
    notLimited.reason = AdmissionReason::NotLimited;
    if (isKnown(id) || job.isLongRunning() || job.isScheduled()
        || spec.policy.targetLatencyMs <= 0) {
        return notLimited;
    }
    double fillerCpu = 0.0;
    double reservedCpu = 0.0;
    for (const StepSpec &it : spec.steps) {
        (it.isFiller ? fillerCpu : reservedCpu) +=
            static_cast<double>(it.demand.milliCpu) * it.taskCount;
    }
    const WorkQueue queue{spec.policy.service, fillerCpu > reservedCpu};
    BacklogAdmission &admission = m_admission[queue];
    setObjective(job, now);
    TaskLedger::addOccurrence(job, 0, TaskState::Pending);
    BacklogAdmission::Request request;
    request.work = remainingWork(job, queue, admission).unplaced;
    if (!admission.isWaiting()) {
        return admission.decide(request, now);
    }
    request.canStart = hasRoomFor(job, now);
    request.criticalPath = CellJob::criticalPathOf(spec);
    request.objective = job.objective;
    request.usefulUntil = job.deprioritizedAt;
    request.spread = spreadOf(id.value());
    for (const auto &[otherId, other] : m_state.jobs) {
        if (isFinal(other->state) || other->spec.policy.service != queue.service) {
            continue;
        }
        const RemainingWork work = remainingWork(*other, queue, admission);
        request.ahead += work.placed;
        request.inTimeAhead += work.placed;
        if (precedes(*other, job, now)) {
            request.ahead += work.unplaced;
            request.inTimeAhead += canBeInTime(*other, now) ? work.unplaced : 0.0;
        }
    }
    return admission.decide(request, now);
}

void CellScheduler::updateWaiting(TimePoint now)
{
    if (now - m_lastWaitingUpdate < WaitingUpdateInterval) {
        return;
    }
    m_lastWaitingUpdate = now;
    std::set<WorkQueue> waiting;
    for (const auto &[id, job] : m_state.jobs) {
        if (isFinal(job->state) || !job->isDurable) {
            continue;
        }
        for (std::uint32_t k = 0; k < job->occurrences.size(); ++k) {
            for (std::uint32_t s = 0; s < job->spec.steps.size(); ++s) {
                const StepSpec &step = job->spec.steps[s];
                if (!step.isLongRunning && job->occurrences[k].steps[s].pendingCount > 0
                    && TaskLedger::isReady(*job, k, s)) {
                    waiting.insert({job->spec.policy.service, step.isFiller});
                }
            }
        }
    }
    for (const WorkQueue &it : waiting) {
        m_admission.try_emplace(it);
    }
    for (auto &[queue, admission] : m_admission) {
        admission.setWaiting(waiting.contains(queue), now);
    }
}

void CellScheduler::recordFinishedWork(const TaskRef &ref)
{
    const StepSpec &step = ref.spec();
    const CellTask &task = ref.task();
    BacklogAdmission &admission = m_admission[{ref.job->spec.policy.service, step.isFiller}];
    const double count = step.isGang ? step.taskCount : 1.0;
    const Duration runTime = task.state == TaskState::Running ? m_now - task.startedAt : Duration{};
    admission.recordFinished(count * workOf(step, admission), runTime, m_now);
}

} // namespace firefly
