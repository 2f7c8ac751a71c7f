#pragma once

#include "Cell/CellState.h"

#include <cstddef>
#include <set>
#include <string>

namespace firefly {

/// Search of a new owner for the tasks that earlier owners have started.
///
/// Starts are not recorded: each worker with a record is asked what it runs.  A task that no report
/// lists becomes Pending once no worker that has yet to answer may run it, by the workers' records
/// and leases.  So does a task whose run fails meanwhile: its failures that the earlier owner
/// couldn't store are known to such workers only.
class TaskLocation
{
public:
    explicit TaskLocation(CellState &state)
        : m_state(state)
    {}

    /// Begins the search of an owner that has taken over at \a now.
    void begin(TimePoint now);
    /// Makes the tasks Pending that run nowhere, and ends the search if no worker is left to
    /// answer; \a canJudgeSilence as by CellScheduler.  O(workers), and every CheckInterval
    /// O(tasks).
    void update(TimePoint now, bool canJudgeSilence);
    /// When tasks last became Pending, or the search began.
    TimePoint resolvedAt() const { return m_resolvedAt; }

private:
    static constexpr Duration CheckInterval = std::chrono::milliseconds(100);

    /// Tasks that workers which have yet to answer may run.
    struct Hidden
    {
        std::set<TaskName> tasks;
        std::size_t workers = 0;
        bool mayBeAny = false;
    };
    Hidden findHidden(TimePoint now, bool canJudgeSilence);
    /// Returns the number of tasks that became Pending.
    std::size_t resolve(const std::set<TaskName> &hidden);
    void log(TimePoint now, std::size_t notFound, const Hidden &hidden) const;
    /// Logs once that the runs of earlier owners on the silent \a worker are taken for over.
    void logEarlierLeaseOver(const CellWorker &worker, TimePoint now);

    CellState &m_state;
    TimePoint m_begunAt{};
    TimePoint m_resolvedAt{};
    TimePoint m_nextCheck{};
    bool m_isPartlyLogged = false;
    std::set<std::string> m_expired; ///< Ids of the workers in logEarlierLeaseOver().
};

} // namespace firefly
