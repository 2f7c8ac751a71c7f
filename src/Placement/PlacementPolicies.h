#pragma once

#include "Core/Clock.h"
#include "Placement/PlacementContext.h"
#include "Placement/PlacementMessages.h"

#include <concepts>
#include <random>

namespace firefly {

/// A policy that chooses the worker for a batch job.
template <typename Policy>
concept PlacementPolicy = requires(Policy policy, const PlacementContext &context,
                                   const PlacementRequest &request, std::mt19937_64 &random,
                                   TimePoint now)
{
    {
        policy.choose(context, request, random, now)
        } -> std::same_as<Placement>;
};

/// Baseline: the first worker that the job fits on, regardless of urgent calls.
struct FirstFit
{
    Placement choose(const PlacementContext &context, const PlacementRequest &request,
                     std::mt19937_64 &random, TimePoint now);
};

/// Baseline: a random worker that the job fits on.
struct RandomFit
{
    Placement choose(const PlacementContext &context, const PlacementRequest &request,
                     std::mt19937_64 &random, TimePoint now);
};

/// The worker with the lowest cost by predicted slowdown among a few random ones, keeping capacity
/// free for bursts of urgent calls.
struct LeastSlowdown
{
    Placement choose(const PlacementContext &context, const PlacementRequest &request,
                     std::mt19937_64 &random, TimePoint now);
    /// Cost of the job on \a worker: slowdown of urgent calls and of the job itself, weighted by
    /// PlacementSettings::urgentWeight.
    static double costOf(const PlacementContext &context, const PlacementRequest &request,
                         WorkerIndex worker, TimePoint now);
    /// True when enough low-interference slots for urgent calls remain on other workers, or when
    /// the interference on \a worker is not low anyway.
    static bool mayDisturb(const PlacementContext &context, WorkerIndex worker);
    /// Resources of \a worker that batch tasks must leave to urgent calls.
    static Resources reservedForUrgent(const PlacementContext &context, WorkerIndex worker);
};

} // namespace firefly
