#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace firefly {

/// Span of time, in microseconds.
using Duration = std::chrono::microseconds;

/// Clock of the whole program that never goes back, usable with
/// `asio::basic_waitable_timer<Clock>`.
///
/// Tests call pause() once and then move time by advance(); the daemon never pauses it.
/// The deterministic modules do not read it: they take the time as an argument.
struct Clock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    /// Current time: the paused time when paused, else the machine's.
    static time_point now() noexcept;
    /// Time of the machine, read by \a readClock with the signature of clock_gettime.
    ///
    /// It counts the time in which the machine was suspended: leases run out meanwhile.
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
    /// Lets a paused clock follow the machine again.
    static void resume() noexcept;
};

/// Moment on the program's Clock.
using TimePoint = Clock::time_point;

} // namespace firefly
