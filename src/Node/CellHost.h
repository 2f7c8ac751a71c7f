#pragma once

#include "Cell/CellScheduler.h"
#include "CellLease/CellElection.h"
#include "Fleet/CallerRequest.h"
#include "Fleet/NodeSettings.h"
#include "Ops/EventLog.h"
#include "Ops/Metrics.h"
#include "platform/StoreClient.h"
#include "platform/WorkerClient.h"

#include <asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>

namespace firefly {

/// One cell as this process takes part in it: candidate, follower or owner.
///
/// Wires the cell's election and scheduler to the store and the workers.
class CellHost
{
public:
    struct Options
    {
        int cell = 0;
        std::string incarnation; ///< Unique to this process.
        Endpoint endpoint;       ///< Of this process, for requests of the others.
    };

    CellHost(asio::io_context &context, const NodeSettings &settings, Options options,
             platform::StoreClient &store, platform::WorkerClient &workers, EventLog &log,
             Metrics &metrics);
    ~CellHost();
    CellHost(const CellHost &) = delete;
    CellHost &operator=(const CellHost &) = delete;

    /// True once this process owns the cell and knows its jobs.
    bool isServing() const;
    const CellElection &election() const;
    /// Gives the cell up to another process.
    void resign();
    bool hasResigned() const;

    // Requests, valid while isServing().

    void submit(const JobId &id, JobSpec spec, OnCallerReply done);
    void query(const JobId &id, const OnCallerReply &done);
    void cancel(const JobId &id, const OnCallerReply &done);

    nlohmann::json dump() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace firefly
