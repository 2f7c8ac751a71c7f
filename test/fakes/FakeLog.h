#pragma once

#include "Platform/LogMessages.h"

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

namespace firefly::fakes {

/// In-memory log service; trim() replaces retention.
class FakeLog
{
public:
    /// Appends \a envelopes at consecutive offsets.
    void append(const std::vector<Envelope> &envelopes)
    {
        for (const Envelope &it : envelopes) {
            m_records.push_back({++m_tail, it});
        }
    }
    void append(const WriterId &writer, std::uint64_t sequence, Record record)
    {
        append({Envelope{writer, sequence, std::move(record)}});
    }

    /// Reads at most \a limit records from offset \a from on; trimmed ones are skipped.
    LogRead read(Offset from, std::size_t limit = 1000) const
    {
        LogRead result;
        result.head = head();
        result.tail = m_tail;
        const Offset first = std::max(from, head());
        for (Offset offset = first; offset <= m_tail && offset - first < limit; ++offset) {
            result.envelopes.push_back(m_records[offset - head()]);
        }
        return result;
    }

    /// Drops the records below offset \a head.
    void trim(Offset head)
    {
        while (!m_records.empty() && m_records.front().offset < head) {
            m_records.pop_front();
        }
    }

    Offset head() const { return m_records.empty() ? m_tail + 1 : m_records.front().offset; }
    Offset tail() const { return m_tail; }

private:
    std::deque<LoggedEnvelope> m_records;
    Offset m_tail = 0;
};

} // namespace firefly::fakes
