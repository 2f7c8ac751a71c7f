#pragma once

#include "Adapters/CurlLoop.h"
#include "LoadOptions.h"
#include "Traces.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <vector>

namespace firefly::load {

/// Sends the urgent requests of a run at the configured rate and retries them where that is safe.
///
/// A request that was not run is retried after the time stated in the reply.  One without a reply
/// is retried at another entry, which is safe as it is idempotent or carries an idempotency key.
class CallDriver
{
public:
    CallDriver(asio::io_context &context, CurlLoop &loop, const LoadOptions &options);

    /// Starts the run; it is over when isDone().
    void start();
    bool isDone() const { return m_finished == m_traces.size(); }
    const std::vector<CallTrace> &traces() const { return m_traces; }

private:
    void sendDueCalls();
    void send(std::size_t index);
    void onReply(std::size_t index, HttpResult result);
    void retry(std::size_t index, Duration after);
    void completeCall();

    asio::io_context &m_context;
    CurlLoop &m_loop;
    const LoadOptions &m_options;
    asio::steady_timer m_rateTimer;
    std::vector<CallTrace> m_traces;
    TimePoint m_startedAt{};
    std::size_t m_nextIndex = 0;
    std::size_t m_inFlight = 0;
    std::size_t m_finished = 0;
};

} // namespace firefly::load
