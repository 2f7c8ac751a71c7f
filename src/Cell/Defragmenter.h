#pragma once

#include "Cell/CapacityReservations.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace firefly {

/// Makes room for long-running tasks that no single worker can take although the cell as a whole
/// has enough free capacity.
///
/// It reserves a worker whose batch tasks end soon, or one from which one or two smaller
/// long-running tasks of at most the same priority can move to other workers; these restart as soon
/// as their worker has stopped them. The destinations are reserved before the stops, so moves don't
/// cause each other.
class Defragmenter
{
public:
    /// Chooses a worker with room for a task, other than the given one; null if there is none.
    using ChooseWorker =
        std::function<CellWorker *(const TaskRef &, TimePoint, const CellWorker *excluded)>;

    Defragmenter(CellState &state, CapacityReservations &reservations, ChooseWorker chooseWorker)
        : m_state(state)
        , m_reservations(reservations)
        , m_chooseWorker(std::move(chooseWorker))
    {}

    /// Makes room for some of the tasks \a waiting, which no worker can take: those that have run
    /// before first, then the ones that have waited longest.  Does nothing while enough other
    /// reservations are open.  O(workers x pairs of tasks on a worker).
    void makeRoom(std::vector<TaskRef> waiting, TimePoint now);

private:
    /// A worker that would have room for the task.
    struct Plan
    {
        CellWorker *worker = nullptr;
        std::vector<TaskRef> moved; ///< Tasks that have to move first.
        Duration wait{};            ///< Until the batch tasks that are in the way have ended.
    };

    /// A search that found no plan; it is not repeated for the same or a larger demand.
    struct FailedSearch
    {
        TaskName task;
        std::string service;
        ResourceVector demand;
        bool isDisplaced = false; ///< Tasks that have run before get more reservations and moves.
        bool isRestricted =
            false; ///< By a label or a limit per worker: says nothing of other steps.
        TimePoint retryAt{};
    };

    bool mayReserve(const TaskRef &ref, TimePoint now) const;
    bool isKnownToFail(const TaskRef &ref) const;
    /// Reserves a worker for \a ref and orders the moves that make room there; false if there is
    /// no way.
    bool makeRoomFor(const TaskRef &ref, TimePoint now);
    static CapacityReservations::Kind kindOf(const Plan &plan)
    {
        return plan.moved.empty() ? CapacityReservations::Kind::BatchEnds
                                  : CapacityReservations::Kind::Move;
    }
    std::vector<Plan> findPlans(const TaskRef &ref, TimePoint now) const;
    /// Appends the plans that move one task off \a worker, else those that move two.
    void addMoves(std::vector<Plan> &plans, const Plan &worker, const ResourceVector &room,
                  const ResourceVector &demand, std::span<const TaskRef> movable) const;
    std::int64_t findLargestFreeCpu(const TaskRef &ref) const;
    bool carryOut(const TaskRef &ref, const Plan &plan, TimePoint now);
    /// True if \a ref may be stopped to make room for \a waiting; O(tasks of the step).
    bool isMovable(const TaskRef &ref, const TaskRef &waiting, TimePoint now) const;
    /// Estimated time until a batch task ends, if it is known and short.
    static std::optional<Duration> timeToEnd(const TaskRef &ref);
    /// Largest number of open reservations of one kind, before one for \a ref.
    std::size_t maxReservations(const TaskRef &ref) const;

    CellState &m_state;
    CapacityReservations &m_reservations;
    ChooseWorker m_chooseWorker;
    std::vector<FailedSearch> m_failedSearches;
};

} // namespace firefly
