#pragma once

#include "Cell/CapacityReservations.h"
#include "Cell/InterferenceGuard.h"

#include <optional>
#include <span>

namespace firefly {

/// Chooses workers for fillers of idle jobs that are expected to do harm on every worker.
///
/// An expectation that keeps all fillers of a job out of the cell is never corrected by
/// observations.  A trial starts one filler where the least harm is expected: InterferenceGuard
/// learns from the reports, and throttles or moves the filler if it does harm.
class FillerTrials
{
public:
    FillerTrials(CellState &state, InterferenceGuard &interference,
                 const CapacityReservations &reservations)
        : m_state(state)
        , m_interference(interference)
        , m_reservations(reservations)
    {}

    struct Trial
    {
        TaskRef filler;
        CellWorker *worker = nullptr;
        double expectedViolations = 0.0; ///< Serving tasks on the worker.
    };
    /// The first of \a fillers that some worker can take on trial, and the worker with the fewest
    /// expected violations; none while enough trials are under way.
    /// O(fillers x workers + tasks of the cell).
    std::optional<Trial> choose(std::span<const TaskRef> fillers, TimePoint now);
    /// Counts \a trial, whose filler starts.
    static void onStart(const Trial &trial, TimePoint now);

private:
    /// The workers that may take a trial, by the limits per cell, worker and serving image.
    std::vector<CellWorker *> findWorkers(TimePoint now) const;

    CellState &m_state;
    InterferenceGuard &m_interference;
    const CapacityReservations &m_reservations;
};

} // namespace firefly
