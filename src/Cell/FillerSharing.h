#pragma once

#include "Cell/CapacityReservations.h"
#include "Cell/InterferenceGuard.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace firefly {

/// Shares the places of fillers among the batch jobs.
///
/// Keeps workers free of new fillers for idle jobs whose fillers find no unused processor time in
/// one piece, as smaller fillers take each piece that becomes free.  Where no piece becomes free in
/// time, jobs with several placed fillers give some up.
class FillerSharing
{
public:
    FillerSharing(CellState &state, InterferenceGuard &interference,
                  const CapacityReservations &reservations)
        : m_state(state)
        , m_interference(interference)
        , m_reservations(reservations)
    {}

    /// Keeps workers for \a fillers and for no others: those of idle jobs that could not start in
    /// this pass, one of each job, the longest idle first.  O(fillers x tasks of the cell).
    void update(std::span<const TaskRef> fillers, TimePoint now);
    /// True if a worker is kept for the fillers of \a job.  O(workers).
    bool hasWorker(const CellJob &job, TimePoint now) const;

private:
    /// Drops the claims on workers that have expired or whose job isn't among \a fillers.
    void dropClaims(std::span<const TaskRef> fillers, TimePoint now);
    /// Keeps as many workers as \a filler, or its gang, needs, and returns their number; none if
    /// \a limit isn't enough.
    std::size_t keepWorkers(const TaskRef &filler, std::size_t limit, TimePoint now);
    /// Stops fillers of other jobs on the workers that are kept for \a filler, unless those that
    /// are being stopped leave enough.
    void makeRoom(const TaskRef &filler, TimePoint now);
    /// The filler on the workers kept for \a filler that is to be stopped first, of a job that has
    /// others; null if there is none.
    std::optional<TaskRef> findSurplusFiller(const TaskRef &filler, TimePoint now) const;
    /// Tasks like \a filler that \a worker could take once the fillers there for which \a isOver
    /// holds have ended.
    template <typename IsOver>
    std::size_t countPlaces(const CellWorker &worker, const TaskRef &filler, TimePoint now,
                            const IsOver &isOver) const;

    CellState &m_state;
    InterferenceGuard &m_interference;
    const CapacityReservations &m_reservations;
};

} // namespace firefly
