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

void SlowdownModel::addTerm(Victim &victim, double mean) const
{
    victim.means.push_back(mean);
    for (auto &row : victim.covariance) {
        row.push_back(0);
    }
    victim.covariance.emplace_back(victim.means.size(), 0);
    victim.covariance.back().back() = m_settings.priorDeviation * m_settings.priorDeviation;
}

std::size_t SlowdownModel::placeOf(Victim &victim, WorkloadIndex workload) const
{
    if (victim.placeOf.size() <= workload) {
        victim.placeOf.resize(workload + 1U, NoPlace);
    }
    std::size_t &place = victim.placeOf[workload];
    if (place == NoPlace) {
        place = victim.means.size();
        addTerm(victim, m_settings.priorMean);
        addTerm(victim, 0);
    }
    return place;
}

std::vector<SlowdownModel::Term>
SlowdownModel::termsOf(Victim &victim, std::span<const WorkloadShare> others, double load) const
{
    if (victim.means.empty()) {
        addTerm(victim, 0);
    }
    std::vector<Term> terms{{0, load}};
    for (const WorkloadShare &it : others) {
        const std::size_t place = placeOf(victim, it.workload);
        terms.push_back({place, it.share});
        terms.push_back({place + 1, it.share * load});
    }
    return terms;
}

void SlowdownModel::age(Victim &victim, TimePoint now) const
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
    Victim &learned = m_victims.try_emplace(victim, Victim{.updated = now}).first->second;
    age(learned, now);
    const std::vector<Term> terms = termsOf(learned, others, load);
    const std::size_t n = learned.means.size();
    std::vector<double> spread(n, 0); // Covariance of every effect with the predicted slowdown.
    for (std::size_t i = 0; i < n; ++i) {
        for (const Term &it : terms) {
            spread[i] += learned.covariance[i][it.place] * it.value;
        }
    }
    double predicted = 1;
    double variance = m_settings.noiseDeviation * m_settings.noiseDeviation;
    for (const Term &it : terms) {
        predicted += learned.means[it.place] * it.value;
        variance += spread[it.place] * it.value;
    }
    const double surprise = slowdown - predicted;
    for (std::size_t i = 0; i < n; ++i) {
        learned.means[i] += spread[i] / variance * surprise;
        for (std::size_t j = 0; j < n; ++j) {
            learned.covariance[i][j] -= spread[i] * spread[j] / variance;
        }
    }
    ++learned.observations;
}

void SlowdownModel::addKnown(SlowdownEstimate &sum, std::span<const Term> terms,
                             const Victim &victim, TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - victim.updated).count();
    double mean = 0;
    double variance = 0;
    for (const Term &it : terms) {
        mean += victim.means[it.place] * it.value;
        variance += it.value * it.value * seconds * m_settings.driftPerSecond;
        for (const Term &other : terms) {
            variance += it.value * other.value * victim.covariance[it.place][other.place];
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
        const bool seen = isKnown && other.workload < it->second.placeOf.size()
                          && it->second.placeOf[other.workload] != NoPlace;
        if (!seen) {
            sum.mean += other.share * m_settings.priorMean;
            sum.deviation = std::hypot(sum.deviation, other.share * m_settings.priorDeviation);
            continue;
        }
        const std::size_t place = it->second.placeOf[other.workload];
        terms.push_back({place, other.share});
        terms.push_back({place + 1, other.share * load});
    }
    if (isKnown) {
        addKnown(sum, terms, it->second, now);
    }
    sum.mean = std::max(1.0, sum.mean);
    return sum;
}

SlowdownEstimate SlowdownModel::pair(WorkloadIndex victim, WorkloadIndex aggressor, TimePoint now,
                                     double share, double load) const
{
    const WorkloadShare beside{aggressor, share};
    const SlowdownEstimate with = predict(victim, {&beside, 1}, now, load);
    const SlowdownEstimate without = predict(victim, {}, now, load);
    return {std::max(1.0, 1 + with.mean - without.mean), with.deviation};
}

nlohmann::json SlowdownModel::summarize(TimePoint now, double load) const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &[victim, learned] : m_victims) {
        const SlowdownEstimate alone = predict(victim, {}, now, load);
        rows.push_back({m_names[victim], "", learned.means[0] * load, alone.deviation});
        const auto known = WorkloadIndex(learned.placeOf.size());
        for (WorkloadIndex other = 0; other < known; ++other) {
            if (learned.placeOf[other] == NoPlace) {
                continue;
            }
            const std::size_t place = learned.placeOf[other];
            const double mean = learned.means[place] + learned.means[place + 1] * load;
            rows.push_back({m_names[victim], m_names[other], mean,
                            pair(victim, other, now, 1, load).deviation});
        }
    }
    return rows;
}

void SlowdownModel::restore(const nlohmann::json &summary, TimePoint now, double load)
{
    for (const auto &row : summary) {
        const WorkloadIndex victim = index(row.at(0).get<std::string>());
        Victim &learned = m_victims.try_emplace(victim, Victim{.updated = now}).first->second;
        if (learned.means.empty()) {
            addTerm(learned, 0);
        }
        std::size_t place = 0;
        double scale = load;
        const auto other = row.at(1).get<std::string>();
        if (!other.empty()) {
            place = placeOf(learned, index(other));
            scale = 1;
            // At one load the second term says nothing of its own.
            learned.covariance[place + 1][place + 1] = 0;
        }
        const double deviation = row.at(3).get<double>() / scale;
        learned.means[place] = row.at(2).get<double>() / scale;
        learned.covariance[place][place] = deviation * deviation;
    }
}

nlohmann::json SlowdownModel::dump(TimePoint now) const
{
    nlohmann::json pairs = nlohmann::json::array();
    for (const auto &[victim, learned] : m_victims) {
        const auto known = WorkloadIndex(learned.placeOf.size());
        for (WorkloadIndex other = 0; other < known; ++other) {
            if (learned.placeOf[other] == NoPlace) {
                continue;
            }
            const SlowdownEstimate estimate = pair(victim, other, now);
            pairs.push_back({{"victim", m_names[victim]},
                             {"beside", m_names[other]},
                             {"slowdown", estimate.mean},
                             {"deviation", estimate.deviation},
                             {"observations", learned.observations}});
        }
    }
    return pairs;
}

} // namespace firefly
