#pragma once

#include "Placement/CapacityShapes.h"
#include "Placement/PlacementPolicies.h"

#include <random>
#include <utility>

namespace firefly {

/// Chooses the worker for a batch job by \a Policy, and rejects jobs that no worker could ever run.
template <typename Policy>
class BatchPlacer
{
    static_assert(PlacementPolicy<Policy>, "Policy needs choose(context, request, random, now)");

public:
    explicit BatchPlacer(Policy policy = {})
        : m_policy(std::move(policy))
    {}

    Placement place(const PlacementContext &context, const CapacityShapes &shapes,
                    const PlacementRequest &request, std::mt19937_64 &random, TimePoint now)
    {
        if (auto reason = shapes.infeasibilityReason(request.resources, request.zones)) {
            return Infeasible{std::move(*reason)};
        }
        return m_policy.choose(context, request, random, now);
    }

private:
    Policy m_policy;
};

} // namespace firefly
