#pragma once

#include "Fleet/CellLayout.h"
#include "Fleet/ReferralPolicy.h"
#include "Node/CellHost.h"
#include "Node/DirectoryClient.h"
#include "Node/LayoutLoader.h"

#include <asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace firefly {

/// The CellHost of every cell; none until the fleet's layout is known.
class CellSet
{
public:
    CellSet(asio::io_context &context, const NodeSettings &settings, CellHost::Options options,
            platform::StoreClient &store, platform::WorkerClient &workers, EventLog &log,
            Metrics &metrics);

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
    std::optional<int> lessLoadedCell(int cell, const CellHost::NewJob &job, const CellLoad &own);

    asio::io_context &m_context;
    const NodeSettings &m_settings;
    CellHost::Options m_options;
    platform::StoreClient &m_store;
    platform::WorkerClient &m_workers;
    EventLog &m_log;
    Metrics &m_metrics;
    std::optional<CellLayout> m_layout;
    std::vector<std::unique_ptr<CellHost>> m_hosts; ///< By cell.
    ReferralPolicy m_referrals;
    bool m_isResigning = false;
    DirectoryClient m_directory;
    LayoutLoader m_layoutLoader;
};

} // namespace firefly
