#pragma once

#include "Admission/BacklogAdmission.h"
#include "Cell/CellState.h"
#include "Cell/CrashDetector.h"
#include "Cell/GuestSelection.h"
#include "Cell/Placement.h"
#include "Cell/TaskLocation.h"
#include "Cell/WorkerRecords.h"
#include "Workload/JobRecords.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace firefly {

/// Scheduler of one cell, a partition of the jobs and workers that is controlled by one owner.
///
/// Does no I/O: inputs are function calls, outputs are takeActions() and the journal's batches.  An
/// owner calls beginOwnership(), then restore() for each record of the cell's topic, then
/// finishRestore().  Starts are not recorded: a new owner learns from the workers' reports what
/// runs, and starts tasks of an earlier owner's jobs only once no worker can still run them unseen.
class CellScheduler
{
public:
    /// \param cell number of the cell, which guests need to know.
    explicit CellScheduler(const CellBounds &bounds, int cell = 0);

    // Ownership

    /// Starts with an empty state; all orders of earlier owners have expired at \a locateUntil.
    void beginOwnership(Epoch epoch, TimePoint now, TimePoint locateUntil);
    /// Applies one record of the cell's topic.
    /// \throws JobRecordError for a record that can't be decoded; the state is unchanged then.
    void restore(std::string_view key, std::string_view value);
    /// Ends the restore; scheduling may begin.
    void finishRestore(TimePoint now, std::int64_t nowUnixMs);
    /// Drops all state; callbacks of pending requests are invoked.
    void endOwnership();
    /// Limits the deadlines of leases and starts to \a until, and starts no tasks from
    /// \a startsUntil on.
    void setOrdersUntil(TimePoint until, TimePoint startsUntil = TimePoint::max())
    {
        m_state.ordersUntil = until;
        m_state.startsUntil = startsUntil;
    }
    /// Starts no tasks until setEvacuatedZones() is called.
    void suspendStarts() { m_state.areStartsSuspended = true; }
    /// Starts no further tasks on workers of \a zones; what runs there goes on.  Lasts over changes
    /// of the ownership.  O(workers + pending actions).
    void setEvacuatedZones(std::set<std::string> zones);
    bool isFenced() const { return m_state.isFenced; }
    /// True if the ownership has to go on under a new epoch.
    bool needsNewEpoch() const { return m_state.needsNewEpoch; }
    Epoch epoch() const { return m_state.epoch; }

    // Clients

    /// Result of a client's request.
    enum class Verdict {
        Accepted,
        NotAccepted, ///< Not stored; never takes effect.
        Unknown,     ///< May have been stored and may take effect.
    };
    using OnVerdict = std::function<void(Verdict)>;
    /// Submits a job; a repeated submission of \a id shares the verdict of the first.
    void submit(const JobId &id, JobSpec spec, TimePoint now, std::int64_t nowUnixMs,
                const OnVerdict &onVerdict);
    /// Decides whether a new job should be submitted here, by the work that would be served before
    /// it.  O(jobs + tasks of started jobs) under load, O(workers) otherwise.
    BacklogAdmission::Decision admit(const JobId &id, const JobSpec &spec, TimePoint now);
    /// Refers the job \a id to \a cell; the verdict is Accepted once the referral is durable.
    void refer(const JobId &id, int cell, std::int64_t nowUnixMs, const OnVerdict &onVerdict);
    /// The cell that the job \a id was referred to, if the referral is durable.
    std::optional<int> referralOf(const JobId &id) const;
    bool isReferred(const JobId &id) const { return m_state.referrals.contains(id.value()); }
    /// Outstanding processor demand; full for a cell without workers.  O(jobs + workers + tasks of
    /// jobs with a waiting long-running task).
    CellLoad load() const;
    /// True if only evacuations keep all workers of \a service from new tasks.  O(workers).
    bool isEvacuated(const std::string &service) const;
    /// Processor demand that a new job would add, over all its steps.
    CellLoad loadOf(const JobSpec &spec) const;
    bool hasJob(const JobId &id) const;
    /// True if the job \a id may have been accepted, here or in the cell that it was referred to: a
    /// repeated submission must not be told that it never runs.
    bool isKnown(const JobId &id) const { return hasJob(id) || isReferred(id); }
    /// Cancels a job; false if there is none.  The verdict is Accepted once the cancel is durable
    /// here and in all cells that have tasks of the job.
    bool cancel(const JobId &id, TimePoint now, std::int64_t nowUnixMs, const OnVerdict &onVerdict);
    /// State that clients may see; a final state shows only once it is durable.
    std::optional<JobState> stateOf(const JobId &id) const;
    /// Number of accepted unscheduled jobs without a started task, by queue.
    std::map<std::string, int> pendingByQueue() const;

