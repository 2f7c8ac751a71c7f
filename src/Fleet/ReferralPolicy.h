#pragma once

#include "Cell/CellMessages.h"
#include "Core/Clock.h"
#include "Core/Id.h"

#include <deque>
#include <optional>
#include <span>

namespace firefly {

/// Decides at the owner of a job's home cell whether another cell gets the job.
///
/// The loads that cells publish are some hundred milliseconds old and all owners see the same ones.
/// To keep the loads from oscillating, a small difference refers only a fraction of the batch jobs,
/// and these are distributed over the less loaded cells in proportion to the gain.
///
/// A long-running task stays in its cell for life, and one that fails in a full cell can't be
/// started again there, even if another cell has room.  So long-running jobs are spread evenly: a
/// cell above the mean load refers just the excess, to the cells below the mean in proportion to
/// what they lack.  When many come at once, a job waits for HoldTime, and the published loads
/// include it, so that all owners decide by the same loads.
class ReferralPolicy
{
public:
    /// Longer than it takes until all owners have read a published load.
    static constexpr Duration HoldTime = std::chrono::milliseconds(400);
    /// Long-running jobs that come within this time of each other are held.
    static constexpr Duration HoldWindow = std::chrono::milliseconds(1000);

    /// Properties of a new job that decide which cell gets it.
    struct Job
    {
        JobId id;
        CellLoad load; ///< That the job would add to its cell.
    };

    /// The cell that should get the batch job \a job instead of its home with load \a own.
    /// \param others load that each cell publishes; unset for one that can't get the job.
    std::optional<int> chooseForBatch(const Job &job, const CellLoad &own,
                                      std::span<const std::optional<CellLoad>> others,
                                      TimePoint now);
    /// The cell that should get the long-running job \a job instead of cell \a home.
    /// \param loads load that each cell publishes, with that of \a home; unset for one that can't
    /// get the job.
    /// \param isHeld whether the published load of \a home includes the job.
    std::optional<int> chooseForLongRunning(const Job &job, std::size_t home, bool isHeld,
                                            std::span<const std::optional<CellLoad>> loads,
                                            TimePoint now);
    /// Load to assume for a cell without any worker for a job, so that one of \a others gets it.
    static CellLoad loadAbove(std::span<const std::optional<CellLoad>> others);
    /// Takes note of a new long-running job; true if it should be held.
    bool shouldHold(TimePoint now);

private:
    void dropReferralsBefore(TimePoint time);
    /// A job referred so recently that the load its new cell publishes may not include it yet.
    struct RecentReferral
    {
        TimePoint at{};
        int cell = 0;
        CellLoad load;
    };
    std::deque<RecentReferral> m_recent;
    std::optional<TimePoint> m_lastLongRunningAt;
};

} // namespace firefly
