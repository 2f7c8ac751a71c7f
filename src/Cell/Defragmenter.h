#pragma once

#include "Cell/CapacityReservations.h"

#include <functional>
#include <optional>
#include <vector>

namespace firefly {

/// Makes room for long-running tasks that no single worker can take although the cell as a whole
/// has enough free capacity.
///
/// It reserves a worker whose batch tasks end soon, or one from which a smaller long-running task
/// can move to another worker; that task restarts as soon as its worker has stopped it.  A move
/// always relocates a smaller task than the one it makes room for, and the destination is reserved
/// before the stop, so moves don't cause each other.
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

    /// Begins a placement pass.
    void beginPass(TimePoint now);
    /// Reserves a worker for \a ref, which needs one to run, and orders the move that makes room
    /// there, if any.  Does nothing while enough other reservations are open.
    /// O(workers x tasks on a worker).
    void makeRoom(const TaskRef &ref, TimePoint now);

private:
    /// A worker that would have room for the task.
    struct Plan
    {
        CellWorker *worker = nullptr;
        std::optional<TaskRef> moved; ///< Task that has to move first.
        Duration wait{};              ///< Until the batch tasks that are in the way have ended.
    };

    std::vector<Plan> findPlans(const TaskRef &ref, TimePoint now) const;
    bool carryOut(const TaskRef &ref, const Plan &plan, TimePoint now);
    bool isMovable(const TaskRef &ref, TimePoint now) const;
    std::optional<Duration> timeToEnd(const TaskRef &ref) const;
    std::size_t maxReservations(const TaskRef &ref) const;

    CellState &m_state;
    CapacityReservations &m_reservations;
    ChooseWorker m_chooseWorker;
    TimePoint m_retryAt{};  ///< No searches before this time, as the latest one found nothing.
    int m_searchesLeft = 0; ///< In this pass.
};

} // namespace firefly
