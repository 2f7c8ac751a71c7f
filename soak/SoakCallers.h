#pragma once

#include "Adapters/CurlLoop.h"
#include "SoakFleet.h"
#include "Workload/JobSpec.h"

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace firefly::soak {

/// Simulated clients that submit, poll and cancel jobs at random processes and check the replies.
class SoakCallers
{
public:
    SoakCallers(asio::io_context &context, SoakFleet &fleet, std::uint64_t seed);

    /// Submits new jobs until stopSubmitting().
    void start();
    void stopSubmitting() { m_isSubmitting = false; }
    /// True once no job is outstanding: each has the state that its client expects.
    bool isSettled() const;
    /// Adds a violation to the audit for each job that is outstanding, or started though rejected.
    void checkGuarantees();
    /// Number of jobs by state.
    std::string summary() const;

private:
    /// One job of a client.
    struct ClientJob
    {
        JobId id;
        JobSpec spec;
        bool isAccepted = false;
        bool isRejected = false;  ///< The client gave up after rejections only.
        bool isUncertain = false; ///< Some submission without a clear reply may be accepted.
        int attempts = 0;
        TimePoint acceptedAt{};
        TimePoint plannedCancelAt{}; ///< Zero if the job is not to be cancelled.
        TimePoint canceledAt{};
        std::optional<JobState> reportedState;
        bool isRequestPending = false; ///< A request awaits its reply.
        TimePoint nextRequestAt{};
    };

    void tick();
    void submitNewJob(TimePoint now);
    JobSpec drawJob();
    void sendNextRequest(ClientJob &job, TimePoint now);
    void submit(ClientJob &job);
    void query(ClientJob &job);
    void cancel(ClientJob &job);
    void onStatus(ClientJob &job, const HttpResult &result);
    void send(ClientJob &job, const char *method, std::string body,
              std::function<void(const HttpResult &)> onResult);
    void checkReportedState(const ClientJob &job);
    void checkCanceled(TimePoint now);
    /// True if \a job has yet to reach the state that its client expects.
    bool isOutstanding(const ClientJob &job) const;
    void addViolation(const std::string &what, const ClientJob &job);

    asio::io_context &m_context;
    SoakFleet &m_fleet;
    std::mt19937_64 m_random;
    CurlLoop m_curl;
    asio::basic_waitable_timer<Clock> m_timer;
    std::map<std::string, std::unique_ptr<ClientJob>> m_jobs; ///< By job identifier.
    TimePoint m_nextSubmitAt{};
    bool m_isSubmitting = true;
};

} // namespace firefly::soak
