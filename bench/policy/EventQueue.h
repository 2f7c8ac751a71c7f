#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <queue>
#include <utility>
#include <vector>

namespace firefly::bench {

/// Events in order of time, and of insertion at the same time.
template <typename Event>
class EventQueue
{
public:
    void push(TimePoint at, const Event &event) { m_heap.push({at, m_next++, event}); }
    bool isEmpty() const { return m_heap.empty(); }
    TimePoint nextTime() const { return m_heap.top().at; }

    Event pop()
    {
        Event event = m_heap.top().event;
        m_heap.pop();
        return event;
    }

private:
    struct Item
    {
        TimePoint at;
        std::uint64_t number;
        Event event;

        bool operator<(const Item &other) const
        {
            return std::pair(other.at, other.number) < std::pair(at, number);
        }
    };

    std::priority_queue<Item> m_heap;
    std::uint64_t m_next = 0;
};

} // namespace firefly::bench
