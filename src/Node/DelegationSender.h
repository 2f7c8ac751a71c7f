#pragma once

#include "Cell/CellScheduler.h"
#include "Node/DelegationRequest.h"
#include "Ops/EventLog.h"
#include "Ops/Metrics.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace firefly {

/// Sends a scheduler's requests to other cells during one ownership and passes the answers back.
///
/// Answers that arrive after its destruction are dropped.
class DelegationSender
{
public:
    /// \a afterReply is called after each answer was passed to the scheduler.
    DelegationSender(asio::io_context &context, CellScheduler &scheduler, EventLog &log,
                     Metrics &metrics, SendDelegation transport, std::function<void()> afterReply);
    ~DelegationSender();
    DelegationSender(const DelegationSender &) = delete;
    DelegationSender &operator=(const DelegationSender &) = delete;

    /// Sends \a request; the scheduler gets the answer from the event loop, never from inside this
    /// call.
    void send(const DelegationRequest &request);

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace firefly
