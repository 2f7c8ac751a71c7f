#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace firefly {

/// A task, or a whole gang, that could start at once on workers where it runs slower.
struct PlacementOption
{
    Duration duration{};             ///< Expected duration near the data; zero if unknown.
    double farFactor = 1.0;          ///< How many times as long it takes elsewhere.
    Duration slack{};                ///< Time until its job would be late if it started near now.
    double contention = 0.0;         ///< How much a worker taken for longer denies others: 0 to 1.
    TimePoint since{};               ///< Since when it could have started; zero if unknown.
    std::optional<TimePoint> nearAt; ///< When a place near the data is expected to be free.
};

/// A wait for a place on a rack.
struct PlaceWait
{
    std::string rack;
    TimePoint since{}; ///< PlacementOption::since of its beginning.
    TimePoint begin{};
    TimePoint until{}; ///< When it is given up; never moved to a later time.
};

/// Decides how long a task waits for a place near its data (delay scheduling).
///
/// A wait pays as long as the task is expected to end sooner than elsewhere; while the cell is
/// busy, the time that a worker is occupied for longer counts as well.  Racks where waits were
/// lost lately are given less time.
class DelayScheduling
{
public:
    /// Limit of the waits, well under the 3 s after which a job with nothing running is lost.
    static constexpr Duration MaxWait = std::chrono::milliseconds(2000);

    /// Ended and begun waits of this owner.
    struct Counters
    {
        std::uint64_t begun = 0;
        std::uint64_t paid = 0;
        std::uint64_t lost = 0;
        Duration paidTime{}; ///< Sum of the waits that ended near the data.
        Duration lostTime{};
    };

    /// The wait of a task with \a option that waits for a place on \a rack, or would begin to;
    /// none if it starts elsewhere now.
    /// \param current the wait that it has begun, if any.
    std::optional<PlaceWait> decide(const std::string &rack, const PlacementOption &option,
                                    const std::optional<PlaceWait> &current, TimePoint now) const;

    void onBegun() { ++m_counters.begun; }
    /// \a wait has ended at \a now with a start on its rack if \a isPaid, elsewhere otherwise.
    void onEnded(const PlaceWait &wait, bool isPaid, TimePoint now);
    /// Share of the longest sensible wait that tasks spend on \a rack, from 0 to 1.
    double trust(const std::string &rack, TimePoint now) const;
    const Counters &counters() const { return m_counters; }
    /// Forgets the experience with the racks.
    void clear() { m_outcomes.clear(); }

private:
    /// Recent waits for one rack, decayed.
    struct Outcomes
    {
        double paid = 0.0;
        double lost = 0.0;
        TimePoint updatedAt{};
    };

    std::map<std::string, Outcomes> m_outcomes; ///< By rack.
    Counters m_counters;
};

} // namespace firefly
