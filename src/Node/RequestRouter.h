#pragma once

#include "Fleet/RouteTable.h"
#include "Http/HttpServer.h"
#include "Node/CellHost.h"
#include "Node/RequestForwarder.h"
#include "Ops/EventLog.h"
#include "Ops/Metrics.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <memory>

namespace firefly {

/// Answers clients' requests: finds the queue and asks the owner of the job's cell, in this process
/// or another.
///
/// While no owner is known or reachable it retries until the client's timeout, but at most for
/// MaxOwnerWait; then the client gets the failure as its final answer.
class RequestRouter
{
public:
    /// Longest wait for an owner; a change of ownership takes about this long.
    static constexpr Duration MaxOwnerWait = std::chrono::milliseconds(1500);

    RequestRouter(asio::io_context &context, const RouteTable &routes, CellSet &cells,
                  RequestForwarder &forwarder, EventLog &log, Metrics &metrics);
    ~RequestRouter();
    RequestRouter(const RequestRouter &) = delete;
    RequestRouter &operator=(const RequestRouter &) = delete;

    /// Answers \a request by one call of \a respond.
    void handle(HttpRequest request, HttpServer::Respond respond);
    /// Makes every answer from now on close its connection.
    void drain();
    /// Answers all open requests, and each later one, at once: the process is about to stop.
    /// \returns the number of requests answered by this call.
    std::size_t finishAll();
    /// Number of requests not answered yet.
    std::size_t inFlight() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace firefly
