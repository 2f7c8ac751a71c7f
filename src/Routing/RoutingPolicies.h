#pragma once

#include "Core/Clock.h"
#include "Routing/RoutingRequest.h"
#include "Routing/WorkerPool.h"

#include <concepts>
#include <optional>
#include <random>

namespace firefly {

/// A rule that picks the worker for an urgent call among those with room.
template <typename Policy>
concept RoutingPolicy = requires(Policy policy, const WorkerPool &pool,
                                 const RoutingRequest &request, std::mt19937_64 &random,
                                 TimePoint now)
{
    {
        policy.choose(pool, request, random, now)
        } -> std::same_as<std::optional<RoutingDecision>>;
    {
        Policy::UsesProbes
        } -> std::convertible_to<bool>;
};

/// Baseline: any worker with room, each as likely.
struct RandomChoice
{
    static constexpr bool UsesProbes = false;
    std::optional<RoutingDecision> choose(const WorkerPool &pool, const RoutingRequest &request,
                                          std::mt19937_64 &random, TimePoint now);
};

/// Baseline: the worker with the fewest urgent calls outstanding, ties at random.
struct LeastOutstanding
{
    static constexpr bool UsesProbes = false;
    std::optional<RoutingDecision> choose(const WorkerPool &pool, const RoutingRequest &request,
                                          std::mt19937_64 &random, TimePoint now);
};

/// The cheapest of a few random workers: outstanding work x learned latency x expected slowdown,
/// plus the distance and quality of the zone link.
struct TwoChoice
{
    static constexpr bool UsesProbes = true;
    std::optional<RoutingDecision> choose(const WorkerPool &pool, const RoutingRequest &request,
                                          std::mt19937_64 &random, TimePoint now);
    /// Expected cost of one more call on \a worker, in microseconds.
    static double costUs(const WorkerPool &pool, WorkerIndex worker, ZoneIndex callerZone,
                         TimePoint now);
};

} // namespace firefly
