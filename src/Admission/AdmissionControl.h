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
/// A request that finds no room waits a few milliseconds at most.  A free slot goes to the waiting
/// plan that runs the least for its weight.  When the queue is full, the plan that runs and waits
/// the most for its weight loses its newest waiting request, so that no plan starves.
class AdmissionControl
{
public:
    explicit AdmissionControl(const AdmissionSettings &settings = {})
        : m_settings(settings)
    {}

    /// Takes over the two lists; what runs goes on under the new limits.
    void setLists(const PlansList &plans, const LimitsList &limits, TimePoint now);
    /// Enforces only \a share of every limit here, because other entries enforce the rest.
    void setShare(double share, TimePoint now);

    /// Admits, queues or refuses \a request.  Requests that had to give way to it are appended to
    /// \a displaced.
    Admission admit(const AdmissionRequest &request, const UrgentRoom &room, TimePoint now,
                    std::vector<Refused> &displaced);
    /// The waiting request with the best claim to a slot that became free.  Call expire() first.
    std::optional<Admitted> next();
    /// Refuses every request that waited too long.
    std::vector<Refused> expire(TimePoint now);
    /// When expire() has something to do next.
    std::optional<TimePoint> nextExpiry() const;
    /// Takes a waiting request back, for example because its caller went away.
    bool cancel(const CustomerId &customer, const RequestId &request);
    /// An admitted request ended; \a latency teaches its service's time, unless it did not run.
    void finish(const Admitted &admitted, std::optional<Duration> latency);

    /// Takes a batch job's resources from its customer's plan; false when the plan lacks them.
    bool takeForJob(const CustomerId &customer, const Resources &resources);
    void releaseForJob(const PlanId &plan, const Resources &resources);
    /// The plan that \a customer holds; empty when none.
    PlanId planOf(const CustomerId &customer) const;

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
        bool listed = false;
        std::optional<TokenBucket> rate;
        Resources claimed; ///< By calls that run or wait, and by jobs.
        std::int64_t running = 0;
        std::deque<Waiting> waiting;
        double refusedShare = 0; ///< Of recent requests.
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;

        double weight() const { return double(limits.weight < 1 ? 1 : limits.weight); }
        double runningForWeight() const { return double(running) / weight(); }
        double claimForWeight(std::size_t more = 0) const
        {
            return double(std::size_t(running) + waiting.size() + more) / weight();
        }
    };
    using Plans = std::map<PlanId, Plan>;

    Plans::value_type *findPlan(const CustomerId &customer);
    void applyLimits(Plan &plan, TimePoint now);
    Resources sharedLimit(const Plan &plan) const;
    std::optional<Refused> refuseByPlan(Plan &plan, const AdmissionRequest &request, TimePoint now);
    Duration expectedTime(const ServiceId &service) const;
    Admission enqueue(Plan &plan, const AdmissionRequest &request, TimePoint now,
                      std::vector<Refused> &displaced);
    Plan *heaviestWaiting();
    Plans::value_type *lightestWaiting();
    Admitted start(Plans::value_type &plan, const AdmissionRequest &request);
    Refused refuse(Plan &plan, const AdmissionRequest &request, RefusalReason reason);
    Refused refuseWaiting(Plan &plan, const AdmissionRequest &request);
    Duration retryAfter(const Plan &plan) const;

    AdmissionSettings m_settings;
    std::map<CustomerId, PlanId> m_planOfCustomer;
    Plans m_plans;
    std::map<ServiceId, ServiceTimeEstimate> m_serviceTimes;
    std::size_t m_queued = 0;
    double m_share = 1;
};

} // namespace firefly
