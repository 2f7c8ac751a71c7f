#pragma once

#include "Core.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace firefly::fakes {

/// Simulated clock and event queue; events run in the order of their time, then of their
/// scheduling.
class EventTimeline
{
public:
    TimePoint now() const { return m_now; }

    /// Schedules \a event at \a delay from now.
    void after(Duration delay, std::function<void()> event)
    {
        m_events.emplace(std::pair(m_now + delay, ++m_scheduled), std::move(event));
    }

    /// Runs every event due up to \a end and sets the clock to \a end.
    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.begin()->first.first <= end) {
            const auto it = m_events.begin();
            m_now = it->first.first;
            const auto event = std::move(it->second);
            m_events.erase(it);
            event();
        }
        m_now = end;
    }

private:
    TimePoint m_now{std::chrono::seconds(1)};
    std::uint64_t m_scheduled = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_events;
};

} // namespace firefly::fakes
