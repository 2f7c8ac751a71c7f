#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace firefly::standins {

/// How long the log keeps records.
struct LogRetention
{
    std::size_t maxRecords = 1'000'000;
    Duration maxAge = std::chrono::hours(24);
};

/// Counters of a StandinLog.
struct LogStats
{
    std::uint64_t appends = 0;
    std::uint64_t records = 0;
    std::uint64_t bytes = 0;
    std::uint64_t reads = 0;
};

/// One answer to a read.
struct LogSlice
{
    Offset head = 1;
    Offset tail = 0;
    Offset first = 1; ///< Offset of the first record of the slice.
    std::vector<std::string> records;
};

/// Append-only log in memory with offsets from 1, atomic batches and limited retention.
class StandinLog
{
public:
    explicit StandinLog(LogRetention retention = {});

    /// Appends \a batch whole; returns the offset of its first record.
    Offset append(std::vector<std::string> batch, TimePoint now);
    LogSlice read(Offset from, std::size_t maxRecords, TimePoint now);
    /// Drops every record before \a head.
    void trim(Offset head);
    Offset tail() const { return m_head + m_entries.size() - 1; }
    const LogStats &stats() const { return m_stats; }

private:
    struct Entry
    {
        std::string text;
        TimePoint at;
    };

    void retain(TimePoint now);

    LogRetention m_retention;
    LogStats m_stats;
    Offset m_head = 1;
    std::deque<Entry> m_entries;
};

} // namespace firefly::standins
