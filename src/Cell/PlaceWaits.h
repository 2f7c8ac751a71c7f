#pragma once

#include "Cell/CapacityReservations.h"
#include "Locality/RackForecast.h"

#include <map>
#include <set>
#include <string>

namespace firefly {

/// Waits of tasks for a place on the rack of their data, and of gangs for a whole rack.
///
/// Gathers the inputs of DelayScheduling from the cell's state, once a placement pass.
class PlaceWaits
{
public:
    PlaceWaits(CellState &state, const CapacityReservations &reservations)
        : m_state(state)
        , m_reservations(reservations)
    {}

    /// Forgets the forecasts of the last pass.
    void beginPass(std::int64_t nowUnixMs);
    /// True if \a ref, which could start on another rack than that of its data, waits for a place
    /// there.  O(workers and tasks of the rack).
    bool shouldWait(const TaskRef &ref, TimePoint now);
    /// True if the gang of \a leader, its first task, which could start on several racks, waits
    /// until one rack has room for all.  O(tasks of the gang x workers).
    bool shouldGangWait(const TaskRef &leader, TimePoint now);
    /// The task \a ref, or the gang that it leads, starts; \a isNear if that is where it waited
    /// for.
    void onStart(const TaskRef &ref, bool isNear, TimePoint now);
    /// Keeps the forecasts of this pass up to date with a start.
    void onPlaced(const TaskRef &ref, const CellWorker &worker, TimePoint now);
    /// True if tasks waited for a place on \a rack in the last pass, so that others should leave it
    /// to them.
    bool isContested(const std::string &rack) const { return m_contested.contains(rack); }
    /// True if \a ref, or the gang that it leads, runs slower on some workers than on others.
    bool isEligible(const TaskRef &ref) const;

private:
    /// Expected duration of the run of \a ref on \a worker.
    Duration expectedDuration(const TaskRef &ref, const CellWorker &worker) const;
    RackForecast &forecastOf(const std::string &rack, TimePoint now);
    /// True if nothing but a lack of room keeps \a ref off \a worker.
    bool canEverTake(const TaskRef &ref, const std::string &worker, TimePoint now) const;
    /// Utilisation of the workers of \a service, from 0 where longer runs deny others nothing to 1.
    double contention(const std::string &service);
    TimePoint possibleSince(const TaskRef &ref, TimePoint now) const;
    /// Decides about \a ref, for which \a nearAt is expected on \a rack, and keeps its wait.
    bool decide(const TaskRef &ref, const std::string &rack, std::optional<TimePoint> nearAt,
                TimePoint now);

    CellState &m_state;
    const CapacityReservations &m_reservations;
    std::int64_t m_nowUnixMs = 0;
    std::map<std::string, RackForecast> m_forecasts; ///< By rack; made when first needed.
    std::map<std::string, double> m_contention;      ///< By service, as contention().
    std::set<std::string> m_contested;               ///< Racks waited for in the last pass.
    std::set<std::string> m_waitedFor;               ///< Racks waited for in this pass.
};

} // namespace firefly
