#pragma once

#include "Cell/CellMessages.h"
#include "Cell/FailureHistory.h"
#include "Locality/DelayScheduling.h"
#include "Workload/JobRecords.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace firefly {

struct CellWorker;

/// Dense index of a task image within one owner of a cell.
using ImageIndex = std::uint16_t;

/// State of a task as its owner knows it.
enum class TaskState {
    Unlocated, ///< May still run on a worker for an earlier owner; must not be started yet.
    Pending,   ///< Runs on no worker.
    Starting,  ///< Start order sent, answer outstanding.
    Unsettled, ///< Start order without an answer; it may still take effect.
    Running,
    Stopping, ///< Stop order sent; the worker has not listed the end yet.
    Done,
    Elsewhere, ///< Scheduled by another cell.
};

/// True while the task may occupy capacity of its worker.
inline bool isPlaced(TaskState state)
{
    return state == TaskState::Starting || state == TaskState::Unsettled
           || state == TaskState::Running || state == TaskState::Stopping;
}

/// A task and what its owner knows about its current run.
struct CellTask
{
    TaskState state = TaskState::Pending;
    CellWorker *worker = nullptr;          ///< Set exactly while isPlaced(state).
    std::uint32_t run = 0;                 ///< Number of the latest run.
    std::vector<std::uint32_t> failedRuns; ///< Numbers of the runs that failed.
    FailureHistory failures;               ///< Of a gang at its first task.
    CrashHistory crashes;
    TimePoint suspectSince{};         ///< Latest crash that it may have caused; zero if none.
    std::string crashAddress;         ///< Of the worker of that crash; not recorded.
    std::int64_t startDeadlineMs = 0; ///< On the worker's clock.
    /// When the worker accepted the start, on its clock; unset while that isn't known.
    std::optional<std::int64_t> acceptedMs;
    Epoch startFence = 0;    ///< Fencing token of the start.
    TimePoint startSentAt{}; ///< Latest start order.
    /// A worker that may yet carry out an earlier start, which has had no answer.  Until \a end
    /// the task may start nowhere else: what that worker runs ends before a later incarnation of
    /// it could carry the order out.
    struct OpenStart
    {
        WorkerId worker;
        TimePoint end{};
    };
    std::optional<OpenStart> openStart;
    TimePoint startedAt{};     ///< Acceptance of the start, or first report that lists the run.
    TimePoint stopSentAt{};    ///< Latest stop order.
    TimePoint stopOrderedAt{}; ///< First stop order of this run.
    TimePoint paceChangedAt{}; ///< Latest change of pace.
    /// Latest sign of progress, on the worker's clock; a change of pace counts as one.
    std::int64_t progressMs = 0;
    TimePoint notBefore{};    ///< Earliest time of the next start.
    TimePoint waitingSince{}; ///< Long-running tasks: since when it waits for a worker; else zero.
    TimePoint recordedWait{}; ///< waitingSince in the latest progress record of the job.
    std::optional<PlaceWait> placeWait; ///< Of a pending task, or of a gang at its first task.
    TimePoint movedAt{};                ///< Latest stop that Defragmenter ordered; zero if none.
    TimePoint nextWaitReport{}; ///< Earliest next log line about the wait; valid while it waits.
    std::uint64_t lastListedReport = 0; ///< Latest report with the run, by reportCount.
    /// An earlier run has ended as done: the task is done once the present one has left its worker.
    bool hasEarlierEnd = false;
    bool isEarlierEndDurable = false; ///< The store holds that; the present run is stopped.
    int percent = 0;
    int pace = 100;              ///< Percent of its demand that a filler may use.
    bool isPaceKnown = true;     ///< False if an order of an earlier owner may have set another.
    double usage = 0.0;          ///< As RunningTask::usage.
    double logTailRatio = 0.0;   ///< Serving tasks: smoothed ln(tail latency / target).
    bool hasTailRatio = false;   ///< logTailRatio is valid.
    TimePoint recoveredSince{};  ///< Start of the recovery from a missed target; zero while missed.
    TimePoint overTargetSince{}; ///< Serving tasks: when the target was first missed; else zero.
    std::string checkpoint;
    std::optional<int> guest;         ///< Cell that this cell delegated the task to.
    bool isDelegationDurable = false; ///< The store holds \a guest.
    /// In a guest's part: no run before the delegation has a higher number.  Of a task that guests
    /// have given back: no run there has.
    std::uint32_t firstRun = 0;
    TimePoint acceptedAt{}; ///< In a guest's part: when this owner took the task over; else zero.
};

