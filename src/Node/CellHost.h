#pragma once

#include "Cell/CellScheduler.h"
#include "CellLease/CellElection.h"
#include "CellLease/StoreRetryPolicy.h"
#include "Fleet/CallerRequest.h"
#include "Fleet/CellLayout.h"
#include "Fleet/NodeSettings.h"
#include "Node/DelegationRequest.h"
#include "Ops/EventLog.h"
#include "Ops/Metrics.h"
#include "platform/StoreClient.h"
#include "platform/WorkerClient.h"

#include <asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace firefly {

/// Takes part in one cell as candidate, follower or owner.
///
/// Connects the cell's election and scheduler to the store and the workers.
class CellHost
{
public:
    /// Properties of a new job that decide which cell gets it.
    struct NewJob
    {
        JobId id;
        std::string service;
        CellLoad load; ///< That the job would add to its cell.
        bool isLongRunning = false;
        bool isHeld = false;     ///< The published load of its home includes it.
        bool isStranded = false; ///< Evacuations leave its home no worker for it.
    };

    struct Options
    {
        int cell = 0;
        std::string incarnation; ///< Identifies this run of the process.
        Endpoint endpoint;       ///< Where this process takes requests of other nodes.
        CellLayout layout;
        /// Chooses a less loaded cell for a new job; empty to keep it in this one, with load
        /// \a own.
        std::function<std::optional<int>(const NewJob &job, const CellLoad &own)> lessLoadedCell;
        /// Whether a new long-running job should wait for the loads of the other cells.
        std::function<bool()> shouldHold;
        std::function<int()> claimRank; ///< Number of processes that should claim the cell first.
        std::function<bool()> shouldWatch;   ///< Whether to follow the claims as a candidate.
        std::function<bool()> shouldRelease; ///< Whether another process should own the cell.
        /// Publishes the claim of this process, as owner or after a release.
        std::function<void(const OwnershipClaim &)> publish;
        /// What the other cells publish, by cell; unset for this cell and for those that can't take
        /// tasks of \a service.
        std::function<std::vector<std::optional<GuestOffer>>(const std::string &service)>
            guestOffers;
        /// What the owner of \a cell publishes; null if nothing is known of it.
        std::function<const OwnershipClaim *(int cell)> publishedClaim;
        SendDelegation sendDelegation;
    };

    CellHost(asio::io_context &context, const NodeSettings &settings, Options options,
             platform::StoreClient &store, StoreRetryPolicy &retries,
             platform::WorkerClient &workers, EventLog &log, Metrics &metrics);
    ~CellHost();
    CellHost(const CellHost &) = delete;
    CellHost &operator=(const CellHost &) = delete;

    /// True while this process owns the cell and has loaded its jobs.
    bool isServing() const;
    const CellElection &election() const;
    /// True while the claims of the cell are followed, so that election() is up to date.
    bool isWatching() const;
    /// Stops starting tasks in \a zones; no task starts anywhere before the first call.
    void setEvacuatedZones(const std::set<std::string> &zones);
    /// Gives the cell up to another process.
    void resign();
    bool hasResigned() const;

    // Requests; only valid while isServing()

    /// Stores a new job, or answers Elsewhere with a less loaded cell unless \a isReferred.
    void submit(const JobId &id, JobSpec spec, bool isReferred, OnCallerReply done);
    void query(const JobId &id, const OnCallerReply &done);
    void cancel(const JobId &id, const OnCallerReply &done);
    /// Answers a request of another cell as its guest.
    void answerDelegation(const DelegationRequest &request, const OnCallerReply &done);

    nlohmann::json dump() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace firefly
