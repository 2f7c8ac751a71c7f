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

/// How long the log keeps records.
struct LogRetention
{
    std::size_t maxRecords = 1'000'000;
    Duration maxAge = std::chrono::hours(24);
};

/// HTTP service of an append-only log in memory: offsets from 1, atomic batches, limited retention,
/// and faults that are switched by request.
class LogService
{
public:
    LogService(asio::io_context &context, LogRetention retention);

    void handle(const ServerRequest &request, const Responder &responder);

private:
    struct Entry
    {
        std::string text;
        TimePoint at;
    };

    struct Faults
    {
        bool isOut = false;
        bool isSilentWhenOut = false;
        std::set<std::string> cutClients; ///< Client names or addresses.
        Duration delay{};
        std::int64_t repliesToLose = 0;
    };

    Offset tail() const { return m_head + m_entries.size() - 1; }
    void dropFront();
    void retain(TimePoint now);
    bool refuseWhenOut(const ServerRequest &request, const Responder &responder) const;
    void serve(const ServerRequest &request, const Responder &responder);
    void append(const ServerRequest &request, const Responder &responder);
    void read(const ServerRequest &request, const Responder &responder, TimePoint deadline);
    void switchFaults(const ServerRequest &request);
    void replyStats(const Responder &responder) const;

    asio::io_context &m_context;
    LogRetention m_retention;
    Faults m_faults;
    std::deque<Entry> m_entries;
    Offset m_head = 1;
    std::uint64_t m_appends = 0;
    std::uint64_t m_bytes = 0;
};

} // namespace firefly::standins
