#pragma once

#include "Core/Assert.h"
#include "Routing/RoutingPolicies.h"

#include <optional>
#include <random>
#include <utility>

namespace firefly {

/// Chooses a worker for each urgent call and reserves its resources there.
template <typename Policy>
class UrgentRouter
{
    static_assert(RoutingPolicy<Policy>,
                  "Policy needs choose(pool, request, random, now) and UsesProbes");

public:
    explicit UrgentRouter(WorkerPool &pool, Policy policy = {})
        : m_pool(pool)
        , m_policy(std::move(policy))
    {}

    /// Chooses a worker and reserves the call there; nothing when no worker has free capacity.
    /// The caller ends the call with WorkerPool::releaseUrgent().
    std::optional<RoutingDecision> route(const RoutingRequest &request, std::mt19937_64 &random,
                                         TimePoint now)
    {
        std::optional<RoutingDecision> decision = tryProbe(request, now);
        if (!decision) {
            decision = m_policy.choose(m_pool, request, random, now);
        }
        if (!decision) {
            return std::nullopt;
        }
        const bool reserved = m_pool.reserveUrgent(decision->worker);
        FIREFLY_ASSERT(reserved, "a policy chose a worker without free capacity");
        return decision;
    }

private:
    /// Uses the call as a probe of an ejected worker when a probe is due and allowed.
    std::optional<RoutingDecision> tryProbe(const RoutingRequest &request, TimePoint now)
    {
        if (!Policy::UsesProbes || !request.idempotent || !request.exclude.empty()) {
            return std::nullopt;
        }
        const auto worker = m_pool.acquireProbe(now);
        if (!worker || !request.allows(m_pool.view(*worker).zone)) {
            return std::nullopt;
        }
        return RoutingDecision{.worker = *worker, .reason = RoutingReason::Probe, .candidates = 1};
    }

    WorkerPool &m_pool;
    Policy m_policy;
};

} // namespace firefly
