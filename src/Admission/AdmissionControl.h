#pragma once

#include "Admission/AdmissionMessages.h"
#include "Admission/AdmissionSettings.h"
#include "Admission/ServiceTimeEstimate.h"
#include "Admission/TokenBucket.h"
#include "Records/Record.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace firefly {

/// Decides which urgent requests run: by their plan's limits, their deadline, and under overload
/// by each plan's weight.
///
/// A request that finds no room waits a few milliseconds at most.  When the queue is full, the
/// plan that has the most in use and waiting for its weight loses its newest waiting request, so
/// that every plan keeps its share of the room.
class AdmissionControl
{
public:
    explicit AdmissionControl(const AdmissionSettings &settings = {})
        : m_settings(settings)
    {}

    /// Takes over the two lists; what runs goes on under the new limits.
    void setLists(const PlansList &plans, const LimitsList &limits, TimePoint now);

    /// Admits, queues or refuses \a request.  Requests that had to give way to it are appended to
    /// \a displaced.
    Admission admit(const AdmissionRequest &request, const UrgentRoom &room, TimePoint now,
                    std::vector<Refused> &displaced);
    /// The waiting request with the best claim to one free slot; overdue ones are skipped.
    std::optional<Admitted> next(TimePoint now);
    /// Refuses every request that waited too long.
    std::vector<Refused> expire(TimePoint now);
    /// When expire() has something to do next.
    std::optional<TimePoint> nextExpiry() const;
    /// Takes a waiting request back, for example because its caller went away.
    bool cancel(const CustomerId &customer, const RequestId &request);
    /// An admitted request ended; \a latency teaches the service's time unless it did not run.
    void finish(const AdmissionRequest &request, std::optional<Duration> latency, TimePoint now);

    std::size_t queued() const { return m_queued; }
    nlohmann::json dump() const;

private:
    struct Waiting
    {
        AdmissionRequest request;
        TimePoint until{};
    };

    struct Plan
    {
        PlanLimits limits;
        std::optional<TokenBucket> rate;
        Resources inUse;
        std::int64_t running = 0;
        std::deque<Waiting> waiting;
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
    };

    Plan *planOf(const CustomerId &customer);
    std::optional<Refused> refuseByPlan(Plan &plan, const AdmissionRequest &request, TimePoint now);
    bool canMeetDeadline(const AdmissionRequest &request, TimePoint now) const;
    Admission enqueue(Plan &plan, const AdmissionRequest &request, TimePoint now,
                      std::vector<Refused> &displaced);
    Plan *heaviestWaiting();
    Plan *lightestWaiting();
    void start(Plan &plan, const AdmissionRequest &request);
    Refused refuse(Plan &plan, const AdmissionRequest &request, RefusalReason reason);
    Duration retryAfter(const Plan &plan) const;

    AdmissionSettings m_settings;
    std::map<CustomerId, std::string> m_planOfCustomer;
    std::map<std::string, Plan> m_plans;
    std::map<ServiceId, ServiceTimeEstimate> m_serviceTimes;
    std::size_t m_queued = 0;
    std::int64_t m_totalRoom = 0;
    std::int64_t m_running = 0;
};

} // namespace firefly
