#pragma once

#include "Fleet/RouteTable.h"
#include "Http/HttpServer.h"
#include "Node/CellHost.h"
#include "Node/PeerJobs.h"
#include "Ops/EventLog.h"
#include "Ops/Metrics.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <memory>

namespace firefly {

/// Answers clients: finds the queue and asks the owner of the job's cell, here or elsewhere.
///
/// While no owner is known or reachable it tries again, within the time the client has but no
/// longer than MaxOwnerWait; then the client gets its final answer at once.
class FrontDesk
{
public:
    /// Longest wait for an owner; a change of owner takes about this long.
    static constexpr Duration MaxOwnerWait = std::chrono::milliseconds(1500);

    FrontDesk(asio::io_context &context, const RouteTable &routes, CellSet &cells, PeerJobs &peers,
              EventLog &log, Metrics &metrics);
    ~FrontDesk();
    FrontDesk(const FrontDesk &) = delete;
    FrontDesk &operator=(const FrontDesk &) = delete;

    void handle(HttpRequest request, HttpServer::Respond respond);
    /// From now on every answer closes its connection.
    void drain();
    std::size_t inFlight() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace firefly
