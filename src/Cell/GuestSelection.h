#pragma once

#include "Cell/CellMessages.h"
#include "Core/Clock.h"

#include <deque>
#include <optional>
#include <span>

namespace firefly {

/// Chooses the cell that gets a long-running task for which its own cell has no room.
///
/// A cell with a worker that has the task's demand free comes first.  Otherwise a cell qualifies
/// whose long-running demand stays below that of the home: it can make room from its batch work,
/// and the task can't make it fuller than the home was.  If all cells are full, a displaced task
/// may wait in a cell with a shorter queue of such tasks.
class GuestSelection
{
public:
    /// The cell among \a cells that should take a task with \a demand, if there is one; of several,
    /// the one with the least long-running demand.
    /// \param homeLoad long-running demand of the home, as a fraction of its capacity.
    std::optional<int> choose(const ResourceVector &demand, double homeLoad,
                              std::span<const std::optional<GuestOffer>> cells, TimePoint now);
    /// The cell among \a cells with the least displaced demand per capacity, if a displaced task
    /// with \a demand should wait there rather than at home.
    ///
    /// The queues become even step by step: until a guest has published what it was given, a home
    /// moves no more than its share of the difference, as all others may move tasks there too.
    /// \param home current load of the home, with the task.
    std::optional<int> chooseShorterQueue(const ResourceVector &demand, const CellLoad &home,
                                          std::span<const std::optional<GuestOffer>> cells,
                                          TimePoint now);
    void reset() { m_recent.clear(); }

private:
    /// A task given away so recently that what its guest publishes may not include it yet.
    struct RecentTask
    {
        TimePoint at{};
        int guest = 0;
        ResourceVector demand;
    };
    void forgetOldTasks(TimePoint now);
    /// Demand of the recent tasks of \a guest.
    ResourceVector recentDemand(int guest) const;

    std::deque<RecentTask> m_recent;
};

} // namespace firefly
