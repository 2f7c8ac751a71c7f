#pragma once

#include "CellLease/FleetDirectory.h"
#include "CellLease/StoreRetryPolicy.h"
#include "Fleet/NodeSettings.h"
#include "Ops/EventLog.h"
#include "Ops/Metrics.h"
#include "platform/StoreClient.h"

#include <asio/io_context.hpp>

#include <memory>

namespace firefly {

/// Follows the fleet's directory in the store and publishes what this process has to say in it.
class DirectoryClient
{
public:
    /// Announces this VM at once and then every FleetDirectory::VmInterval; tells \a retries how
    /// many VMs there are.
    DirectoryClient(asio::io_context &context, const NodeSettings &settings,
                    platform::StoreClient &store, StoreRetryPolicy &retries, EventLog &log,
                    Metrics &metrics);
    ~DirectoryClient();
    DirectoryClient(const DirectoryClient &) = delete;
    DirectoryClient &operator=(const DirectoryClient &) = delete;

    const FleetDirectory &directory() const;
    /// Withdraws the announcement of this VM, which becomes no owner any more.
    void withdraw();
    /// Publishes the claim of a cell that this process owns or has released.
    void publish(int cell, const OwnershipClaim &claim);
    /// Owners read more often, since they refer jobs by the load of other cells.
    void setOwner(bool isOwner);
    /// Reads as soon as the size of the fleet allows, since an entry has proved wrong.
    void readNow();
    /// Reads nearly without pauses for a short time, since the loads of the cells change fast.
    void readOften();

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace firefly
