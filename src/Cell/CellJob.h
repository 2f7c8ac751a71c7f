#pragma once

#include "Cell/CellMessages.h"

#include <algorithm>
#include <memory>

namespace firefly {

struct CellWorker;

/// Dense number of an image within one cell's owner.
using ImageIndex = std::uint16_t;

/// Where a task stands in its owner's view.
enum class TaskState {
    Unlocated, ///< An earlier owner may have started it; not to be started yet.
    Pending,   ///< Surely runs nowhere.
    Starting,  ///< Ordered; no answer yet.
    Unsettled, ///< Ordered without an answer; the order may still be carried out.
    Running,
    Stopping, ///< Told to stop; its end is not listed yet.
    Done,
};

/// True while the task may occupy a worker that this owner chose or found it on.
inline bool isPlaced(TaskState state)
{
    return state == TaskState::Starting || state == TaskState::Unsettled
           || state == TaskState::Running || state == TaskState::Stopping;
}

struct CellTask
{
    TaskState state = TaskState::Pending;
    CellWorker *worker = nullptr;          ///< Set exactly while isPlaced(state).
    std::uint32_t run = 0;                 ///< Of the last start.
    std::vector<std::uint32_t> failedRuns; ///< Runs that ended by a failure.
    std::int64_t startDeadlineMs = 0;      ///< On the worker's clock.
    TimePoint startedAt{};                 ///< When the start was accepted or the task was found.
    TimePoint stopSentAt{};
    TimePoint pacedAt{};      ///< When the pace last changed.
    TimePoint progressAt{};   ///< When percent last changed.
    TimePoint notBefore{};    ///< Earliest next start.
    std::uint64_t seenIn = 0; ///< The lease report that last listed it.
    int percent = 0;
    int pace = 100;
    double usage = 0.0;
    double tailLog = 0.0; ///< Smoothed log of tail over target; of a serving task with hasTail.
    bool hasTail = false;
    TimePoint recoveredSince{};
    TimePoint overTargetSince{}; ///< For a serving task; zero while it keeps its target.
    std::string checkpoint;
};

/// One step of one occurrence.
struct StepRun
{
    std::vector<CellTask> tasks;
    std::uint32_t doneCount = 0;
    std::uint32_t pendingCount = 0; ///< Tasks that are Pending.

    bool isDone() const { return doneCount == tasks.size(); }
};

struct Occurrence
{
    std::vector<StepRun> steps;
    std::int64_t dueUnixMs = 0;

    bool isDone() const { return std::ranges::all_of(steps, &StepRun::isDone); }
};

struct CellJob
{
    JobId id;
    JobSpec spec;
    std::vector<ImageIndex> images; ///< By step.
    std::int64_t submittedAtUnixMs = 0;
    JobState state = JobState::Queued;
    JobState shownState = JobState::Queued; ///< Last state that is durable.
    bool isDurable = false;
    bool isStarted = false;
    bool isFromEarlierOwner = false;
    std::int64_t finalAtUnixMs = 0;
    TimePoint objective{};   ///< When the client counts the job as late.
    TimePoint giveUpOrder{}; ///< From here on the job goes behind all that can still be early.
    std::vector<Occurrence> occurrences; ///< Those that are due.
    std::uint32_t placedCount = 0;       ///< Tasks that occupy a worker.

    std::uint32_t occurrenceCount() const { return std::max<std::uint32_t>(1, spec.repetitions); }
    bool isTimed() const { return spec.repetitions > 0; }
    std::int64_t startAtUnixMs(std::int64_t occurrence) const
    {
        return spec.startAtUnixMs + occurrence * spec.intervalMs;
    }
    /// Longest chain of estimated work in the steps of the last due occurrence that aren't done.
    Duration remainingChain() const;
    /// Processor demand of the tasks of due occurrences that aren't done and whose turn has come,
    /// as shares of \a milliCpu.
    CellLoad openDemand(double milliCpu) const;
    static Duration longestChainOf(const JobSpec &spec);
    bool isLongRunning() const { return std::ranges::any_of(spec.steps, &StepSpec::isLongRunning); }
};

/// A task by its place in the job.
struct TaskRef
{
    CellJob *job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    const StepSpec &spec() const { return job->spec.steps[step]; }
    ImageIndex image() const { return job->images[step]; }
    StepRun &stepRun() const { return job->occurrences[occurrence].steps[step]; }
    CellTask &task() const { return stepRun().tasks[index]; }
    TaskName name() const { return {job->id, occurrence, step, index}; }
    bool operator==(const TaskRef &) const = default;
};

/// How soon a worker's next report is wanted.
enum class Attention {
    Usual,
    Raised, ///< Fillers work beside serving tasks.
    Close,  ///< A serving task beside them is over its target.
};

/// A worker of the cell.
struct CellWorker
{
    WorkerDescription info;
    bool isRegistered = false; ///< Listed by the platform now.
    bool isRecorded = false;   ///< The cell's topic names it.
    bool isContacted = false;  ///< Answered this owner at least once.
    std::int64_t bornUnixMs = 0;
    std::int64_t clockMs = 0; ///< At clockAt, on the worker's clock.
    TimePoint clockAt{};
    std::int64_t grantedDeadlineMs = 0; ///< Highest deadline sent, on the worker's clock.
    std::uint64_t handledEnd = 0;       ///< Ends up to this one were taken into the jobs.
    std::uint64_t recordingEnd = 0;     ///< Ends up to this one are on their way to the topic.
    std::uint64_t durableEnd = 0;       ///< Ends up to this one may be forgotten.
    bool isRestartSuspected = false;    ///< Its clock went back; the next report tells.
    bool isRenewing = false;
    TimePoint nextRenewal{};
    std::uint32_t renewFailures = 0;
    std::uint64_t reports = 0;
    Room used;                       ///< Reserved by placed tasks.
    std::int64_t fillerCpu = 0;      ///< Demand of the fillers here, thousandths of a core.
    std::int64_t longRunningCpu = 0; ///< Reservation of long-running tasks here.
    std::vector<TaskRef> tasks;      ///< Placed tasks.
    TimePoint avoidUntil{};
    std::uint32_t strikes = 0; ///< Failures in a row that speak against the worker.
    TimePoint noFillersUntil{};
    /// What the guard expects of one serving task here.
    struct ServingOutlook
    {
        ImageIndex image = 0;
        double expected = 0;    ///< Log of tail over target.
        double probability = 0; ///< Of being over the target.
    };
    std::vector<ServingOutlook> outlook; ///< By InterferenceGuard; valid while isOutlookValid.
    bool isOutlookValid = false;         ///< Cleared when tasks come, go or report.
    TimePoint outlookAt{};
    Attention attention = Attention::Usual;
    TimePoint nextMeasure{}; ///< Earliest next change to the fillers' pace.

    /// Lower bound of the worker's clock at \a now, in ms; its clock may be 2 % slow.
    std::int64_t clockAtLeast(TimePoint now) const
    {
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - clockAt);
        return clockMs + elapsed.count() * 98 / 100;
    }
    Room freeRoom() const
    {
        Room room = info.capacity;
        room.subtract(used);
        return room;
    }
};

} // namespace firefly
