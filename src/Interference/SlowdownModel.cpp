#include "Interference/SlowdownModel.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace firefly {

WorkloadIndex SlowdownModel::service(const ServiceId &service)
{
    return index("service:" + service.value());
}

WorkloadIndex SlowdownModel::batchKind(std::string_view kind)
{
    return index("batch:" + std::string(kind));
}

WorkloadIndex SlowdownModel::index(std::string name)
{
    const auto next = static_cast<WorkloadIndex>(m_names.size());
    const auto [it, inserted] = m_indexOfName.try_emplace(std::move(name), next);
    if (inserted) {
        m_names.push_back(it->first);
    }
    return it->second;
}

SlowdownModel::Effect SlowdownModel::effect(WorkloadIndex victim, WorkloadIndex aggressor,
                                            TimePoint now) const
{
    const double priorVariance = m_settings.priorDeviation * m_settings.priorDeviation;
    const auto it = m_effects.find({victim, aggressor});
    if (it == m_effects.end()) {
        return {.mean = m_settings.priorMean, .variance = priorVariance, .updated = now};
    }
    Effect effect = it->second;
    const double seconds = std::chrono::duration<double>(now - effect.updated).count();
    effect.variance =
        std::min(effect.variance + seconds * m_settings.driftPerSecond, priorVariance);
    effect.updated = now;
    return effect;
}

void SlowdownModel::observe(WorkloadIndex victim, std::span<const WorkloadShare> others,
                            double slowdown, TimePoint now)
{
    double predicted = 1;
    double variance = m_settings.noiseDeviation * m_settings.noiseDeviation;
    for (const WorkloadShare &it : others) {
        const Effect effect = this->effect(victim, it.workload, now);
        predicted += it.share * effect.mean;
        variance += it.share * it.share * effect.variance;
    }
    const double surprise = slowdown - predicted;
    for (const WorkloadShare &it : others) {
        Effect effect = this->effect(victim, it.workload, now);
        const double gain = effect.variance * it.share / variance;
        effect.mean = std::max(0.0, effect.mean + gain * surprise);
        effect.variance *= 1 - gain * it.share;
        ++effect.observations;
        m_effects[{victim, it.workload}] = effect;
    }
}

SlowdownEstimate SlowdownModel::predict(WorkloadIndex victim, std::span<const WorkloadShare> others,
                                        TimePoint now) const
{
    double mean = 1;
    double variance = 0;
    for (const WorkloadShare &it : others) {
        const Effect effect = this->effect(victim, it.workload, now);
        mean += it.share * effect.mean;
        variance += it.share * it.share * effect.variance;
    }
    return {mean, std::sqrt(variance)};
}

SlowdownEstimate SlowdownModel::pair(WorkloadIndex victim, WorkloadIndex aggressor,
                                     TimePoint now) const
{
    const WorkloadShare whole{aggressor, 1};
    return predict(victim, {&whole, 1}, now);
}

nlohmann::json SlowdownModel::dump(TimePoint now) const
{
    nlohmann::json pairs = nlohmann::json::array();
    for (const auto &[key, learned] : m_effects) {
        const SlowdownEstimate estimate = pair(key.first, key.second, now);
        pairs.push_back({{"victim", m_names[key.first]},
                         {"beside", m_names[key.second]},
                         {"slowdown", estimate.mean},
                         {"deviation", estimate.deviation},
                         {"observations", learned.observations}});
    }
    return pairs;
}

} // namespace firefly
