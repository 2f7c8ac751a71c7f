#include "Cell/TaskLedger.h"

#include "Core/Assert.h"

#include <algorithm>

namespace firefly {

std::optional<TaskRef> CellState::findTask(const TaskName &name)
{
    CellJob *job = findJob(name.job);
    if (!job || name.occurrence >= job->occurrences.size() || name.step >= job->spec.steps.size()
        || name.index >= job->spec.steps[name.step].taskCount) {
        return std::nullopt;
    }
    return TaskRef{job, name.occurrence, name.step, name.index};
}

namespace TaskLedger {
namespace {

/// Size of the range of run numbers that each owner has for a task.
constexpr std::uint32_t RunsPerEpoch = 1000;

void setState(const TaskRef &ref, TaskState state)
{
    CellTask &task = ref.task();
    StepRun &step = ref.stepRun();
    step.pendingCount -= task.state == TaskState::Pending ? 1 : 0;
    step.doneCount -= task.state == TaskState::Done ? 1 : 0;
    step.elsewhereCount -= task.state == TaskState::Elsewhere ? 1 : 0;
    task.state = state;
    step.pendingCount += state == TaskState::Pending ? 1 : 0;
    step.doneCount += state == TaskState::Done ? 1 : 0;
    step.elsewhereCount += state == TaskState::Elsewhere ? 1 : 0;
}

void removeFromWorker(const TaskRef &ref)
{
    CellTask &task = ref.task();
    if (!task.worker) {
        return;
    }
    CellWorker &worker = *task.worker;
    const StepSpec &spec = ref.spec();
    worker.reserved.subtract(spec.reservation());
    worker.fillerCpu -= spec.isFiller ? spec.demand.milliCpu : 0;
    worker.longRunningCpu -= spec.isLongRunning ? spec.reservation().milliCpu : 0;
    const auto it = std::ranges::find(worker.tasks, ref);
    FIREFLY_ASSERT(it != worker.tasks.end(), "a placed task must be in its worker's list");
    worker.isForecastValid = false;
    worker.hasFreedCapacity = true;
    *it = worker.tasks.back();
    worker.tasks.pop_back();
    task.worker = nullptr;
    task.pace = 100;
    task.isPaceKnown = true;
    task.usage = 0.0;
    task.hasTailRatio = false;
    task.overTargetSince = {};
    --ref.job->placedCount;
}

} // namespace

void place(const TaskRef &ref, CellWorker &worker, TaskState state, std::uint32_t run)
{
    CellTask &task = ref.task();
    FIREFLY_ASSERT(isPlaced(state), "place() requires a state for which isPlaced() holds");
    FIREFLY_ASSERT(!task.worker && task.state != TaskState::Done,
                   "a task that is placed or done can't be placed");
    const StepSpec &spec = ref.spec();
    worker.reserved.add(spec.reservation());
    worker.fillerCpu += spec.isFiller ? spec.demand.milliCpu : 0;
    worker.longRunningCpu += spec.isLongRunning ? spec.reservation().milliCpu : 0;
    worker.tasks.push_back(ref);
    worker.isForecastValid = false;
    task.worker = &worker;
    task.run = run;
    task.percent = 0;
    task.lastListedReport = 0;
    task.acceptedMs.reset();
    ++ref.job->placedCount;
    ref.job->isStarted = true;
    if (ref.job->state == JobState::Queued) {
        ref.job->state = JobState::Running;
    }
    setState(ref, state);
}

void orderStop(CellState &state, const TaskRef &ref, TimePoint now)
{
    CellTask &task = ref.task();
    FIREFLY_ASSERT(isPlaced(task.state), "only a placed task can be stopped");
    CellWorker &worker = *task.worker;
    if (task.state != TaskState::Stopping) {
        task.stopOrderedAt = now;
    }
    if (ref.spec().isLongRunning && worker.isUsable() && worker.renewFailures == 0) {
        worker.nextRenewal = std::min(worker.nextRenewal, now + AwaitedEndDelay);
    }
    if (task.state != TaskState::Unsettled && task.state != TaskState::Starting) {
        task.state = TaskState::Stopping;
    }
    task.stopSentAt = now;
    state.actions.emplace_back(
        StopTask{worker.info.id, ref.name(), task.run, state.fenceOf(worker)});
}

void release(const TaskRef &ref)
{
    FIREFLY_ASSERT(isPlaced(ref.task().state), "only a placed task can be released");
    removeFromWorker(ref);
    setState(ref, TaskState::Pending);
}

void finish(const TaskRef &ref)
{
    const auto finishOne = [](const TaskRef &one) {
        removeFromWorker(one);
        setState(one, TaskState::Done);
    };
    finishOne(ref);
    if (!ref.spec().isGang) {
        return;
    }
    for (std::uint32_t i = 0; i < ref.spec().taskCount; ++i) {
        const TaskRef member{ref.job, ref.occurrence, ref.step, i};
        if (member.task().state != TaskState::Done) {
            finishOne(member);
        }
    }
}

void unlocate(const TaskRef &ref)
{
    FIREFLY_ASSERT(ref.task().state == TaskState::Pending, "only a Pending task can be unlocated");
    setState(ref, TaskState::Unlocated);
}

void resolveUnlocated(const TaskRef &ref)
{
    if (ref.task().state == TaskState::Unlocated) {
        setState(ref, TaskState::Pending);
    }
}

void moveElsewhere(const TaskRef &ref)
{
    const TaskState state = ref.task().state;
    FIREFLY_ASSERT(state == TaskState::Pending || state == TaskState::Unlocated,
                   "a task that is placed or done can't move to another cell");
    ref.task().waitingSince = {};
    setState(ref, TaskState::Elsewhere);
}

void moveBack(const TaskRef &ref)
{
    FIREFLY_ASSERT(ref.task().state == TaskState::Elsewhere, "the task must be Elsewhere");
    setState(ref, TaskState::Pending);
}

void addOccurrence(CellJob &job, std::int64_t dueUnixMs, TaskState state)
{
    Occurrence occurrence;
    occurrence.dueUnixMs = dueUnixMs;
    for (const StepSpec &it : job.spec.steps) {
        StepRun step;
        step.tasks.resize(it.taskCount);
        for (CellTask &task : step.tasks) {
            task.state = state;
        }
        step.pendingCount = state == TaskState::Pending ? it.taskCount : 0;
        occurrence.steps.push_back(std::move(step));
    }
    job.occurrences.push_back(std::move(occurrence));
}

bool isReady(const CellJob &job, std::uint32_t occurrence, std::uint32_t step)
{
    const Occurrence &run = job.occurrences[occurrence];
    return std::ranges::all_of(job.spec.steps[step].after,
                               [&run](std::uint32_t it) { return run.steps[it].isDone(); });
}

std::uint32_t nextRun(const CellTask &task, Epoch epoch)
{
    // The epochs of a guest don't continue those of the cell that delegated the task.
    const auto floor = task.firstRun + static_cast<std::uint32_t>((epoch - 1) * RunsPerEpoch);
    return std::max(task.run, floor) + 1;
}

} // namespace TaskLedger
} // namespace firefly