/// The tasks of one step in one occurrence.
struct StepRun
{
    std::vector<CellTask> tasks;
    std::uint32_t doneCount = 0;
    std::uint32_t pendingCount = 0;   ///< Tasks in state Pending.
    std::uint32_t elsewhereCount = 0; ///< Tasks in state Elsewhere.

    bool isDone() const { return doneCount == tasks.size(); }
};

/// One execution of a job: the only one, or one of the repetitions of a scheduled job.
struct Occurrence
{
    std::vector<StepRun> steps;
    std::int64_t dueUnixMs = 0; ///< 0 for a job that isn't scheduled.

    bool isDone() const { return std::ranges::all_of(steps, &StepRun::isDone); }
};

/// What the guest, another cell, has confirmed of the tasks of one job that were delegated to it.
struct DelegationStatus
{
    bool isRequestOpen = false;
    bool isRevoking = false;        ///< The open request revokes the delegation.
    bool isDue = true;              ///< The guest may lack tasks of this delegation.
    std::size_t requestedCount = 0; ///< Tasks in the open request.
    std::size_t acceptedCount = 0;  ///< Tasks in the latest request that the guest has accepted.
    TimePoint nextRequest{};        ///< Earliest time of the next request.
};

/// A task of a guest's part that was given back and that its home may not have taken yet.
struct TaskReturn
{
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    bool isDurable = false;   ///< The store holds the return.
    bool isRequested = false; ///< Part of the open request.
};

/// Requests of a guest to the home of a job to take tasks back.
struct ReturnStatus
{
    bool isRequestOpen = false;
    TimePoint nextRequest{}; ///< Earliest time of the next request.
    std::vector<TaskReturn> tasks;
};

/// A job of the cell with its progress, or the part of another cell's job that was delegated here.
struct CellJob
{
    JobId id;
    JobSpec spec;
    std::vector<ImageIndex> images; ///< By step.
    std::int64_t submittedAtUnixMs = 0;
    JobState state = JobState::Queued;
    JobState durableState = JobState::Queued; ///< Latest state that the store holds.
    bool isDurable = false;                   ///< The store holds the submission.
    bool isStarted = false;                   ///< Some task has been placed.
    bool isFromEarlierOwner = false;          ///< Restored from the store.
    std::int64_t finalAtUnixMs = 0;           ///< When the state became final; 0 before.
    TimePoint objective{};                    ///< The job counts as late from here on.
    TimePoint deprioritizedAt{};              ///< The job ranks last of its priority from here on.
    std::vector<Occurrence> occurrences;      ///< Occurrences that are due.
    std::uint32_t placedCount = 0;            ///< Tasks for which isPlaced() holds.
    std::uint32_t unstoredCrashRecords = 0;   ///< Records of new crashes that aren't durable yet.
    /// Batch jobs: since when none is placed though one could start; else zero.
    TimePoint idleSince{};
    std::map<int, DelegationStatus> delegations; ///< Tasks that other cells schedule, by cell.
    /// Called with true once all delegations of a final job are revoked, or with false at the end
    /// of the ownership.
    std::vector<std::function<void(bool)>> onRevoked;
    /// True for a part of another cell's job: clients' requests about the job don't belong here,
    /// and all tasks but those in acceptedTasks are Elsewhere.
    bool isGuestPart = false;
    std::vector<TaskProgress> acceptedTasks; ///< As in the record of the delegation.
    std::optional<int> home;                 ///< Of a guest's part: the cell of the job, if known.
    ReturnStatus returns;

