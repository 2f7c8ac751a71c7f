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

/// Admission control of urgent requests: enforces plan limits and deadlines, and shares the
/// capacity between plans by weight under overload.
///
/// A request that finds no free capacity is queued for at most AdmissionSettings::maxWait.  A free
/// slot goes to the waiting plan with the fewest running requests per weight.  When the queue is
/// full, the plan with the most running and waiting requests per weight loses its newest waiting
/// request, so that no plan starves.
class AdmissionControl
{
public:
    explicit AdmissionControl(const AdmissionSettings &settings = {})
        : m_settings(settings)
    {}

    /// Replaces the plans and limits.  Running and waiting requests stay and count against the new
    /// limits.
    void setLists(const PlansList &plans, const LimitsList &limits, TimePoint now);
    /// Sets the part of every limit that this entry enforces, in (0, 1]; the other entries enforce
    /// the rest.
    void setLimitShare(double share, TimePoint now);

    /// Admits, queues or refuses \a request.  Queued requests that are refused in its favour are
    /// appended to \a displaced.
    Admission admit(const AdmissionRequest &request, const UrgentCapacity &capacity, TimePoint now,
                    std::vector<Refused> &displaced);
    /// Admits the next waiting request once a slot is free; nothing when none waits.  Call expire()
    /// first, since this does not check deadlines.
    std::optional<Admitted> admitNext();
    /// Refuses and returns the waiting requests whose wait has expired.
    std::vector<Refused> expire(TimePoint now);
    /// Earliest time at which a waiting request expires; nothing when none waits.
    std::optional<TimePoint> nextExpiry() const;
    /// Removes a waiting request, for example because its caller disconnected; false when it does
    /// not wait.
    bool cancel(const CustomerId &customer, const RequestId &request);
    /// Releases what an admitted request held.  \a latency updates the estimate of its service's
    /// time; pass nothing when the request did not run.
    void finish(const Admitted &admitted, std::optional<Duration> latency);

    /// Reserves a batch job's resources in its customer's plan; false when they exceed its limit.
    bool reserveForJob(const CustomerId &customer, const Resources &resources);
    /// Releases what reserveForJob() reserved.
    void releaseForJob(const PlanId &plan, const Resources &resources);
    /// Plan of \a customer; empty when it has none.
    PlanId planOf(const CustomerId &customer) const;

    /// Number of waiting requests of all plans.
    std::size_t queued() const { return m_queued; }
    nlohmann::json dump() const;

private:
    struct Waiting
    {
        AdmissionRequest request;
        TimePoint expiresAt{};
    };

    struct Plan
    {
        PlanLimits limits;
        bool listed = false;
        std::optional<TokenBucket> rateLimiter;
        Resources reserved; ///< For running and waiting calls, and for batch jobs.
        std::int64_t running = 0;
        std::deque<Waiting> waiting;
        double refusedShare = 0; ///< Moving average over recent requests.
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;

        double weight() const { return double(limits.weight < 1 ? 1 : limits.weight); }
        /// Running requests divided by the plan's weight.
        double runningPerWeight() const { return double(running) / weight(); }
        /// Running and waiting requests, and \a more, divided by the plan's weight.
        double demandPerWeight(std::size_t more = 0) const
        {
            return double(std::size_t(running) + waiting.size() + more) / weight();
        }
    };
    using Plans = std::map<PlanId, Plan>;

    Plans::value_type *findPlan(const CustomerId &customer);
    void applyLimits(Plan &plan, TimePoint now);
    /// Part of the plan's resource limit that this entry enforces.
    Resources scaledLimit(const Plan &plan) const;
    std::optional<Refused> checkDeadlineAndLimits(Plan &plan, const AdmissionRequest &request,
                                                  TimePoint now);
    /// Mean plus mean deviation of the service's latency.
    Duration expectedServiceTime(const ServiceId &service) const;
    Admission enqueue(Plan &plan, const AdmissionRequest &request, TimePoint now,
                      std::vector<Refused> &displaced);
    /// Among the plans with waiting requests, the one with the highest demandPerWeight().
    Plan *mostLoadedWaitingPlan();
    /// Among the plans with waiting requests, the one with the lowest runningPerWeight().
    Plans::value_type *leastLoadedWaitingPlan();
    Admitted markAdmitted(Plans::value_type &plan, const AdmissionRequest &request);
    Refused refuse(Plan &plan, const AdmissionRequest &request, RefusalReason reason);
    Refused refuseWaiting(Plan &plan, const AdmissionRequest &request);
    Duration retryAfter(const Plan &plan) const;

    AdmissionSettings m_settings;
    std::map<CustomerId, PlanId> m_planOfCustomer;
    Plans m_plans;
    std::map<ServiceId, ServiceTimeEstimate> m_serviceTimes;
    std::size_t m_queued = 0;
    double m_share = 1; ///< See setLimitShare().
};

} // namespace firefly
