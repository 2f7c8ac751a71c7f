#pragma once

#include "Core/Clock.h"
#include "Routing/RoutingRequest.h"
#include "Routing/WorkerPool.h"

#include <concepts>
#include <optional>
#include <random>

namespace firefly {

/// A policy that chooses the worker for an urgent call among those with free capacity.
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

/// Baseline: a worker with free capacity, uniformly at random.
struct RandomChoice
{
    static constexpr bool UsesProbes = false;
    std::optional<RoutingDecision> choose(const WorkerPool &pool, const RoutingRequest &request,
                                          std::mt19937_64 &random, TimePoint now);
};

/// Baseline: the worker with the fewest outstanding urgent calls, ties broken at random.
struct LeastOutstanding
{
    static constexpr bool UsesProbes = false;
    std::optional<RoutingDecision> choose(const WorkerPool &pool, const RoutingRequest &request,
                                          std::mt19937_64 &random, TimePoint now);
};

/// Power of two choices: the worker with the lowest cost among a few random ones.  The cost grows
/// with outstanding calls, learned latency and expected slowdown, the share of failed calls, and
/// the round trip and loss of the zone link.
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
