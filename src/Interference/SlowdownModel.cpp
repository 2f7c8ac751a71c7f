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

void SlowdownModel::addTerm(VictimModel &victim, double mean) const
{
    victim.means.push_back(mean);
    for (auto &row : victim.covariance) {
        row.push_back(0);
    }
    victim.covariance.emplace_back(victim.means.size(), 0);
    victim.covariance.back().back() = m_settings.priorDeviation * m_settings.priorDeviation;
}

std::size_t SlowdownModel::findOrAddTerms(VictimModel &victim, WorkloadIndex workload) const
{
    if (victim.firstTermOf.size() <= workload) {
        victim.firstTermOf.resize(workload + 1U, NoTerm);
    }
    std::size_t &termIndex = victim.firstTermOf[workload];
    if (termIndex == NoTerm) {
        termIndex = victim.means.size();
        addTerm(victim, m_settings.priorMean);
        addTerm(victim, 0);
    }
    return termIndex;
}

std::vector<SlowdownModel::Term> SlowdownModel::termsOf(VictimModel &victim,
                                                        std::span<const WorkloadShare> others,
                                                        double load) const
{
    if (victim.means.empty()) {
        addTerm(victim, 0);
    }
    std::vector<Term> terms{{0, load}};
    for (const WorkloadShare &it : others) {
        const std::size_t termIndex = findOrAddTerms(victim, it.workload);
        terms.push_back({termIndex, it.share});
        terms.push_back({termIndex + 1, it.share * load});
    }
    return terms;
}

void SlowdownModel::inflateVariance(VictimModel &victim, TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - victim.updated).count();
    const double prior = m_settings.priorDeviation * m_settings.priorDeviation;
    for (std::size_t i = 0; i < victim.means.size(); ++i) {
        double &variance = victim.covariance[i][i];
        variance =
            std::max(variance, std::min(prior, variance + seconds * m_settings.driftPerSecond));
    }
    victim.updated = now;
}

void SlowdownModel::observe(WorkloadIndex victim, std::span<const WorkloadShare> others,
                            double slowdown, TimePoint now, double load)
{
    VictimModel &model = m_victims.try_emplace(victim, VictimModel{.updated = now}).first->second;
    inflateVariance(model, now);
    const std::vector<Term> terms = termsOf(model, others, load);
    const std::size_t n = model.means.size();
    // Covariance of every effect with the predicted slowdown.
    std::vector<double> crossCovariance(n, 0);
    for (std::size_t i = 0; i < n; ++i) {
        for (const Term &it : terms) {
            crossCovariance[i] += model.covariance[i][it.termIndex] * it.value;
        }
    }
    double predicted = 1;
    double variance = m_settings.noiseDeviation * m_settings.noiseDeviation;
    for (const Term &it : terms) {
        predicted += model.means[it.termIndex] * it.value;
        variance += crossCovariance[it.termIndex] * it.value;
    }
    const double innovation = slowdown - predicted;
    for (std::size_t i = 0; i < n; ++i) {
        model.means[i] += crossCovariance[i] / variance * innovation;
        for (std::size_t j = 0; j < n; ++j) {
            model.covariance[i][j] -= crossCovariance[i] * crossCovariance[j] / variance;
        }
    }
    ++model.observations;
}

void SlowdownModel::addLearnedEffects(SlowdownEstimate &sum, std::span<const Term> terms,
                                      const VictimModel &victim, TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - victim.updated).count();
    double mean = 0;
    double variance = 0;
    for (const Term &it : terms) {
        mean += victim.means[it.termIndex] * it.value;
        variance += it.value * it.value * seconds * m_settings.driftPerSecond;
        for (const Term &other : terms) {
            variance += it.value * other.value * victim.covariance[it.termIndex][other.termIndex];
        }
    }
    sum.mean += mean;
    sum.deviation = std::sqrt(sum.deviation * sum.deviation + std::max(0.0, variance));
}