    // Delegation of long-running tasks to other cells

    /// Services with tasks that wait here long enough to run in another cell.  O(jobs).
    std::set<std::string> servicesToDelegate(TimePoint now) const;
    /// Delegates such tasks of \a service, as far as other cells have room.  As guest, gives tasks
    /// back to their homes that could go to another cell.
    ///
    /// \param cells what each cell publishes; unset for this one and for those that can't take
    /// tasks of \a service.
    void delegateTasks(const std::string &service, std::span<const std::optional<GuestOffer>> cells,
                       TimePoint now);
    /// Room for single tasks on the usable workers, by service.  O(workers).
    std::map<std::string, ServiceRoom> roomByService() const;
    /// Handles the answer to a DelegateTasks or RevokeDelegation for \a job; \a isAccepted is false
    /// if the request may not have taken effect.
    void onDelegationReply(const JobId &job, int guest, bool isAccepted, TimePoint now);
    /// Takes back the tasks in \a record that the guest has given back, as encoded by
    /// JobRecords::encodeDelegation().  The verdict is Accepted once that is durable, and also if
    /// there is nothing left to take.
    /// \throws JobRecordError
    void takeBackTasks(const JobId &job, std::string_view record, TimePoint now,
                       std::int64_t nowUnixMs, const OnVerdict &onVerdict);
    /// As guest: handles the answer to a ReturnTasks for \a job; \a isAccepted is false if the
    /// request may not have taken effect.
    void onReturnReply(const JobId &job, bool isAccepted, TimePoint now);
    /// Cells that have tasks of jobs of this cell.  O(jobs with delegations).
    std::set<int> guests() const;
    /// The cell \a guest has given up its tasks of \a jobs, which thereby fail.
    void onTasksGivenUp(int guest, std::span<const JobId> jobs, TimePoint now,
                        std::int64_t nowUnixMs);
    /// As guest: jobs whose tasks were given up here, as far as that is durable.  O(jobs).
    std::vector<JobId> givenUpJobs() const;
    /// As guest: takes over the tasks in \a record, as encoded by JobRecords::encodeDelegation().
    /// The verdict is Accepted once they are durable here; repeated requests add only new tasks.
    /// \throws JobRecordError
    void acceptTasks(const JobId &job, std::string_view record, TimePoint now,
                     std::int64_t nowUnixMs, const OnVerdict &onVerdict);
    /// As guest: stops all tasks of \a job that were delegated to this cell, and refuses to start
    /// any that come later.  The verdict is Accepted once that is durable.
    void revokeTasks(const JobId &job, TimePoint now, std::int64_t nowUnixMs,
                     const OnVerdict &onVerdict);

    // Workers

    /// The platform lists \a worker; a worker that is listed again keeps its tasks.
    void onWorkerListed(const WorkerDescription &worker, TimePoint now);
    void onWorkerGone(const WorkerId &id, TimePoint now);
    void onStartReply(const WorkerId &id, const TaskName &name, std::uint32_t run,
                      const OrderReply &reply, TimePoint now);
    void onStopOutcome(const StopTask &order, OrderOutcome outcome, TimePoint now);
    void onPaceOutcome(const PaceTask &order, OrderOutcome outcome, TimePoint now);
    /// Handles the answer to a renewal that was sent at \a sentAt.  \a report is empty unless
    /// \a outcome is Accepted.
    void onLeaseReport(const WorkerId &id, OrderOutcome outcome, const LeaseReport &report,
                       TimePoint sentAt, TimePoint now, std::int64_t nowUnixMs);

    /// Handles due times, lease expiry, stuck tasks, renewals and placement; call every
    /// TickInterval.
    void tick(TimePoint now, std::int64_t nowUnixMs);
    static constexpr Duration TickInterval = std::chrono::milliseconds(20);

