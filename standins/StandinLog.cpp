#include "StandinLog.h"

#include <algorithm>
#include <utility>

namespace firefly::standins {

StandinLog::StandinLog(LogRetention retention)
    : m_retention(retention)
{}

Offset StandinLog::append(std::vector<std::string> batch, TimePoint now)
{
    const Offset first = tail() + 1;
    ++m_stats.appends;
    for (std::string &text : batch) {
        ++m_stats.records;
        m_stats.bytes += text.size();
        m_entries.push_back({std::move(text), now});
    }
    retain(now);
    return first;
}

LogSlice StandinLog::read(Offset from, std::size_t maxRecords, TimePoint now)
{
    retain(now);
    ++m_stats.reads;
    LogSlice slice;
    slice.head = m_head;
    slice.tail = tail();
    slice.first = std::max(from, m_head);
    const Offset end = std::min<Offset>(slice.tail + 1, slice.first + maxRecords);
    for (Offset offset = slice.first; offset < end; ++offset) {
        slice.records.push_back(m_entries[offset - m_head].text);
    }
    return slice;
}

void StandinLog::trim(Offset head)
{
    while (m_head < head && !m_entries.empty()) {
        m_entries.pop_front();
        ++m_head;
    }
}

void StandinLog::retain(TimePoint now)
{
    while (!m_entries.empty()
           && (m_entries.size() > m_retention.maxRecords
               || now - m_entries.front().at > m_retention.maxAge)) {
        m_entries.pop_front();
        ++m_head;
    }
}

} // namespace firefly::standins