SlowdownEstimate SlowdownModel::predict(WorkloadIndex victim, std::span<const WorkloadShare> others,
                                        TimePoint now, double load) const
{
    SlowdownEstimate sum;
    const auto it = m_victims.find(victim);
    const bool isKnown = it != m_victims.end();
    std::vector<Term> terms;
    if (isKnown) {
        terms.push_back({0, load});
    }
    for (const WorkloadShare &other : others) {
        const bool isLearned = isKnown && other.workload < it->second.firstTermOf.size()
                               && it->second.firstTermOf[other.workload] != NoTerm;
        if (!isLearned) {
            sum.mean += other.share * m_settings.priorMean;
            sum.deviation = std::hypot(sum.deviation, other.share * m_settings.priorDeviation);
            continue;
        }
        const std::size_t termIndex = it->second.firstTermOf[other.workload];
        terms.push_back({termIndex, other.share});
        terms.push_back({termIndex + 1, other.share * load});
    }
    if (isKnown) {
        addLearnedEffects(sum, terms, it->second, now);
    }
    sum.mean = std::max(1.0, sum.mean);
    return sum;
}

SlowdownEstimate SlowdownModel::pairwiseSlowdown(WorkloadIndex victim, WorkloadIndex aggressor,
                                                 TimePoint now, double share, double load) const
{
    const WorkloadShare coRunner{aggressor, share};
    const SlowdownEstimate with = predict(victim, {&coRunner, 1}, now, load);
    const SlowdownEstimate without = predict(victim, {}, now, load);
    return {std::max(1.0, 1 + with.mean - without.mean), with.deviation};
}

nlohmann::json SlowdownModel::summarize(TimePoint now, double load) const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &[victim, model] : m_victims) {
        const SlowdownEstimate alone = predict(victim, {}, now, load);
        rows.push_back({m_names[victim], "", model.means[0] * load, alone.deviation});
        const auto workloadCount = WorkloadIndex(model.firstTermOf.size());
        for (WorkloadIndex other = 0; other < workloadCount; ++other) {
            if (model.firstTermOf[other] == NoTerm) {
                continue;
            }
            const std::size_t termIndex = model.firstTermOf[other];
            const double mean = model.means[termIndex] + model.means[termIndex + 1] * load;
            rows.push_back({m_names[victim], m_names[other], mean,
                            pairwiseSlowdown(victim, other, now, 1, load).deviation});
        }
    }
    return rows;
}

void SlowdownModel::restore(const nlohmann::json &summary, TimePoint now, double load)
{
    for (const auto &row : summary) {
        const WorkloadIndex victim = index(row.at(0).get<std::string>());
        VictimModel &model =
            m_victims.try_emplace(victim, VictimModel{.updated = now}).first->second;
        if (model.means.empty()) {
            addTerm(model, 0);
        }
        std::size_t termIndex = 0;
        double scale = load;
        const auto other = row.at(1).get<std::string>();
        if (!other.empty()) {
            termIndex = findOrAddTerms(model, index(other));
            scale = 1;
            // Observations at a single load cannot separate the second term from the first.
            model.covariance[termIndex + 1][termIndex + 1] = 0;
        }
        const double deviation = row.at(3).get<double>() / scale;
        model.means[termIndex] = row.at(2).get<double>() / scale;
        model.covariance[termIndex][termIndex] = deviation * deviation;
    }
}

nlohmann::json SlowdownModel::dump(TimePoint now) const
{
    nlohmann::json pairs = nlohmann::json::array();
    for (const auto &[victim, model] : m_victims) {
        const auto workloadCount = WorkloadIndex(model.firstTermOf.size());
        for (WorkloadIndex other = 0; other < workloadCount; ++other) {
            if (model.firstTermOf[other] == NoTerm) {
                continue;
            }
            const SlowdownEstimate estimate = pairwiseSlowdown(victim, other, now);
            pairs.push_back({{"victim", m_names[victim]},
                             {"beside", m_names[other]},
                             {"slowdown", estimate.mean},
                             {"deviation", estimate.deviation},
                             {"observations", model.observations}});
        }
    }
    return pairs;
}

} // namespace firefly
