#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"
#include "HttpServer.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <set>
#include <string>

namespace firefly::standins {

/// Limits on the records that the log keeps; it drops the oldest beyond either limit.
struct LogRetention
{
    std::size_t maxRecords = 1'000'000;
    Duration maxAge = std::chrono::hours(24);
};

/// In-memory append-only log served over HTTP: offsets start at 1, batches are atomic, retention is
/// limited, and faults can be injected by request (POST /faults).
class LogService
{
public:
    LogService(asio::io_context &context, LogRetention retention);

    /// Serves the paths append, read, stats and faults.
    void handle(const ServerRequest &request, const Responder &responder);

private:
    struct StoredRecord
    {
        std::string text;
        TimePoint appendedAt;
    };

    /// Injected faults; they stay until a later request changes them.
    struct Faults
    {
        bool hasOutage = false;
        bool isSilentDuringOutage = false; ///< Sends no reply instead of status 503.
        /// Names or IP addresses of clients that see an outage.
        std::set<std::string> partitionedClients;
        Duration delay{};               ///< Before each append or read is served.
        std::int64_t repliesToDrop = 0; ///< Next appends that are stored but get a truncated reply.
    };

    /// Offset of the newest record.
    Offset tail() const { return m_head + m_records.size() - 1; }
    void dropOldestRecord();
    void applyRetention(TimePoint now);
    /// Refuses \a request if an outage or partition affects it; returns whether it did.
    bool refuseDuringOutage(const ServerRequest &request, const Responder &responder) const;
    void serve(const ServerRequest &request, const Responder &responder);
    void append(const ServerRequest &request, const Responder &responder);
    /// Replies with records from the requested offset, waiting for new ones until \a deadline.
    void read(const ServerRequest &request, const Responder &responder, TimePoint deadline);
    void updateFaults(const ServerRequest &request);
    void replyStats(const Responder &responder) const;

    asio::io_context &m_context;
    LogRetention m_retention;
    Faults m_faults;
    std::deque<StoredRecord> m_records;
    Offset m_head = 1; ///< Offset of the oldest record that is kept.
    std::uint64_t m_appendCount = 0;
    std::uint64_t m_byteCount = 0;
};

} // namespace firefly::standins
