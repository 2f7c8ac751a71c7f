#pragma once

#include "Cell/CellScheduler.h"
#include "CellLease/CellElection.h"
#include "Fleet/CallerRequest.h"
#include "Fleet/CellLayout.h"
#include "Fleet/NodeSettings.h"
#include "Ops/EventLog.h"
#include "Ops/Metrics.h"
#include "platform/StoreClient.h"
#include "platform/WorkerClient.h"

#include <asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace firefly {

/// One cell as this process takes part in it: candidate, follower or owner.
///
/// Wires the cell's election and scheduler to the store and the workers.
class CellHost
{
public:
    /// What a choice of cell needs to know of a job.
    struct NewJob
    {
        JobId id;
        std::string service;
        CellLoad load; ///< That it would add.
    };

    struct Options
    {
        int cell = 0;
        std::string incarnation; ///< Unique to this process.
        Endpoint endpoint;       ///< Of this process, for requests of the others.
        CellLayout layout;
        /// A cell that would better take a new job than this one with its load \a own.
        std::function<std::optional<int>(const NewJob &job, const CellLoad &own)> lighterCell;
        std::function<int()> claimedBeside; ///< Other cells that this process has or claims.
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

    /// A job that wasn't referred here may be answered with a lighter cell.
    void submit(const JobId &id, JobSpec spec, bool isReferred, OnCallerReply done);
    void query(const JobId &id, const OnCallerReply &done);
    void cancel(const JobId &id, const OnCallerReply &done);

    nlohmann::json dump() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace firefly
