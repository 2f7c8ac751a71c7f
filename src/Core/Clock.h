#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace firefly {

/// Length of time, in microseconds.
using Duration = std::chrono::microseconds;

/// Monotonic clock of the program, usable with `asio::basic_waitable_timer<Clock>`.
///
/// Tests call pause() once and then move the time with advance(); the daemon never pauses it.
/// The deterministic modules do not read the clock: they take the time as an argument.
struct Clock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    /// Current time: the paused time while paused, otherwise the time of the machine.
    static time_point now() noexcept;
    /// Time of the machine, read with \a readClock, which has the signature of clock_gettime.
    ///
    /// Includes the time for which the machine was suspended, because leases expire meanwhile.
    template <typename ReadClock>
    static time_point machineTime(ReadClock readClock) noexcept
    {
        std::timespec time{};
        readClock(CLOCK_BOOTTIME, &time);
        const auto sinceBoot =
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
        return time_point(std::chrono::duration_cast<duration>(sinceBoot));
    }
    /// Stops the clock at \a at.
    static void pause(time_point at = time_point{}) noexcept;
    /// Moves a paused clock forward by \a by.
    static void advance(duration by) noexcept;
    /// Returns a paused clock to the time of the machine.
    static void resume() noexcept;
};

/// Point in time on Clock.
using TimePoint = Clock::time_point;

} // namespace firefly
