#pragma once

#include "Core.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace firefly::fakes {

/// Simulated time with the events that are due on it, in order of time and of scheduling.
class EventTimeline
{
public:
    TimePoint now() const { return m_now; }

    void after(Duration delay, std::function<void()> event)
    {
        m_events.emplace(std::pair(m_now + delay, ++m_scheduled), std::move(event));
    }

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
