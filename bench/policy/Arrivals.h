#pragma once

#include "bench/policy/Scenario.h"
#include "Core/Clock.h"
#include "Core/Resources.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace firefly::bench {

/// Median processing time of an urgent call without interference, in microseconds.
constexpr double MedianCallUs = 80000;
/// Sigma of the lognormal distribution of call processing times.
constexpr double CallSigma = 0.5;
/// Latency above which an urgent call counts as late.
constexpr Duration LateThreshold = std::chrono::milliseconds(500);
/// Capacity of every worker.
constexpr Resources WorkerCapacity{32000, 128000, 0, 8};

/// Mean processing time of an urgent call without interference, in seconds.
double meanCallSeconds();

/// An urgent request as its caller sends it.
struct UrgentArrival
{
    Duration at{};
    std::size_t zone = 0;
    std::size_t plan = 0;
    bool isIdempotent = false;
    double processingUs = 0; ///< Processing time without interference.
};

/// A batch job with its declared and its actual needs.
struct BatchArrival
{
    Duration at{};
    std::size_t kind = 0;
    Resources declared;
    Resources needed;
    double declaredSeconds = 0;
    double neededSeconds = 0;
};

/// Name of a batch kind.
const std::string &kindName(std::size_t kind);
/// Whether tasks of \a kind can be checkpointed when they are stopped.
bool canCheckpoint(std::size_t kind);
/// Share of all urgent requests that come from the customers of \a plan.
double planDemandShare(std::size_t plan);
/// Fair-share weight of \a plan.
std::int64_t planWeight(std::size_t plan);

/// Generates the requests and jobs of a run; equal seeds give equal arrivals for every policy.
class Arrivals
{
public:
    Arrivals(const Scenario &scenario, std::uint64_t seed);

    /// Draws the first urgent request after \a now.
    UrgentArrival nextUrgent(Duration now);
    /// Draws the first batch job after \a now.
    BatchArrival nextBatch(Duration now);

private:
    double urgentPerSecond(Duration now) const;
    double batchPerSecond(Duration now) const;
    std::size_t drawZone(Duration now);
    std::size_t drawKind(Duration now);

    const Scenario &m_scenario;
    std::mt19937_64 m_urgentRandom;
    std::mt19937_64 m_batchRandom;
    std::array<double, KindCount> m_sizeRatios{};
    std::array<double, KindCount> m_runtimeRatios{};
};

} // namespace firefly::bench
