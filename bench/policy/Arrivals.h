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

/// Median time of an undisturbed urgent call.
constexpr double MedianCallUs = 80000;
/// Spread of call times, as the sigma of a lognormal distribution.
constexpr double CallSigma = 0.5;
/// An urgent call answered later than this after its arrival is late.
constexpr Duration LateAfter = std::chrono::milliseconds(500);
/// Size of a worker.
constexpr Resources WorkerCapacity{32000, 128000, 0, 8};

/// Mean time of an undisturbed urgent call, in seconds.
double meanCallSeconds();

/// An urgent request as its caller sends it.
struct UrgentArrival
{
    Duration at{};
    std::size_t zone = 0;
    std::size_t plan = 0;
    bool idempotent = false;
    double serviceUs = 0; ///< Undisturbed.
};

/// A batch job as submitted, with what it really needs.
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
/// Whether tasks of the kind keep their progress when they are stopped.
bool canCheckpoint(std::size_t kind);
/// Share of the requests that each plan's customers send.
double planDemand(std::size_t plan);
/// Weight of each plan.
std::int64_t planWeight(std::size_t plan);

/// Draws the requests and jobs of a run: the same for every policy with the same seed.
class Arrivals
{
public:
    Arrivals(const Scenario &scenario, std::uint64_t seed);

    UrgentArrival nextUrgent(Duration now);
    BatchArrival nextBatch(Duration now);

private:
    double urgentPerSecond(Duration now) const;
    double batchPerSecond(Duration now) const;
    std::size_t drawZone(Duration now);
    std::size_t drawKind(Duration now);

    const Scenario &m_scenario;
    std::mt19937_64 m_urgent;
    std::mt19937_64 m_batch;
    std::array<double, KindCount> m_sizeRatios{};
    std::array<double, KindCount> m_runtimeRatios{};
};

} // namespace firefly::bench
