#pragma once

#include "Core/Clock.h"
#include "Placement/PlacementContext.h"
#include "Placement/PlacementMessages.h"

#include <concepts>
#include <random>

namespace firefly {

/// A rule that picks the worker for a batch job.
template <typename Policy>
concept PlacementPolicy = requires(Policy policy, const PlacementContext &context,
                                   const PlacementRequest &request, std::mt19937_64 &random,
                                   TimePoint now)
{
    {
        policy.choose(context, request, random, now)
        } -> std::same_as<Placement>;
};

/// Baseline: the first worker that the job fits on, with no thought for urgent calls.
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

/// The least disturbing of a few random workers, leaving room for urgent bursts.
struct LeastSlowdown
{
    Placement choose(const PlacementContext &context, const PlacementRequest &request,
                     std::mt19937_64 &random, TimePoint now);
    /// Expected harm of the job on \a worker: to urgent calls and to the job itself, by weight.
    static double costOf(const PlacementContext &context, const PlacementRequest &request,
                         WorkerIndex worker, TimePoint now);
    /// Whether calls can spare \a worker as a calm one, should the job disturb it.
    static bool canBeDisturbed(const PlacementContext &context, WorkerIndex worker);
    /// Resources of \a worker that batch tasks leave to urgent calls.
    static Resources keptForUrgent(const PlacementContext &context, WorkerIndex worker);
};

} // namespace firefly
