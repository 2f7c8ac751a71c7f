#pragma once

#include "Cell/CellState.h"
#include "Cell/Placement.h"
#include "Workload/JobRecords.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace firefly {

/// Scheduler of one cell: a partition of the jobs and the workers that only its owner orders.
///
/// Without I/O: inputs are functions, outputs are actions() and the journal's batches.  An owner
/// begins with beginOwnership(), feeds what the cell's topic holds to restore() and ends with
/// restored().  Starts are not recorded: a new owner learns what runs from the workers' reports,
/// and starts a job of an earlier owner only once no worker can still run it unseen.
class CellScheduler
{
public:
    explicit CellScheduler(const CellBounds &bounds);

    // Ownership

    /// Begins with nothing; \a locateUntil is when every order of earlier owners has expired.
    void beginOwnership(Epoch epoch, TimePoint now, TimePoint locateUntil);
    /// \throws JobRecordError for a record that can't be decoded; the state is unchanged then.
    void restore(std::string_view key, std::string_view value);
    void restored(TimePoint now, std::int64_t nowUnixMs);
    /// Gives all state up; callbacks of undecided requests run.
    void endOwnership();
    /// Leases and starts are granted up to \a until at most.
    void setOrdersUntil(TimePoint until) { m_state.ordersUntil = until; }
    bool isFenced() const { return m_state.isFenced; }
    Epoch epoch() const { return m_state.epoch; }

    // Clients

    enum class Verdict {
        Accepted,
        NotAccepted, ///< Surely never runs.
        Unknown,     ///< May have been stored.
    };
    using OnVerdict = std::function<void(Verdict)>;
    void submit(const JobId &id, JobSpec spec, TimePoint now, std::int64_t nowUnixMs,
                const OnVerdict &onVerdict);
    /// Records that \a id belongs to \a cell from now on; the verdict is Accepted once that lasts.
    void refer(const JobId &id, int cell, std::int64_t nowUnixMs, const OnVerdict &onVerdict);
    /// The cell that a job was referred to, as far as that is durable.
    std::optional<int> referralOf(const JobId &id) const;
    bool isReferred(const JobId &id) const { return m_state.referrals.contains(id.value()); }
    /// What is open now; O(jobs + workers).
    CellLoad load() const;
    /// What a new job with all its steps would add.
    CellLoad loadOf(const JobSpec &spec) const;
    bool knows(const JobId &id) const { return m_state.jobs.contains(id.value()); }
    /// False when there is no such job.  The verdict is Accepted once the cancel is durable.
    bool cancel(const JobId &id, TimePoint now, std::int64_t nowUnixMs, const OnVerdict &onVerdict);
    std::optional<JobState> stateOf(const JobId &id) const;
    /// Accepted jobs without due times of which no task has started, by queue.
    std::map<std::string, int> pendingByQueue() const;

    // Workers

    /// \a worker is registered; a worker that is listed again keeps its tasks.
    void onWorkerListed(const WorkerDescription &worker, TimePoint now);
    void onWorkerGone(const WorkerId &id, TimePoint now);
    void onStartReply(const WorkerId &id, const TaskName &name, std::uint32_t run,
                      const OrderReply &reply, TimePoint now);
    void onStopOutcome(const WorkerId &id, const TaskName &name, std::uint32_t run,
                       OrderOutcome outcome, TimePoint now);
    void onPaceOutcome(const WorkerId &id, const TaskName &name, std::uint32_t run,
                       OrderOutcome outcome, TimePoint now);
    /// \a report is empty unless \a outcome is Accepted; \a sentAt is when the renewal left.
    void onLeaseReport(const WorkerId &id, OrderOutcome outcome, const LeaseReport &report,
                       TimePoint sentAt, TimePoint now, std::int64_t nowUnixMs);

    /// Due times, lease ends, stuck tasks, renewals and placement; call every TickInterval.
    void tick(TimePoint now, std::int64_t nowUnixMs);
    static constexpr Duration TickInterval = std::chrono::milliseconds(20);

    std::vector<CellAction> takeActions();
    CellJournal &journal() { return m_state.journal; }
    const CellState &state() const { return m_state; }
    const InterferenceGuard &interference() const { return m_interference; }

private:
    // Jobs

    double capacity() const;
    static CellJournal::OnLost lostVerdict(OnVerdict onVerdict);
    void recordProgress(CellJob &job);
    static std::vector<TaskProgress> progressOf(const CellJob &job);
    void setImages(CellJob &job);
    Duration placementInterval() const;
    void restoreTasks(CellJob &job, const JobProgress &progress);
    void finalize(CellJob &job, JobState state, std::int64_t nowUnixMs);
    void stopTasks(CellJob &job);
    void sendStop(const TaskRef &ref);
    void sendStop(CellWorker &worker, const TaskName &name, std::uint32_t run);
    void openDueOccurrences(CellJob &job, std::int64_t nowUnixMs);
    void dropOldJobs(std::int64_t nowUnixMs);
    void dropOldReferrals(std::int64_t nowUnixMs);

    // Workers

    void recordWorker(CellWorker &worker);
    TimePoint leaseEnd(const CellWorker &worker) const;
    void renewLeases(TimePoint now);
    void renewLease(CellWorker &worker, TimePoint now);
    void expireLeases(TimePoint now);
    void locateTasks(TimePoint now);
    void dropTasks(CellWorker &worker);
    void strike(CellWorker &worker, TimePoint now);
    void repeatStops(CellWorker &worker, TimePoint now);
    void restartStuckTasks(CellWorker &worker, TimePoint now);
    void evacuate(CellWorker &worker);

    // Reports

    void takeReport(CellWorker &worker, const LeaseReport &report, TimePoint sentAt, TimePoint now,
                    std::int64_t nowUnixMs);
    void beginIncarnation(CellWorker &worker, std::int64_t bornUnixMs, TimePoint sentAt);
    void takeRunning(CellWorker &worker, const RunningTask &row, TimePoint now);
    void takeEnded(CellWorker &worker, const EndedRun &row, TimePoint now, std::int64_t nowUnixMs);
    void takeDone(const TaskRef &ref, std::int64_t nowUnixMs);
    void takeFailed(const TaskRef &ref, const CellWorker &worker, std::uint32_t run,
                    std::int64_t nowUnixMs);
    void dropVanished(CellWorker &worker, TimePoint sentAt);
    void relieveServing(CellWorker &worker, TimePoint now);
    void acknowledgeEnds(CellWorker &worker, TimePoint now);
    void checkClock(CellWorker &worker, const OrderReply &reply, TimePoint now);

    CellState m_state;
    InterferenceGuard m_interference;
    Placement m_placement{m_state, m_interference};
    std::unordered_map<std::string, JobProgress> m_restoredProgress;
    TimePoint m_now{}; ///< Of the last input.
    TimePoint m_lastPlacement{};
    TimePoint m_lastCleanup{};
    TimePoint m_lastLessons{};
    TimePoint m_lastCare{};
};

} // namespace firefly
