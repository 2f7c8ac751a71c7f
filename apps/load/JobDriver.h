#pragma once

#include "Adapters/CurlLoop.h"
#include "LoadOptions.h"
#include "Traces.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <vector>

namespace firefly::load {

/// Submits the batch jobs of a run and polls each until it ends, using all entries in turn.
class JobDriver
{
public:
    JobDriver(asio::io_context &context, CurlLoop &loop, const LoadOptions &options);

    /// Starts the run; it is over when isDone().
    void start();
    bool isDone() const { return m_finished == m_traces.size(); }
    const std::vector<JobTrace> &traces() const { return m_traces; }

private:
    using Step = void (JobDriver::*)(std::size_t);

    const Endpoint &nextEntry();
    void scheduleStep(Duration delay, std::size_t index, Step step);
    void submit(std::size_t index);
    void onSubmitted(std::size_t index, const HttpResult &result);
    void cancel(std::size_t index);
    void poll(std::size_t index);
    void onStatus(std::size_t index, const HttpResult &result);
    void fetchResult(std::size_t index);
    void completeJob(std::size_t index, const std::string &error);

    asio::io_context &m_context;
    CurlLoop &m_loop;
    const LoadOptions &m_options;
    std::vector<JobTrace> m_traces;
    TimePoint m_deadline{};
    std::size_t m_nextEntryIndex = 0;
    std::size_t m_finished = 0;
};

} // namespace firefly::load
