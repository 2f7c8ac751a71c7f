#include "Core/Clock.h"

#include <atomic>

namespace firefly {
namespace {

constexpr Clock::rep NotPaused = -1;
std::atomic<Clock::rep> pausedAt{NotPaused};

} // namespace

TimePoint Clock::now() noexcept
{
    const rep paused = pausedAt.load();
    if (paused != NotPaused) {
        return time_point(duration(paused));
    }
    return machineTime(::clock_gettime);
}

void Clock::pause(time_point at) noexcept
{
    pausedAt = at.time_since_epoch().count();
}

void Clock::advance(duration by) noexcept
{
    pausedAt += by.count();
}

void Clock::resume() noexcept
{
    pausedAt = NotPaused;
}

} // namespace firefly
