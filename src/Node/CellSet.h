#pragma once

#include "CellLease/StoreRetryPolicy.h"
#include "Fleet/CellLayout.h"
#include "Fleet/ReferralPolicy.h"
#include "Node/CellHost.h"
#include "Node/DirectoryClient.h"
#include "Node/LayoutLoader.h"

#include <asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace firefly {

/// The CellHost of every cell; none until the fleet's layout is known.
class CellSet
{
public:
    CellSet(asio::io_context &context, const NodeSettings &settings, CellHost::Options options,
            platform::StoreClient &store, StoreRetryPolicy &retries,
            platform::WorkerClient &workers, EventLog &log, Metrics &metrics);

    /// Null until the layout is known.
    const CellLayout *layout() const { return m_layout ? &*m_layout : nullptr; }
    /// Null when the layout has no such cell.
    CellHost *find(int cell);
    /// Jobs in \a queue without a started task, as last published by the cells' owners.
    int pendingCount(const std::string &queue) const;

    /// Latest known claim of \a cell; null if there is none.
    const OwnershipClaim *claimOf(int cell) const;
    /// Looks for a newer claim of a cell soon, since the known one has proved wrong.
    void refreshClaims();

    /// Sends a delegation request to another process, the owner of the receiving cell.
    using ForwardDelegation = std::function<void(
        const Endpoint &owner, const DelegationRequest &request, OnCallerReply done)>;
    /// Until \a forward is set, requests reach only cells that this process serves.
    void setDelegationForwarder(ForwardDelegation forward)
    {
        m_forwardDelegation = std::move(forward);
    }
    /// Answers \a request to a cell of this process; NotRun if the cell isn't served here.
    void answerDelegation(const DelegationRequest &request, const OnCallerReply &done);

    /// Passes on the zones that operators have evacuated; until then no cell starts tasks.
    void setEvacuatedZones(const std::set<std::string> &zones);
    /// Releases all owned cells to other processes.
    void resign();
    bool hasResigned() const;
    nlohmann::json dump() const;

private:
    void applyLayout(const CellLayout &layout);
    /// Cells besides \a cell that this process owns or claims.
    int otherClaimCount(int cell) const;
    /// Whether this process may become the owner of \a cell soon.
    bool isCandidate(int cell) const;
    /// Loads that the owners of the cells with workers of \a service publish, by cell; unset for
    /// \a cell itself, and during an evacuation for those without a usable worker.
    std::vector<std::optional<CellLoad>> publishedLoads(int cell, const std::string &service) const;
    /// What owners that published lately offer to tasks of \a service, by cell; unset for \a cell
    /// itself.
    std::vector<std::optional<GuestOffer>> guestOffers(int cell, const std::string &service) const;
    void sendDelegation(const DelegationRequest &request, const OnCallerReply &done);
    std::optional<int> lessLoadedCell(int cell, const CellHost::NewJob &job, const CellLoad &own);

    asio::io_context &m_context;
    const NodeSettings &m_settings;
    CellHost::Options m_options;
    platform::StoreClient &m_store;
    StoreRetryPolicy &m_retries;
    platform::WorkerClient &m_workers;
    EventLog &m_log;
    Metrics &m_metrics;
    std::optional<CellLayout> m_layout;
    std::vector<std::unique_ptr<CellHost>> m_hosts; ///< By cell.
    ReferralPolicy m_referrals;
    ForwardDelegation m_forwardDelegation;
    std::optional<std::set<std::string>> m_evacuatedZones; ///< Unset until they are known.
    bool m_isResigning = false;
    DirectoryClient m_directory;
    LayoutLoader m_layoutLoader;
};

} // namespace firefly
