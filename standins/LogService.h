#pragma once

#include "HttpServer.h"
#include "StandinLog.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace firefly::standins {

/// HTTP service of a StandinLog, with faults that are switched by request.
class LogService
{
public:
    LogService(asio::io_context &context, LogRetention retention);

    void handle(const ServerRequest &request, const Responder &responder);

private:
    struct Faults
    {
        bool isOut = false;
        bool isSilentWhenOut = false;
        std::set<std::string> cutClients; ///< Client names or addresses.
        Duration delay{};
        std::int64_t repliesToLose = 0;
    };

    bool isOutFor(const ServerRequest &request) const;
    void serve(const ServerRequest &request, const Responder &responder);
    void append(const ServerRequest &request, const Responder &responder);
    void read(const ServerRequest &request, const Responder &responder, TimePoint deadline);
    void switchFaults(const ServerRequest &request, const Responder &responder);
    void replyStats(const Responder &responder) const;

    asio::io_context &m_context;
    StandinLog m_log;
    Faults m_faults;
};

} // namespace firefly::standins
