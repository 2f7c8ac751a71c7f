#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <queue>
#include <utility>
#include <vector>

namespace firefly::bench {

/// Priority queue of events by time; events of the same time keep their insertion order.
template <typename Event>
class EventQueue
{
public:
    void push(TimePoint at, const Event &event) { m_heap.push({at, m_nextSequence++, event}); }
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
        std::uint64_t sequence;
        Event event;

        bool operator<(const Item &other) const
        {
            return std::pair(other.at, other.sequence) < std::pair(at, sequence);
        }
    };

    std::priority_queue<Item> m_heap;
    std::uint64_t m_nextSequence = 0;
};

} // namespace firefly::bench