    /// Returns and clears the actions to carry out.
    std::vector<CellAction> takeActions();
    CellJournal &journal() { return m_state.journal; }
    /// Number of starts that no answer or report has confirmed: they may still take effect.
    /// O(tasks on workers).
    std::size_t unconfirmedStarts() const;
    const CellState &state() const { return m_state; }
    const InterferenceGuard &interference() const { return m_interference; }

private:
    // Jobs

    /// Processor capacity of the workers that accept tasks, in thousandths of a core; at least 1.
    double usableMilliCpu() const;
    bool hasUsableWorkers() const;
    double evacuatedMilliCpu() const;
    /// As load(), also without workers.
    CellLoad outstandingLoad() const;
    static CellJournal::OnLost verdictOnLoss(OnVerdict onVerdict);
    void recordProgress(CellJob &job);
    std::vector<TaskProgress> progressOf(const CellJob &job) const;
    /// Records the waits of long-running tasks that have begun or ended, all at once, as far as
    /// due: the next owner continues them.
    void recordWaits(TimePoint now);
    void setClock(TimePoint now, std::int64_t nowUnixMs);
    std::int64_t toUnixMs(TimePoint time) const;
    /// The begin of a wait by its record; zero for none.
    TimePoint beginOfWait(std::int64_t unixMs) const;
    static void setObjective(CellJob &job, TimePoint submittedAt);
    void setImages(CellJob &job);
    Duration placementInterval() const;
    void restoreTasks(CellJob &job, const JobProgress &progress);
    void finalize(CellJob &job, JobState state, std::int64_t nowUnixMs);
    void stopTasks(CellJob &job);
    void sendStop(const TaskRef &ref);
    void sendStop(CellWorker &worker, const TaskName &name, std::uint32_t run);
    void addDueOccurrences(CellJob &job, std::int64_t nowUnixMs);
    /// Adds the first \a count occurrences of \a job, as far as they are missing.
    void addOccurrences(CellJob &job, std::uint32_t count);
    /// The task \a name, which has begun: its occurrence was due by the clock of an earlier owner,
    /// though it may not be by the clock of this one.
    std::optional<TaskRef> findBegunTask(const TaskName &name);
    void dropOldJobs(std::int64_t nowUnixMs);
    void dropOldReferrals(std::int64_t nowUnixMs);

    // Admission

    /// Batch tasks of one service that reserve processor time, or that fill.
    struct WorkQueue
    {
        std::string service;
        bool isFiller = false;
        auto operator<=>(const WorkQueue &) const = default; // NOLINT(modernize-use-nullptr)
    };
    /// Estimated core-seconds of one task of \a step.
    static double workOf(const StepSpec &step, const BacklogAdmission &admission);
    /// Estimated core-seconds of the unfinished tasks of \a job in \a queue: on workers, and
    /// others.
    struct RemainingWork
    {
        double placed = 0.0;
        double unplaced = 0.0;
    };
    RemainingWork remainingWork(const CellJob &job, const WorkQueue &queue,
                                const BacklogAdmission &admission) const;
    /// True if some worker has room for a first task of \a job.
    bool hasRoomFor(CellJob &job, TimePoint now) const;
    /// Tells the admission control of each queue whether its tasks wait, as far as due.  Call it
    /// while no placement pass is due, when a pending task needs capacity that isn't there.
    void updateWaiting(TimePoint now);
    void recordFinishedWork(const TaskRef &ref);

    // Delegation

    /// A pending task that another cell may take.
    struct DelegationCandidate
    {
        TaskRef task;
        TimePoint waitingSince{};
    };
    static bool isDelegable(const CellJob &job, std::uint32_t step);
    /// True if this cell, as guest, may give the pending task \a ref back.
    static bool isReturnable(const TaskRef &ref, TimePoint now);
    /// Tasks that wait here long enough, those that have run before first.  O(jobs + tasks of jobs
    /// with a waiting task).
    std::vector<DelegationCandidate> delegationCandidates(TimePoint now) const;
    /// Tasks of \a job that were delegated to \a guest, as far as that is durable.
    std::vector<TaskProgress> delegatedTasks(CellJob &job, int guest) const;
    void sendDelegations(TimePoint now);
    void sendDelegation(CellJob &job, int guest, DelegationStatus &status);
    void endDelegation(CellJob &job, int guest);
    void delegateTask(const DelegationCandidate &candidate, int guest, TimePoint now);
    /// Starts to give back \a tasks of the guest's part \a job.
    void giveBackTasks(CellJob &job, std::span<const TaskRef> tasks);
    void sendReturns(TimePoint now);
    void sendReturns(CellJob &job);
    /// Makes a task pending whose return is durable, unless it was delegated again.
    void beginReturnedTask(const TaskName &name);
    CellJob &addGuestPart(const JobId &id, const TaskDelegation &delegation, TimePoint now,
                          std::int64_t nowUnixMs);
    void recordGuestPart(const CellJob &job);
    void beginAcceptedTasks(CellJob &job, std::span<const TaskProgress> tasks);
    void restoreGuestPart(CellJob &job);

