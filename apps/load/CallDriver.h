#pragma once

#include "Adapters/CurlLoop.h"
#include "LoadOptions.h"
#include "Traces.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <vector>

namespace firefly::load {

/// Makes the urgent requests of a run at its rate, and retries as a careful caller would.
///
/// A request that was not run is repeated after the time that the entry named.  One without a reply
/// is repeated at another entry, which is safe as it is idempotent or carries a key.
class CallDriver
{
public:
    CallDriver(asio::io_context &context, CurlLoop &loop, const LoadOptions &options);

    /// Starts the run; it is over when isDone().
    void start();
    bool isDone() const { return m_finished == m_traces.size(); }
    const std::vector<CallTrace> &traces() const { return m_traces; }

private:
    void pump();
    void send(std::size_t index);
    void onReply(std::size_t index, HttpResult result);
    void retry(std::size_t index, Duration after);
    void finish();

    asio::io_context &m_context;
    CurlLoop &m_loop;
    const LoadOptions &m_options;
    asio::steady_timer m_pacer;
    std::vector<CallTrace> m_traces;
    TimePoint m_begin{};
    std::size_t m_next = 0;
    std::size_t m_active = 0;
    std::size_t m_finished = 0;
};

} // namespace firefly::load
