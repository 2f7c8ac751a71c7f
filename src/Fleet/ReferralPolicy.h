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
/// To keep the loads from oscillating, a small difference refers only a fraction of the jobs, and
/// these are distributed over the less loaded cells in proportion to the gain.
class ReferralPolicy
{
public:
    /// Differences of load from which on some jobs and all jobs are referred.
    struct Range
    {
        double min = 0.0;
        double full = 0.0;
    };
    static constexpr Range BatchRange{0.04, 0.25};
    /// A long-running task stays in its cell for life.  One that fails in a full cell can't be
    /// started again there, even if another cell has room.
    static constexpr Range LongRunningRange{0.02, 0.08};

    /// Properties of a new job that decide which cell gets it.
    struct Job
    {
        JobId id;
        CellLoad load; ///< That the job would add to its cell.
        bool isLongRunning = false;
    };

    /// The cell that should get \a job instead of its home with load \a own.
    /// \param others load that each cell publishes; unset for one that can't get the job.
    std::optional<int> choose(const Job &job, const CellLoad &own,
                              std::span<const std::optional<CellLoad>> others, TimePoint now);

private:
    /// A job referred so recently that the load its new cell publishes may not include it yet.
    struct RecentReferral
    {
        TimePoint at{};
        int cell = 0;
        CellLoad load;
    };
    std::deque<RecentReferral> m_recent;
};

} // namespace firefly