    std::uint32_t occurrenceCount() const { return std::max<std::uint32_t>(1, spec.repetitions); }
    /// True for a job with due times.
    bool isScheduled() const { return spec.repetitions > 0; }
    std::int64_t startAtUnixMs(std::int64_t occurrence) const
    {
        return spec.startAtUnixMs + occurrence * spec.intervalMs;
    }
    /// Estimated length of the critical path through the unfinished steps of the latest due
    /// occurrence.
    Duration remainingCriticalPath() const;
    /// Processor demand of the unfinished tasks of due occurrences whose step is ready, as
    /// fractions of \a milliCpu.
    CellLoad outstandingDemand(double milliCpu) const;
    /// Estimated length of the critical path of one whole occurrence.
    static Duration criticalPathOf(const JobSpec &spec);
    bool isLongRunning() const { return std::ranges::any_of(spec.steps, &StepSpec::isLongRunning); }
};

/// Reference to a task by its position in the job.
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
    /// The task that counts its failures: of a gang, whose tasks fail together, the first one.
    TaskRef failureCounter() const { return {job, occurrence, step, spec().isGang ? 0 : index}; }
    const FailureHistory &failures() const { return failureCounter().task().failures; }
    /// True for a task that has run before, so that its clients miss it while it doesn't run.
    bool hasRunBefore() const { return task().run > 0 || job->isFromEarlierOwner; }
    /// True while only one worker may start the task, see CellTask::openStart.
    bool hasOpenStart(TimePoint now) const
    {
        return task().openStart && now < task().openStart->end;
    }
    bool operator==(const TaskRef &) const = default;
};

/// How soon the next report of a worker is needed.
enum class ReportUrgency {
    Normal,
    Elevated, ///< Fillers share the worker with serving tasks.
    High,     ///< Besides, a serving task exceeds its latency target.
};

