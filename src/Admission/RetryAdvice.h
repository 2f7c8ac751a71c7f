#pragma once

#include "Core/Clock.h"

#include <optional>
#include <string_view>

namespace firefly {

/// Number in [0, 1) by \a key, the same in every process.
double spreadOf(std::string_view key);

/// Chooses when the clients of an unavailable dependency, such as the store, should return.
///
/// The delay grows with the time that the outage has lasted so far, so that the few tries of one
/// client span outages of unknown length, and is jittered, so that the clients don't return as a
/// herd.
class RetryAdvice
{
public:
    /// Range of the delay as multiples of the time that the outage has lasted.
    struct Growth
    {
        double min = 0.0;
        double max = 0.0;
    };
    /// For clients that are refused at once: four tries, the first at the start of the outage,
    /// span 8 s: at 0, 1, 3 and 8 s or later.
    static constexpr Growth RefusedAtOnce{1.5, 2.5};
    /// For clients that each try kept waiting for a while.
    static constexpr Growth RefusedAfterWait{0.5, 1.0};

    explicit RetryAdvice(const Growth &growth)
        : m_growth(growth)
    {}

    /// Records a failure: begins an outage, or continues the current one.
    void onFailure(TimePoint now);
    /// Ends the outage.
    void onSuccess() { m_since.reset(); }
    /// Delay for the client of \a key, in whole seconds; one second without an outage.
    Duration delayFor(std::string_view key, TimePoint now) const;

private:
    Growth m_growth;
    std::optional<TimePoint> m_since; ///< Start of the outage.
    TimePoint m_latestFailure{};
};

} // namespace firefly
