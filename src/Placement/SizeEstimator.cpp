#include "Placement/SizeEstimator.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace firefly {
namespace {

/// Peaks above the estimate raise it quickly and peaks below lower it slowly, because too small a
/// grant costs a lost attempt.
constexpr double GainUp = 0.7;
constexpr double GainDown = 0.05;
/// Weight of one run time in its moving average.
constexpr double RuntimeGain = 0.2;
constexpr double Margin = 1.1;         ///< Safety factor over the learned peak.
constexpr double ExceededGrowth = 1.5; ///< Growth of the grant after a job exceeded it.
/// Ended jobs before a grant may be below the declaration.
constexpr std::uint64_t MinTrustedJobs = 5;

void updatePeakRatio(double &ratio, double observed)
{
    const double gain = observed > ratio ? GainUp : GainDown;
    ratio += gain * (observed - ratio);
}

double ratioOf(std::int64_t observed, std::int64_t declared)
{
    return double(observed) / double(std::max<std::int64_t>(1, declared));
}

std::int64_t grantFor(std::int64_t declared, double ratio, bool isTrusted)
{
    const double wanted = isTrusted ? ratio * Margin : std::max(1.0, ratio * Margin);
    return std::max<std::int64_t>(1, std::llround(double(declared) * wanted));
}

} // namespace

SizeEstimator::Estimate SizeEstimator::estimate(const BatchJobSpec &spec) const
{
    const auto it = m_ratios.find({spec.customer, spec.kind});
    if (it == m_ratios.end()) {
        return {.resources = spec.resources, .runtimeMs = spec.runtimeMs};
    }
    const Ratios &ratios = it->second;
    const bool isTrusted = ratios.ended >= MinTrustedJobs;
    Estimate estimate{.resources = spec.resources, .observations = ratios.ended};
    estimate.resources.milliProcessors =
        grantFor(spec.resources.milliProcessors, ratios.processors, isTrusted);
    estimate.resources.memoryMiB = grantFor(spec.resources.memoryMiB, ratios.memory, isTrusted);
    estimate.runtimeMs = std::llround(double(spec.runtimeMs) * ratios.runtime);
    return estimate;
}

void SizeEstimator::recordEnded(const BatchJobSpec &spec, const Resources &peak,
                                std::int64_t runtimeMs)
{
    const double processors = ratioOf(peak.milliProcessors, spec.resources.milliProcessors);
    const double memory = ratioOf(peak.memoryMiB, spec.resources.memoryMiB);
    const double runtime = ratioOf(runtimeMs, spec.runtimeMs);
    const Ratios first{.processors = processors, .memory = memory, .runtime = runtime};
    Ratios &ratios = m_ratios.try_emplace({spec.customer, spec.kind}, first).first->second;
    updatePeakRatio(ratios.processors, processors);
    updatePeakRatio(ratios.memory, memory);
    ratios.runtime += RuntimeGain * (runtime - ratios.runtime);
    ++ratios.ended;
}

void SizeEstimator::recordExceeded(const BatchJobSpec &spec, const Resources &granted)
{
    Ratios &ratios = m_ratios[{spec.customer, spec.kind}];
    const double memory = ratioOf(granted.memoryMiB, spec.resources.memoryMiB);
    ratios.memory = std::max(ratios.memory, memory * ExceededGrowth / Margin);
}

nlohmann::json SizeEstimator::dump() const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &[key, ratios] : m_ratios) {
        rows.push_back({{"customer", key.first.value()},
                        {"kind", key.second},
                        {"processors", ratios.processors},
                        {"memory", ratios.memory},
                        {"runtime", ratios.runtime},
                        {"ended", ratios.ended}});
    }
    return rows;
}

} // namespace firefly
