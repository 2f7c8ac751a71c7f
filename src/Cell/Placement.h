#pragma once

#include "Cell/CapacityReservations.h"
#include "Cell/Defragmenter.h"
#include "Cell/FillerSharing.h"
#include "Cell/FillerTrials.h"
#include "Cell/InterferenceGuard.h"
#include "Cell/PlaceWaits.h"

#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace firefly {

/// Chooses workers for pending tasks and starts them.
class Placement
{
public:
    Placement(CellState &state, InterferenceGuard &interference)
        : m_state(state)
        , m_interference(interference)
        , m_reservations(state)
        , m_placeWaits(state, m_reservations)
        , m_defragmenter(state, m_reservations,
                         [this](const TaskRef &ref, TimePoint now, const CellWorker *excluded) {
                             return chooseWorker(ref, now, excluded);
                         })
        , m_fillerTrials(state, interference, m_reservations)
        , m_fillerSharing(state, interference, m_reservations)
    {}
    Placement(const Placement &) = delete;
    Placement &operator=(const Placement &) = delete;

    /// Starts pending tasks in the order of their jobs, as far as they fit; within a priority
    /// displaced tasks come first, in the order of their waits.
    /// O(pending tasks x workers).
    void run(TimePoint now, std::int64_t nowUnixMs);
    /// Starts tasks on the workers that a task has left, without a pass over all jobs: those with
    /// a reservation there, then the displaced tasks that precede all other pending ones, in the
    /// order of their waits.  O(workers + tasks + displaced tasks x such workers).
    void refill(TimePoint now, std::int64_t nowUnixMs);
    /// Starts the task \a ref, which has lost its run on \a worker, there again if it can run
    /// there; a gang, which starts as a whole, doesn't.  Returns whether it starts.
    bool restart(const TaskRef &ref, CellWorker &worker, TimePoint now);
    /// True if capacity is kept for \a ref.
    bool hasReservation(const TaskRef &ref) const { return m_reservations.contains(ref); }
    /// True if a pass is due for jobs of fillers without a run, even if nothing has changed.
    bool isIdleTurnDue(TimePoint now) const { return m_nextIdleTurn && now >= *m_nextIdleTurn; }
    /// Forgets what earlier passes left, since the state is another owner's.
    void reset()
    {
        m_reservations.clear();
        m_nextIdleTurn.reset();
        m_state.placeWaits.clear();
    }

private:
    /// Durable jobs with pending tasks.
    std::vector<CellJob *> pendingJobs() const;
    /// Sorts \a jobs by priority, displaced tasks (jobs with some come first), lateness, for
    /// overdue jobs whether any task is placed (those without come first), and objective.
    void sortJobs(std::vector<CellJob *> &jobs, TimePoint now) const;
    /// Adds to m_displaced the displaced tasks of \a jobs: long-running ones that have run before
    /// and have neither a worker nor a reservation.  Their wait begins now, unless it has begun.
    /// Sorts m_displaced by priority and begin of the wait.
    void findDisplaced(std::span<CellJob *const> jobs, TimePoint now, std::int64_t nowUnixMs);
    /// True for the first start of a long-running task while a displaced one may need the capacity.
    bool isHeldBack(const TaskRef &ref, TimePoint now) const;
    /// Starts the displaced task \a ref if it fits; members of a gang start by startGang() only.
    void startDisplaced(const TaskRef &ref, TimePoint now);
    /// Starts \a ref on \a worker, unless it should wait for the rack of its data.  Returns
    /// whether it starts.
    bool startOrAwaitRack(const TaskRef &ref, CellWorker &worker, TimePoint now);
    void startStep(CellJob &job, std::uint32_t occurrence, std::uint32_t step,
                   std::uint32_t maxStarts, TimePoint now);
    void startGang(CellJob &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now);
    /// Workers for all tasks of the gang of \a leader, on \a rack if one is given; empty if there
    /// is no room.  The tasks take the number \a run.
    std::vector<std::pair<TaskRef, CellWorker *>> chooseForGang(const TaskRef &leader,
                                                                std::uint32_t run, TimePoint now,
                                                                const std::string *rack = nullptr);
    /// As chooseForGang(), on the rack of its data or another one with room for all; empty if there
    /// is none.
    std::vector<std::pair<TaskRef, CellWorker *>>
    chooseRackForGang(const TaskRef &leader, std::uint32_t run, TimePoint now);
    /// Starts a task, or a gang, of the batch job among \a jobs that has had no run for longest and
    /// for some time at least, whatever its priority and lateness, of those that fit.  The
    /// pass has come to \a priority; displaced tasks of the following ones aren't overtaken.
    /// Returns the job; null if none has started.
    const CellJob *startLongestIdle(std::span<CellJob *const> jobs, int priority, TimePoint now,
                                    std::int64_t nowUnixMs);
    /// Updates the idle times of \a jobs, in the order of this pass, and logs at intervals why the
    /// one that has been idle for longest isn't started.  O(jobs x steps).
    void reportIdleJobs(std::span<CellJob *const> jobs, TimePoint now, std::int64_t nowUnixMs);
    /// Starts a filler of an idle job of \a jobs on trial, if one is due, and keeps workers for the
    /// fillers of others.
    void startIdleFillers(std::span<CellJob *const> jobs, TimePoint now, std::int64_t nowUnixMs);
    /// One filler, or gang of fillers, of each of \a jobs that has been idle for some time while
    /// much of the capacity of its service isn't reserved; the job that has been idle for longest
    /// comes first.  Updates m_nextIdleTurn.
    std::vector<TaskRef> findIdleFillers(std::span<CellJob *const> jobs, TimePoint now,
                                         std::int64_t nowUnixMs);
    void startReserved(TimePoint now);
    /// Starts tasks with an open start on the only worker that may take them, as its room for them
    /// is kept.
    void startBound(TimePoint now);
    /// Starts \a ref on the best of \a workers that can take it.  Returns whether it starts.
    bool startOnOneOf(std::span<CellWorker *const> workers, const TaskRef &ref, TimePoint now);
    /// Reserves free capacity for the long-running tasks that draining workers are about to end;
    /// displaced tasks may take it.  Other tasks move for them only while no displaced one waits.
    void reserveForEvacuated(TimePoint now);
    void onUnplaceable(const TaskRef &ref, TimePoint now);
    /// The best worker with room for \a ref.
    CellWorker *chooseWorker(const TaskRef &ref, TimePoint now,
                             const CellWorker *excluded = nullptr,
                             const std::string *rack = nullptr) const
    {
        return chooseWorkerBy(ref, now, &CapacityReservations::availableTo, excluded, rack);
    }
    /// The same, where \a available tells what \a ref may use of a worker.
    using Available = ResourceVector (CapacityReservations::*)(const TaskRef &,
                                                               const CellWorker &) const;
    CellWorker *chooseWorkerBy(const TaskRef &ref, TimePoint now, Available available,
                               const CellWorker *excluded = nullptr,
                               const std::string *rack = nullptr) const;
    /// As chooseWorker() for a long-running task that has run before.  Where nothing else fits it
    /// takes capacity that is kept for tasks that can't start yet, and gives up as many of these
    /// reservations as it needs.
    CellWorker *chooseWorkerForDisplaced(const TaskRef &ref, TimePoint now);
    /// Logs at intervals why the long-running task \a ref still waits; O(workers) per log line.
    void reportWait(const TaskRef &ref, TimePoint now) const;
    std::string describeObstacles(const TaskRef &ref, TimePoint now) const;
    /// Preference for \a worker, higher is better; none if the task must not run there.
    std::optional<double> score(CellWorker &worker, const TaskRef &ref, TimePoint now) const;
    void start(const TaskRef &ref, CellWorker &worker, std::uint32_t run, TimePoint now);
    /// Logs the wait of the long-running task \a ref, which is about to start on \a worker, and the
    /// displaced tasks with longer waits that fit there; O(displaced tasks).
    void reportStart(const TaskRef &ref, const CellWorker &worker, TimePoint now) const;

