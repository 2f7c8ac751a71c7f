#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace firefly {

/// Dense number of a workload (a service or a kind of batch job) within one SlowdownModel.
using WorkloadIndex = std::uint16_t;

/// How much of one workload runs on a worker, as a share of the worker's processors.
struct WorkloadShare
{
    WorkloadIndex workload = 0;
    double share = 0;

    bool operator==(const WorkloadShare &) const = default;
};

/// Predicted slowdown: 1 means undisturbed.
struct SlowdownEstimate
{
    double mean = 1;
    double deviation = 0;

    double optimistic() const { return mean > deviation + 1 ? mean - deviation : 1; }
    double pessimistic() const { return mean + deviation; }
};

/// Share of a service's slots in use that is assumed where none is given.
constexpr double TypicalLoad = 0.6;

/// Settings of SlowdownModel.
struct SlowdownSettings
{
    double priorMean = 0.5;       ///< Slowdown added by a whole worker of an unknown workload.
    double priorDeviation = 1.0;  ///< Uncertainty of every effect before it was observed.
    double noiseDeviation = 0.15; ///< Noise of one observation.
    double driftPerSecond = 0.01; ///< Growth of an effect's variance: old lessons fade.
};

/// Learns how much each workload slows each other one, from observed slowdowns of workers whose
/// mix is known.
///
/// The slowdown of a victim is modelled as 1 + own x load + sum over the others of
/// share x (effect + effectOfLoad x load), where the load is the share of the victim's own slots in
/// use.  Per victim, a Kalman filter keeps the means of these effects and their covariance, because
/// workloads that are often seen together could not be told apart by their variances alone.
class SlowdownModel
{
public:
    explicit SlowdownModel(const SlowdownSettings &settings = {})
        : m_settings(settings)
    {}

    /// Number of a service or batch kind; added when new.
    WorkloadIndex service(const ServiceId &service);
    WorkloadIndex batchKind(std::string_view kind);

    /// Learns that \a victim ran \a slowdown times slower beside \a others.
    void observe(WorkloadIndex victim, std::span<const WorkloadShare> others, double slowdown,
                 TimePoint now, double load = TypicalLoad);
    /// Slowdown of \a victim beside \a others, its own load included.
    SlowdownEstimate predict(WorkloadIndex victim, std::span<const WorkloadShare> others,
                             TimePoint now, double load = TypicalLoad) const;
    /// Slowdown that \a share of a worker given to \a aggressor causes by itself.
    SlowdownEstimate pair(WorkloadIndex victim, WorkloadIndex aggressor, TimePoint now,
                          double share = 1, double load = TypicalLoad) const;

    nlohmann::json dump(TimePoint now) const;

    /// What was learned at one load, small enough to be kept elsewhere; see restore().
    nlohmann::json summarize(TimePoint now, double load) const;
    /// Begins with the lessons of an earlier model that was observed at \a load only.
    /// \throws nlohmann::json::exception for another format.
    void restore(const nlohmann::json &summary, TimePoint now, double load);

private:
    /// One factor of the linear model, with its value in an observation.
    struct Term
    {
        std::size_t place = 0;
        double value = 0;
    };

    /// What was learned about one victim.
    struct Victim
    {
        std::vector<std::size_t> placeOf; ///< By workload: first of its two terms, or NoPlace.
        std::vector<double> means;
        std::vector<std::vector<double>> covariance;
        TimePoint updated{};
        std::uint64_t observations = 0;
    };

    static constexpr std::size_t NoPlace = ~std::size_t(0);

    WorkloadIndex index(std::string name);
    void addTerm(Victim &victim, double mean) const;
    std::size_t placeOf(Victim &victim, WorkloadIndex workload) const;
    void age(Victim &victim, TimePoint now) const;
    std::vector<Term> termsOf(Victim &victim, std::span<const WorkloadShare> others,
                              double load) const;
    void addKnown(SlowdownEstimate &sum, std::span<const Term> terms, const Victim &victim,
                  TimePoint now) const;

    SlowdownSettings m_settings;
    std::vector<std::string> m_names;
    std::map<std::string, WorkloadIndex, std::less<>> m_indexOfName;
    std::map<WorkloadIndex, Victim> m_victims;
};

} // namespace firefly
