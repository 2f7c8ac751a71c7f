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
///
/// Silence alone marks nothing, since a worker that is cut off or answers late is silent too: the
/// loss waits until an answer shows whether the worker has crashed.
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
        Down,    ///< The lease ended, and no process listens at the worker's address.
        Silent,  ///< The lease ended without an answer; the worker may be up.
    };

    /// Marks the tasks in \a lost, the lost runs on \a worker, that may have crashed it; call
    /// before they are released.  Returns the tasks whose history changed.  O(workers + tasks on
    /// silent workers).
    std::vector<TaskRef> onRunsLost(const CellWorker &worker, std::span<const TaskRef> lost,
                                    Loss loss, TimePoint now);
    /// Decides on earlier silent losses by an answer of \a worker: it clears its own, if it is the
    /// incarnation that lost the runs, and proves the crash of earlier incarnations and of earlier
    /// workers at its address.  Returns the tasks whose history changed.  O(undecided losses).
    std::vector<TaskRef> onAnswer(const CellWorker &worker, TimePoint now);
    /// The same by an answer of another incarnation at the address of \a worker.
    std::vector<TaskRef> onReplaced(const CellWorker &worker, TimePoint now);
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

    void reset()
    {
        m_losses.clear();
        m_undecided.clear();
    }

private:
    struct RecentLoss
    {
        WorkerId worker;
        TimePoint silentSince{};
        bool hasFreshTasks = false;
    };

    static bool isFresh(const CellTask &task, const CellWorker &worker);
    static bool hasFreshTasks(const CellWorker &worker);
    /// True if some runs were lost in the silence of \a worker since \a silentSince.
    bool isJudged(const WorkerId &worker, TimePoint silentSince) const;
    /// Whether other workers fell silent together with one.
    enum class Coincidence {
        None,
        Crowd,       ///< Several did, maybe for the same reason.
        CommonCause, ///< Several did without a fresh task, so that no task was the reason.
    };
    Coincidence findCoincidence(const CellWorker &worker, TimePoint silentSince, TimePoint now);

    /// A silent loss of which no answer has told yet whether the worker has crashed.
    struct UndecidedLoss
    {
        WorkerId worker;
        std::int64_t incarnationStartUnixMs = 0;
        Endpoint endpoint;
        TimePoint lostAt{};
        Coincidence coincidence = Coincidence::None;
        std::vector<TaskName> fresh; ///< Tasks that the worker had just started.
    };
    /// Counts a crash at \a endpoint against \a ref, unless a common cause explains it.  True if it
    /// counts.
    static bool mark(const TaskRef &ref, const Endpoint &endpoint, Coincidence coincidence,
                     std::uint32_t evidence, bool isCertain, TimePoint now);
    /// Marks the tasks of the undecided losses for which \a isCrash holds, and forgets these
    /// losses.
    template <typename Predicate>
    std::vector<TaskRef> decide(Predicate isCrash, TimePoint now);

    CellState &m_state;
    std::deque<RecentLoss> m_losses; ///< In the order of their judgement.
    std::vector<UndecidedLoss> m_undecided;
};

} // namespace firefly
