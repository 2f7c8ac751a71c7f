#pragma once

#include "Cell/CellScheduler.h"
#include "Ops/EventLog.h"
#include "Ops/Metrics.h"
#include "platform/WorkerClient.h"

#include <functional>
#include <memory>

namespace firefly {

/// Sends the orders of one ownership to its workers and brings the replies back.
///
/// Replies that come after its end are dropped.
class OrderSender
{
public:
    /// \a wake is called after each reply.
    OrderSender(CellScheduler &scheduler, platform::WorkerClient &workers, EventLog &log,
                Metrics &metrics, Epoch epoch, std::function<void()> wake);
    ~OrderSender();
    OrderSender(const OrderSender &) = delete;
    OrderSender &operator=(const OrderSender &) = delete;

    /// Sends what the scheduler wants sent and writes what it wants noted.
    void sendAll();

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace firefly
