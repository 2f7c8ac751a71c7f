#pragma once

#include "Core/Clock.h"
#include "Workload/JobSpec.h"

#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace firefly {

/// What is known of a running task's remaining time.
struct RunProgress
{
    Duration expected{};             ///< Expected duration of the whole run; zero if unknown.
    std::optional<Duration> elapsed; ///< Unset if the start isn't known.
    int percent = 0;                 ///< Reported progress.
};

/// Expected time until the end of a run; none if nothing is known of it.
std::optional<Duration> expectedRemaining(const RunProgress &run);

/// When the workers of one rack are expected to have room, from the ends of what runs there.
///
/// A place that a task waits for is taken out of the forecast, so that the k-th waiting task gets
/// the k-th place.
class RackForecast
{
public:
    /// Room on a worker from a time on.
    struct Place
    {
        std::string worker;
        TimePoint at{};
    };

    /// Adds a worker with the room \a free, which may be negative, at \a now.
    void addWorker(std::string id, const ResourceVector &free, TimePoint now);
    /// The room of \a worker changes by \a amount at \a at; unknown workers are ignored.
    void addRoom(const std::string &worker, TimePoint at, const ResourceVector &amount);
    /// Takes \a demand from \a place for \a duration.
    void take(const Place &place, const ResourceVector &demand, Duration duration);
    /// The earliest place for \a demand among the workers for which \a isUsable(id) holds.
    /// O(workers + ends).
    template <std::predicate<const std::string &> IsUsable>
    std::optional<Place> findEarliest(const ResourceVector &demand, const IsUsable &isUsable) const
    {
        std::optional<Place> best;
        for (const Worker &it : m_workers) {
            if (!isUsable(it.id)) {
                continue;
            }
            const auto at = earliestOn(it, demand);
            if (at && (!best || *at < best->at)) {
                best = Place{it.id, *at};
            }
        }
        return best;
    }

private:
    /// A change of a worker's room.
    struct Change
    {
        TimePoint at{};
        ResourceVector amount;
    };
    struct Worker
    {
        std::string id;
        std::vector<Change> changes; ///< In order of time; the first is the room at the beginning.
    };

    /// When \a worker has room for \a demand that lasts through all known changes.
    static std::optional<TimePoint> earliestOn(const Worker &worker, const ResourceVector &demand);

    std::vector<Worker> m_workers;
};

} // namespace firefly