    /// A demand that fitted no worker in this pass, so that larger ones are skipped.
    struct UnplaceableDemand
    {
        std::string service;
        bool isFiller = false;
        ImageIndex image = 0; ///< Compared for fillers only.
        ResourceVector demand;
        bool isDisplaced = false; ///< Kept capacity didn't help either.
    };
    bool isKnownUnplaceable(const TaskRef &ref, TimePoint now) const;
    void recordUnplaceable(const TaskRef &ref);

    CellState &m_state;
    InterferenceGuard &m_interference;
    CapacityReservations m_reservations;
    PlaceWaits m_placeWaits;
    Defragmenter m_defragmenter;
    FillerTrials m_fillerTrials;
    FillerSharing m_fillerSharing;
    std::vector<UnplaceableDemand> m_unplaceable;
    TimePoint m_nextBatchWaitReport{}; ///< Earliest next log line about a batch task that waits.
    TimePoint m_nextIdleReport{};      ///< The same about idle batch jobs.
    std::uint32_t m_startsSinceIdleTurn = 0; ///< Of batch tasks.
    /// Earliest next turn of an idle job of fillers; unset if there is none.
    std::optional<TimePoint> m_nextIdleTurn;
    TimePoint m_lastIdleTurn{};
    std::vector<TaskRef> m_displaced; ///< Displaced tasks before the starts of this pass.
    std::vector<TaskRef> m_waiting; ///< Long-running tasks that no worker could take in this pass.
};

} // namespace firefly
