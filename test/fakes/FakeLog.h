#pragma once

#include "Platform/LogMessages.h"

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

namespace firefly::fakes {

/// The log service in memory, with retention by hand.
class FakeLog
{
public:
    /// Gives \a envelopes consecutive offsets.
    void append(const std::vector<Envelope> &envelopes)
    {
        for (const Envelope &it : envelopes) {
            m_kept.push_back({++m_tail, it});
        }
    }
    void append(const WriterId &writer, std::uint64_t sequence, Record record)
    {
        append({Envelope{writer, sequence, std::move(record)}});
    }

    /// What is kept from \a from on, at most \a limit records.
    LogRead read(Offset from, std::size_t limit = 1000) const
    {
        LogRead reading;
        reading.head = head();
        reading.tail = m_tail;
        const Offset first = std::max(from, head());
        for (Offset offset = first; offset <= m_tail && offset - first < limit; ++offset) {
            reading.envelopes.push_back(m_kept[offset - head()]);
        }
        return reading;
    }

    /// Forgets records below \a head.
    void trim(Offset head)
    {
        while (!m_kept.empty() && m_kept.front().offset < head) {
            m_kept.pop_front();
        }
    }

    Offset head() const { return m_kept.empty() ? m_tail + 1 : m_kept.front().offset; }
    Offset tail() const { return m_tail; }

private:
    std::deque<LoggedEnvelope> m_kept;
    Offset m_tail = 0;
};

} // namespace firefly::fakes