    // Workers

    void renewLeases(TimePoint now);
    void renewLease(CellWorker &worker, TimePoint now);
    /// Postpones judgements on silent workers if the last tick was long ago.
    void detectPause(TimePoint now);
    /// False while this process may have reports yet to read, and once another owner may have
    /// renewed the leases of workers that are silent here.
    bool canJudgeSilence(TimePoint now) const;
    /// True if at least half of the registered workers that ever answered reported lately;
    /// otherwise their silence may tell of this process or its link, not of them.  Updates
    /// m_hearingSince.
    bool hearsMostWorkers(TimePoint now);
    /// True if all renewals of \a worker have failed for as long as the longest lease, while other
    /// workers were heard without a break.  Its silence then isn't that of this process or its
    /// link.
    bool isSilentBesideOthers(const CellWorker &worker, TimePoint now) const;
    void expireLeases(TimePoint now, std::int64_t nowUnixMs);
    /// Those of \a tasks, placed on \a worker, whose loss doesn't count as one of an earlier
    /// incarnation: starts that were meant for it counted at its restart.
    static std::vector<TaskRef> runsOfLatestIncarnation(const CellWorker &worker,
                                                        std::span<const TaskRef> tasks);
    /// What has answered at the address of a worker instead of its latest incarnation.
    enum class Successor { SameId, OtherId };
    /// Releases the runs on \a worker that ended because \a successor has answered an order of
    /// \a sentAt.  Runs ordered since may belong to it, and so may those whose start isn't
    /// confirmed if it has the same id.
    void releaseEarlierRuns(CellWorker &worker, Successor successor, TimePoint sentAt,
                            std::int64_t nowUnixMs);
    /// Raises the fencing token of \a worker, which has restarted or seems to, and repeats the
    /// stops of unconfirmed starts, which the new incarnation doesn't know.
    void fenceEarlierOrders(CellWorker &worker);
    /// Raises the fencing token of \a worker, which gets no starts until it has answered an order
    /// under the new token and so refuses the orders of before.
    void raiseFence(CellWorker &worker);
    /// Lets only \a worker start the task \a ref until \a end, see CellTask::openStart.
    static void addOpenStart(const TaskRef &ref, CellWorker &worker, TimePoint end);
    /// Ends that for the tasks of \a worker.
    void clearOpenStarts(CellWorker &worker);
    void dropExpiredOpenStarts(CellWorker &worker, TimePoint now);
    /// Judges the starts of earlier owners that the record of \a worker names, by a \a report.
    void settleRestoredStarts(CellWorker &worker, const LeaseReport &report);
    bool mayStartTasks(TimePoint now) const;
    /// Records the new starts and sends those that are recorded, or have waited for that for long.
    void recordNewStarts(TimePoint now);
    /// Sends the unrecorded starts for which \a isDue holds.
    template <typename IsDue>
    void sendStarts(const IsDue &isDue);
    /// Releases the runs on \a worker, whose lease is over, but not those that may still start.
    void releaseTasks(CellWorker &worker, std::int64_t nowUnixMs);
    /// Records the \a suspects, whose crash histories have grown, and gives up the jobs of the
    /// convicted ones.
    void applySuspicions(std::span<const TaskRef> suspects, std::int64_t nowUnixMs);
    /// Records the crash histories of \a job; its suspects start again once they are stored.
    void recordCrashes(CellJob &job);
    /// Records that the \a run of \a ref failed or got stuck on \a worker.  Pauses the worker if
    /// that tells of it, and ends the pauses of others if it tells that the task is at fault.
    void recordFailure(const TaskRef &ref, CellWorker &worker, std::uint32_t run);
    /// Number of independent failures on \a worker since its last success, without those of tasks
    /// that fail on other workers too.  The tasks of one job count as one, except those of a step
    /// of which others have succeeded.
    std::size_t countIndependentFailures(const CellWorker &worker);
    void resendStops(CellWorker &worker, TimePoint now);
    /// Stops the tasks without progress, and pauses those that an earlier owner may have paused.
    void restartStuckTasks(CellWorker &worker, TimePoint now);
    /// Stops the tasks that a draining worker would not finish.
    void evacuate(CellWorker &worker);
    /// Takes back the start orders for evacuated workers that haven't been passed on yet.
    void withdrawStarts();

