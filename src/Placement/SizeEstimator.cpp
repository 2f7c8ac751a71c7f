#include "Placement/SizeEstimator.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace firefly {
namespace {

/// A peak above the estimate moves it fast, one below it slowly: running short costs a lost
/// attempt.
constexpr double GainUp = 0.7;
constexpr double GainDown = 0.05;
constexpr double RuntimeGain = 0.2;
constexpr double Margin = 1.1;            ///< Room above the learned peak.
constexpr double ExceededGrowth = 1.5;    ///< Next grant after a guard stopped a job.
constexpr std::uint64_t TrustedAfter = 5; ///< Ended jobs before a grant goes below the declaration.

void learnPeak(double &ratio, double observed)
{
    const double gain = observed > ratio ? GainUp : GainDown;
    ratio += gain * (observed - ratio);
}

double ratioOf(std::int64_t observed, std::int64_t declared)
{
    return double(observed) / double(std::max<std::int64_t>(1, declared));
}

std::int64_t grant(std::int64_t declared, double ratio, bool trusted)
{
    const double wanted = trusted ? ratio * Margin : std::max(1.0, ratio * Margin);
    return std::max<std::int64_t>(1, std::llround(double(declared) * wanted));
}

} // namespace

SizeEstimator::Estimate SizeEstimator::estimate(const JobSpec &spec) const
{
    const auto it = m_ratios.find({spec.customer, spec.kind});
    if (it == m_ratios.end()) {
        return {.resources = spec.resources, .runtimeMs = spec.runtimeMs};
    }
    const Ratios &ratios = it->second;
    const bool trusted = ratios.ended >= TrustedAfter;
    Estimate estimate{.resources = spec.resources, .observations = ratios.ended};
    estimate.resources.milliProcessors =
        grant(spec.resources.milliProcessors, ratios.processors, trusted);
    estimate.resources.memoryMiB = grant(spec.resources.memoryMiB, ratios.memory, trusted);
    estimate.runtimeMs = std::llround(double(spec.runtimeMs) * ratios.runtime);
    return estimate;
}

void SizeEstimator::recordEnded(const JobSpec &spec, const Resources &peak, std::int64_t runtimeMs)
{
    const double processors = ratioOf(peak.milliProcessors, spec.resources.milliProcessors);
    const double memory = ratioOf(peak.memoryMiB, spec.resources.memoryMiB);
    const double runtime = ratioOf(runtimeMs, spec.runtimeMs);
    const Ratios first{.processors = processors, .memory = memory, .runtime = runtime};
    Ratios &ratios = m_ratios.try_emplace({spec.customer, spec.kind}, first).first->second;
    learnPeak(ratios.processors, processors);
    learnPeak(ratios.memory, memory);
    ratios.runtime += RuntimeGain * (runtime - ratios.runtime);
    ++ratios.ended;
}

void SizeEstimator::recordExceeded(const JobSpec &spec, const Resources &granted)
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
