#pragma once

#include "Cell/CellScheduler.h"
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
    /// \a afterReply is called after each reply was passed to the scheduler.
    OrderSender(CellScheduler &scheduler, platform::WorkerClient &workers, EventLog &log,
                Metrics &metrics, Epoch epoch, std::function<void()> afterReply);
    ~OrderSender();
    OrderSender(const OrderSender &) = delete;
    OrderSender &operator=(const OrderSender &) = delete;

    /// Sends all pending orders of the scheduler and writes its pending log lines.
    void sendAll();
    /// Drops all replies from now on; for an ownership that ends inside a reply, before this object
    /// can be destroyed.
    void close();

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace firefly