    // Reports

    void applyLeaseReport(CellWorker &worker, const LeaseReport &report, TimePoint sentAt,
                          TimePoint now, std::int64_t nowUnixMs);
    /// Logs that \a report is the first one of another incarnation of \a worker.
    void logIncarnation(const CellWorker &worker, const LeaseReport &report, TimePoint sentAt);
    void beginIncarnation(CellWorker &worker, std::int64_t incarnationStartUnixMs, TimePoint sentAt,
                          std::int64_t nowUnixMs);
    void applyRunningTask(CellWorker &worker, const RunningTask &row, TimePoint now);
    void applyEndedRun(CellWorker &worker, const EndedRun &row, TimePoint now,
                       std::int64_t nowUnixMs);
    void completeTask(const TaskRef &ref, std::int64_t nowUnixMs);
    /// Counts the end as done of \a run, which \a worker lists while a later run of the task is
    /// placed: that run is stopped once the store holds the end.
    void noteEarlierEnd(const TaskRef &ref, const CellWorker &worker, std::uint32_t run);
    /// Takes the task off its worker; one with an earlier end is done then.
    void releaseTask(const TaskRef &ref);
    void recordTaskFailure(const TaskRef &ref, const CellWorker &worker, std::uint32_t run,
                           std::int64_t nowUnixMs);
    void releaseMissingTasks(CellWorker &worker, const LeaseReport &report, TimePoint sentAt);
    void adjustFillers(CellWorker &worker, TimePoint now);
    void setPace(const TaskRef &ref, int percent, TimePoint now);
    void acknowledgeEndedRuns(CellWorker &worker, TimePoint now);
    /// Fences the orders of before, and asks \a worker at once, without waiting for the answer to
    /// the renewal in flight.
    void suspectRestart(CellWorker &worker, TimePoint now);
    /// Ends the ownership if \a outcome of an order with the token \a fence tells of another owner.
    void noteFencing(const WorkerId &id, OrderOutcome outcome, Epoch fence);
    void detectRestart(CellWorker &worker, const OrderReply &reply, TimePoint now);

    CellState m_state;
    InterferenceGuard m_interference;
    Placement m_placement{m_state, m_interference};
    WorkerRecords m_records{m_state};
    TaskLocation m_location{m_state};
    GuestSelection m_guests;
    CrashDetector m_crashDetector{m_state};
    std::map<WorkQueue, BacklogAdmission> m_admission;
    int m_cell;
    std::set<std::string> m_delegatingJobs;             ///< Jobs with delegations, by id.
    std::map<std::string, Epoch> m_fenceRaisesOfErased; ///< CellWorker::fenceRaises, by id.
    std::set<std::string> m_returningJobs; ///< Guests' parts with unconfirmed returns, by id.
    std::unordered_map<std::string, JobProgress> m_restoredProgress;
    TimePoint m_now{};                ///< Time of the latest input.
    std::int64_t m_unixMsAtZero = 0;  ///< Wall-clock time at the zero of the steady clock.
    std::uint64_t m_startBatches = 0; ///< Counts the calls of recordNewStarts() with new starts.
    TimePoint m_lastPlacement{};
    TimePoint m_lastCleanup{};
    TimePoint m_lastWaitingUpdate{};
    TimePoint m_lastModelRecord{};
    TimePoint m_lastWaitRecord{};
    TimePoint m_lastWorkerCheck{};
    TimePoint m_lastTick{};
    TimePoint m_judgeSilenceFrom{};
    /// Since when some registered worker has been heard at all times; unset while none is.
    std::optional<TimePoint> m_hearingSince;
};

} // namespace firefly
