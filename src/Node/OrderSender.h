#pragma once

#include "Cell/CellScheduler.h"
#include "Node/DelegationRequest.h"
#include "Ops/EventLog.h"
#include "Ops/Metrics.h"
#include "platform/WorkerClient.h"

#include <functional>
#include <memory>

namespace firefly {

/// Sends the scheduler's orders to workers during one ownership and passes the replies back.
///
/// Replies that arrive after its destruction are dropped.
class OrderSender
{
public:
    using OnDelegation = std::function<void(const DelegationRequest &)>;

    /// The log lines name \a cell.  \a afterReply is called after each reply was passed to the
    /// scheduler, \a onDelegation for each request to the owner of another cell.
    OrderSender(CellScheduler &scheduler, platform::WorkerClient &workers, EventLog &log,
                Metrics &metrics, int cell, Epoch epoch, std::function<void()> afterReply,
                OnDelegation onDelegation);
    ~OrderSender();
    OrderSender(const OrderSender &) = delete;
    OrderSender &operator=(const OrderSender &) = delete;

    /// Sends all pending orders of the scheduler, writes its pending log lines and passes its
    /// delegation requests on.
    void sendAll();
    /// Drops all replies from now on; for an ownership that ends inside a reply, before this object
    /// can be destroyed.
    void close();

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace firefly
