#pragma once

#include "Cell/CellState.h"

#include <deque>
#include <span>
#include <vector>

namespace firefly {

/// Finds the tasks that crash the workers that start them.
///
/// A crashed worker reports nothing, so the judgement rests on what the owner knew before: such a
/// task is among those that had just started.  Each crash marks all of these, whichever is at
/// fault.  A marked task starts again only apart from fresh tasks of other jobs, so that a second
/// crash either clears or convicts it.
class CrashDetector
{
public:
    /// A run that has survived this long, in ms, hasn't crashed its worker by its start.
    static constexpr std::int64_t FreshMs = 500;

    explicit CrashDetector(CellState &state)
        : m_state(state)
    {}

    /// Why the runs on a worker are lost.
    enum class Loss {
        Crashed, ///< Another incarnation of the worker has answered.
        Silent,  ///< The lease ended without an answer; the worker may have been cut off.
    };

    /// Marks the tasks in \a lost, the lost runs on \a worker, that may have crashed it; call
    /// before they are released.  Returns the tasks whose history changed.  O(workers + tasks on
    /// silent workers).
    std::vector<TaskRef> onRunsLost(const CellWorker &worker, std::span<const TaskRef> lost,
                                    Loss loss, TimePoint now);
    /// Clears the suspicion against \a ref, which runs on \a worker, as far as the latest answer of
    /// the worker proves that it survives.  True if its history changed.
    static bool onAlive(const TaskRef &ref, CellWorker &worker);
    /// Starts the observation of \a ref on \a worker if there is a suspicion against it.
    static void onStart(const TaskRef &ref, CellWorker &worker, TimePoint now);

    /// True if \a ref may start on \a worker without blurring who is to blame for a crash.
    /// O(tasks on the worker) for a suspect, else O(1).
    static bool isSeparable(const TaskRef &ref, const CellWorker &worker, TimePoint now);
    /// True if there is a suspicion against \a task.
    static bool isSuspect(const CellTask &task);
    /// True if \a worker is at the address of the latest crash under \a task: another crash there
    /// may as well be the machine's fault.
    static bool isAtCrashAddress(const CellTask &task, const CellWorker &worker);
    /// True if \a task has crashed workers beyond doubt, or too many to be started again.
    static bool isConvicted(const CellTask &task);

    void reset() { m_losses.clear(); }

private:
    struct RecentLoss
    {
        TimePoint silentSince{};
        bool hasFreshTasks = false;
    };

    static bool isFresh(const CellTask &task, const CellWorker &worker);
    /// Whether other workers fell silent together with one.
    enum class Coincidence {
        None,
        Crowd,       ///< Several did, maybe for the same reason.
        CommonCause, ///< Several did without a fresh task, so that no task was the reason.
    };
    Coincidence findCoincidence(const CellWorker &worker, TimePoint silentSince, TimePoint now);

    CellState &m_state;
    std::deque<RecentLoss> m_losses; ///< In the order of their judgement.
};

} // namespace firefly
