#pragma once

#include "Cell/CellState.h"

#include <vector>

namespace firefly {

/// Capacity of workers that is kept for single tasks until they start.
///
/// Other tasks can't use it.  A task holds at most one reservation.
class CapacityReservations
{
public:
    /// Time after which the capacity of a task that hasn't started is given back.
    static constexpr Duration Timeout = std::chrono::milliseconds(4000);

    explicit CapacityReservations(CellState &state)
        : m_state(state)
    {}

    /// What the kept capacity depends on.  Reservations of tasks that can't start yet, BatchEnds
    /// and RunEnds, are deferred: displaced tasks may take their capacity.
    enum class Kind {
        Free,      ///< It is free now.
        BatchEnds, ///< It becomes free as batch tasks end.
        Move,      ///< It becomes free as other tasks move.
        RunEnds,   ///< It is free, but the task still runs on a worker that it has to leave.
    };

    /// Keeps the demand of \a ref on \a worker for \a timeout.
    void add(const TaskRef &ref, CellWorker &worker, Kind kind, TimePoint now,
             Duration timeout = Timeout);
    /// Drops as many deferred reservations on \a worker as \a ref needs to start there, those of
    /// tasks that still run first.  \a ref must fit by availableWithDeferred().  Returns true if
    /// some were dropped.
    bool removeDeferred(const TaskRef &ref, CellWorker &worker);
    /// Drops the reservations whose task no longer needs one, whose worker takes no tasks any more,
    /// or whose time is up.  O(workers).
    void removeObsolete(TimePoint now);
    void remove(const TaskRef &ref);
    void clear() { m_entries.clear(); }

    bool contains(const TaskRef &ref) const;
    std::size_t size() const { return m_entries.size(); }
    std::size_t count(Kind kind) const;
    /// Number of other tasks of the step of \a ref that hold capacity of \a worker.
    std::size_t countOfStep(const TaskRef &ref, const CellWorker &worker) const;
    /// Tasks with a reservation that wait for their start.
    std::vector<TaskRef> pendingTasks() const;
    /// Capacity of \a worker that \a ref may use; components are negative as far as kept capacity
    /// isn't free yet.
    ResourceVector availableTo(const TaskRef &ref, const CellWorker &worker) const;
    /// The same, with the capacity of deferred reservations: those whose tasks can't start yet,
    /// until batch tasks or their own runs end.
    ResourceVector availableWithDeferred(const TaskRef &ref, const CellWorker &worker) const;

private:
    struct Entry
    {
        TaskName task;
        WorkerId worker;
        ResourceVector amount;
        Kind kind = Kind::Free;
        TimePoint expiresAt{};
    };

    static bool isDeferred(Kind kind) { return kind == Kind::BatchEnds || kind == Kind::RunEnds; }
    static void addHeld(CellWorker &worker, const Entry &entry);
    static void subtractHeld(CellWorker &worker, const Entry &entry);
    /// Workers and jobs may have been erased since the entry was made.
    bool isNeeded(const Entry &entry, TimePoint now) const;
    const Entry *find(const TaskName &task) const;

    CellState &m_state;
    std::vector<Entry> m_entries;
};

} // namespace firefly