/// A worker of the cell with its lease and its placed tasks.
struct CellWorker
{
    WorkerDescription info;
    bool isRegistered = false;      ///< Currently listed by the platform.
    bool hasLeft = false;           ///< The platform's list, once read, doesn't hold it.
    bool isRecorded = false;        ///< The cell's topic holds its record, without limits.
    bool isRestored = false;        ///< This owner has read a record of it from the cell's topic.
    std::uint64_t recordNumber = 0; ///< Latest record that this owner has put; 0 if none.
    TimePoint recordedAt{};         ///< When \a record was put or restored.
    std::optional<WorkerRecord> record; ///< As restored or last put; unset if there is none.
    /// The cell's topic may hold a record that limits its lease.
    bool isLeaseLimited = false;
    /// By the restored record: the only tasks that it may run; unset if any.
    std::optional<std::vector<TaskName>> restoredTasks;
    TimePoint earlierLeaseEnd{}; ///< When the leases of earlier owners are over.
    /// Starts of earlier owners that the restored record names and no report has shown.
    std::vector<OrderedStart> restoredStarts;
    TimePoint earlierStartsEnd{}; ///< When they can't take effect any more.
    /// The same of those that were open starts of an earlier owner already.
    TimePoint earlierOpenStartsEnd{};
    TimePoint listedAt{};          ///< First listed with an address that wasn't recorded; or zero.
    bool isContacted = false;      ///< Has answered a renewal of this owner.
    bool hasListedAllEnds = false; ///< Has sent this owner a report that omits no ended run.
    /// Its latest report lists runs that belong to no task in \a tasks and are being stopped.
    bool hasUntrackedRuns = false;
    ResourceVector untracked; ///< Reservations of those runs, as far as their tasks are known.
    bool isEvacuated = false; ///< Its zone is evacuated: what runs goes on, nothing new starts.
    std::int64_t incarnationStartUnixMs = 0;
    /// Latest start that the platform has listed and no report had shown.
    std::int64_t suspectedStartUnixMs = 0;
    Epoch fenceRaises = 0;      ///< Added to the owner's epoch in the fencing token of its orders.
    Epoch incarnationFence = 0; ///< Lowest fencing token of the starts meant for it.
    /// Lowest fencing token of the orders since its latest restart, seen or suspected.
    Epoch restartFence = 0;
    Epoch renewalFence = 0;   ///< Fencing token of the latest renewal.
    Epoch reportFence = 0;    ///< The same of the latest report: it refuses orders with lower ones.
    std::int64_t clockMs = 0; ///< Reading of the worker's clock at clockAt.
    TimePoint clockAt{};
    std::int64_t grantedDeadlineMs = 0; ///< Latest deadline sent, on the worker's clock.
    /// When the leases are over that orders meant for an earlier incarnation may have granted to a
    /// later one; zero if there are none.
    TimePoint earlierGrantsEnd{};
    /// A task for which CellTask::openStart names this worker.
    struct OpenStart
    {
        TaskName task;
        TimePoint end{};
        ResourceVector reservation; ///< Of the task, whose job may be gone before \a end.
    };
    std::vector<OpenStart> openStarts;
    bool hasNewStarts = false; ///< Starts were sent since its record was last updated.
    /// A task could have started here but for isAcknowledging().
    mutable bool hasDeferredStart = false;
    std::uint64_t processedEndNumber = 0;    ///< Highest EndedRun::number applied to the jobs.
    std::uint64_t journaledEndNumber = 0;    ///< Highest number whose records are in the journal.
    std::uint64_t durableEndNumber = 0;      ///< Highest number whose records are durable.
    std::uint64_t acknowledgedEndNumber = 0; ///< By the latest renewal; 0 if by none.
    std::uint64_t forgottenEndNumber = 0;    ///< The worker has forgotten its ends up to this.
    bool isRestartSuspected = false;         ///< Its clock went back; the next report decides.
    bool isRenewing = false;                 ///< A renewal awaits its answer.
    TimePoint nextRenewal{};
    std::uint32_t renewFailures = 0; ///< Consecutive failed renewals.
    std::int64_t lastSignMs = 0;     ///< Latest reading of its clock in any answer.
    TimePoint silentSince{};         ///< First failed renewal since its last answer; else zero.
    bool isReplaced = false;         ///< Another incarnation has answered at its address.
    bool isRefusing = false;         ///< No process has listened there since its last answer.
    std::uint64_t reportCount = 0;   ///< Reports applied by this owner.
    ResourceVector reserved;         ///< Capacity reserved by placed tasks.
    ResourceVector held;             ///< Capacity kept for other tasks, by CapacityReservations.
    ResourceVector heldDeferred;     ///< The part of \a held whose tasks can't start yet.
    ResourceVector heldForRunning;   ///< The part of \a held whose tasks still run elsewhere.
    std::int64_t fillerCpu = 0;      ///< Demand of the placed fillers, in thousandths of a core.
    std::int64_t longRunningCpu = 0; ///< CPU reserved by long-running tasks, same unit.
    bool hasFreedCapacity = false;   ///< A task has left it since the last look for a next one.
    std::vector<TaskRef> tasks;      ///< Placed tasks.
    TimePoint avoidUntil{};          ///< No placements before this time, after a failed start.
    /// No placements before this time, as it seems to fail whatever it runs.
    TimePoint failurePauseUntil{};
    std::vector<TaskName> failedTasks; ///< Tasks with failed or stuck runs since its last success.
    TimePoint lastFailure{};           ///< Latest failed or stuck run.
    /// No placements before this time but of the job whose suspect is observed here.
    TimePoint observedUntil{};
    JobId observedJob;
    TimePoint noFillersUntil{}; ///< No placements of fillers before this time.
    TimePoint trialUntil{};     ///< No other trial of FillerTrials before this time.
    /// No placements of fillers before this time but of the job that FillerSharing keeps it for.
    TimePoint fillersKeptUntil{};
    JobId fillersKeptFor;
    /// Predicted tail latency of one serving task.
    struct ServingForecast
    {
        ImageIndex image = 0;
        double expected = 0;    ///< ln(tail latency / target).
        double probability = 0; ///< Of exceeding the target.
    };
    std::vector<ServingForecast> forecasts; ///< Cache of InterferenceGuard.
    bool isForecastValid = false;           ///< Cleared on a placement, release or report.
    TimePoint forecastAt{};
    ReportUrgency reportUrgency = ReportUrgency::Normal;
    TimePoint nextAdjustment{}; ///< Earliest next adjustment of the fillers.

