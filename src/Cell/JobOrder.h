#pragma once

#include "Core/Clock.h"

#include <cstddef>
#include <span>
#include <vector>

namespace firefly {

/// Decides in which order waiting jobs get capacity when there is less of it than they ask for.
///
/// Earliest deadline first fails under overload: each job starts so late that it just misses its
/// objective, and none is in time.  So a job gets a place in the order of deadlines only if the
/// work before it leaves it time; one that is passed over is tried again with the end of its
/// usefulness as its deadline, and comes last if that can't be met either.
///
/// A job that doesn't fit takes the place of a later started one that asks for a multiple of its
/// work: otherwise one wide job makes many small ones late.  Jobs that have begun keep their place,
/// as their work would be wasted.
class JobOrder
{
public:
    /// A waiting job as its owner sees it.
    struct Job
    {
        std::size_t id = 0;            ///< Returned by sort().
        int priority = 0;              ///< 0 is the highest.
        std::size_t queue = 0;         ///< Jobs of different queues use separate capacity.
        bool isDisplaced = false;      ///< Has tasks that lost their worker; ranks first.
        bool isLongRunning = false;    ///< Ranks next, as its users notice a missing task at once.
        bool hasBegun = false;         ///< Some of its tasks run or are done.
        TimePoint objective{};         ///< In time until then.
        TimePoint usefulUntil{};       ///< No value for its client afterwards.
        Duration remainingPath{};      ///< Critical path through what is left.
        double remainingCoreSeconds{}; ///< Work of the tasks that aren't done.
    };

    /// Ids of \a jobs, those that should get capacity first at the front.  O(n^2) in the number of
    /// jobs of a queue that can't be in time, O(n log n) otherwise.
    ///
    /// \param rates core-seconds that each queue's jobs get done per second.
    static std::vector<std::size_t> sort(std::span<const Job> jobs, std::span<const double> rates,
                                         TimePoint now);
};

} // namespace firefly