    /// Lower bound of the worker's clock at \a now, in ms, given that the clock may be 2 % slow.
    std::int64_t clockAtLeast(TimePoint now) const
    {
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - clockAt);
        return clockMs + elapsed.count() * 98 / 100;
    }
    /// When everything that runs here has ended unless its lease is renewed, as an upper bound.
    TimePoint leaseEnd() const;
    /// When an unanswered start of \a task can't take effect here any more, unless the worker
    /// answers first; zero if there is none.  The lease doesn't bound it: an unseen restart has
    /// reset the clock to which its deadline refers.
    TimePoint startEnd(const CellTask &task) const;
    /// The same of all starts, also of those by earlier owners that the restored record names.
    TimePoint startsEnd() const;
    /// The latest end of \a openStarts; zero if there are none.
    TimePoint openStartsEnd() const;
    /// Another incarnation than the known one may have got orders of before until \a now.  The
    /// deadlines sent so far grant it the longest lease, since its clock began anew.
    void extendEarlierGrants(TimePoint now, Duration maxLease);
    /// Upper bound of the time for which such a lease lasts.
    static Duration longestGrant(Duration maxLease);
    /// True if the incarnation that has reported last refuses all orders of before its start.
    bool refusesEarlierOrders() const { return reportFence >= restartFence; }
    /// True while an acknowledgement is under way.  A start sent now could overtake it, and the
    /// next incarnation could carry out both: it would forget an end that no report has listed.
    bool isAcknowledging() const { return isRenewing && acknowledgedEndNumber > 0; }
    /// True while the worker, or a later incarnation of it, may carry out a start that no answer
    /// or report has confirmed; then it must forget no ended run.
    bool mayCarryOutStarts(TimePoint now) const
    {
        return unconfirmedStarts() > 0
               || std::ranges::any_of(openStarts,
                                      [now](const OpenStart &it) { return now < it.end; });
    }
    /// Time that a placed task is known to have run here, in ms; none if its start isn't confirmed.
    std::optional<std::int64_t> survivedMs(const CellTask &task) const
    {
        return task.acceptedMs
                   ? std::optional(std::max<std::int64_t>(0, lastSignMs - *task.acceptedMs))
                   : std::nullopt;
    }
    /// Number of placed tasks whose start isn't confirmed.
    std::size_t unconfirmedStarts() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            tasks, [](const TaskRef &it) { return !it.task().acceptedMs.has_value(); }));
    }
    /// Log text on the end of the run of \a task here, which the worker hasn't reported.
    std::string describeLoss(const CellTask &task, TimePoint now) const;
    /// Log text on what leaseEnd() counts on: whose grants, and the time left at \a now.
    std::string describeLease(TimePoint now) const;
    /// True while it takes no tasks after failures.
    bool isPaused(TimePoint now) const { return std::max(avoidUntil, failurePauseUntil) > now; }
    /// False while it should only finish what runs.
    bool acceptsTasks() const { return !info.isDraining && !isEvacuated; }
    /// True if new tasks may start here, as far as it has room for them.
    bool isUsable() const
    {
        return isRegistered && isContacted && isRecorded && refusesEarlierOrders()
               && acceptsTasks();
    }
    /// Room for new tasks.  Runs that are being stopped keep theirs, and so does each task that an
    /// unanswered start may yet begin here.
    ResourceVector freeRoom() const;
};

} // namespace firefly
