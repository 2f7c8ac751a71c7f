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

/// Dense index of a workload (a service or a kind of batch job) within one SlowdownModel.
using WorkloadIndex = std::uint16_t;

/// Amount of one workload on a worker, as a share of the worker's processors.
struct WorkloadShare
{
    WorkloadIndex workload = 0;
    double share = 0;

    bool operator==(const WorkloadShare &) const = default;
};

/// Predicted slowdown factor with its standard deviation; 1 means no slowdown.
struct SlowdownEstimate
{
    double mean = 1;
    double deviation = 0;

    double optimistic() const { return mean > deviation + 1 ? mean - deviation : 1; }
    double pessimistic() const { return mean + deviation; }
};

/// Default load of a service: the share of its slots in use.
constexpr double TypicalLoad = 0.6;

/// Settings of SlowdownModel.
struct SlowdownSettings
{
    double priorMean = 0.5;       ///< Slowdown added by an unknown workload that fills the worker.
    double priorDeviation = 1.0;  ///< Standard deviation of an effect before any observation.
    double noiseDeviation = 0.15; ///< Standard deviation of the noise of one observation.
    /// Growth of an effect's variance per second, so that old observations count less.
    double driftPerSecond = 0.01;
};

/// Learns how much each workload slows down every other one, from slowdowns observed on workers
/// whose workload mix is known.
///
/// The slowdown of a victim is modelled as 1 + own x load + sum over the others of
/// share x (effect + effectOfLoad x load), where the load is the share of the victim's own slots in
/// use.  A Kalman filter per victim estimates the means of these effects and their full covariance
/// matrix: variances alone could not separate workloads that usually run together.
class SlowdownModel
{
public:
    explicit SlowdownModel(const SlowdownSettings &settings = {})
        : m_settings(settings)
    {}

    /// Index of a service or a kind of batch job, which is added when new.
    WorkloadIndex service(const ServiceId &service);
    WorkloadIndex batchKind(std::string_view kind);

    /// Updates the model with an observation: \a victim ran \a slowdown times slower next to
    /// \a others, at \a load.
    void observe(WorkloadIndex victim, std::span<const WorkloadShare> others, double slowdown,
                 TimePoint now, double load = TypicalLoad);
    /// Predicted slowdown of \a victim next to \a others, including the effect of its own load.
    SlowdownEstimate predict(WorkloadIndex victim, std::span<const WorkloadShare> others,
                             TimePoint now, double load = TypicalLoad) const;
    /// Predicted slowdown that \a aggressor alone causes with \a share of the worker's processors,
    /// without the effect of the victim's own load.
    SlowdownEstimate pairwiseSlowdown(WorkloadIndex victim, WorkloadIndex aggressor, TimePoint now,
                                      double share = 1, double load = TypicalLoad) const;

    /// Slowdown of every pair of workloads that was observed, for diagnostics.
    nlohmann::json dump(TimePoint now) const;

    /// Compact form of the model at a single \a load, to be stored and passed to restore().
    nlohmann::json summarize(TimePoint now, double load) const;
    /// Initializes the model from summarize() of an earlier one that was observed at \a load only.
    /// \throws nlohmann::json::exception when \a summary has another format.
    void restore(const nlohmann::json &summary, TimePoint now, double load);

private:
    /// A term of the linear model and the value of its regressor in one observation.
    struct Term
    {
        std::size_t termIndex = 0;
        double value = 0;
    };

    /// Estimated effects on one victim.  Term 0 is the effect of its own load.
    struct VictimModel
    {
        /// By workload: index of the first of its two terms, or NoTerm.
        std::vector<std::size_t> firstTermOf;
        std::vector<double> means;
        std::vector<std::vector<double>> covariance;
        TimePoint updated{};
        std::uint64_t observations = 0;
    };

    static constexpr std::size_t NoTerm = ~std::size_t(0);

    WorkloadIndex index(std::string name);
    /// Adds a term with the prior variance, uncorrelated to the others.
    void addTerm(VictimModel &victim, double mean) const;
    /// Index of the first of the two terms of \a workload, which are added when new.
    std::size_t findOrAddTerms(VictimModel &victim, WorkloadIndex workload) const;
    /// Adds the drift since the last update to the variances, up to the prior variance.
    void inflateVariance(VictimModel &victim, TimePoint now) const;
    std::vector<Term> termsOf(VictimModel &victim, std::span<const WorkloadShare> others,
                              double load) const;
    /// Adds the effects of \a terms and their uncertainty to \a sum.
    void addLearnedEffects(SlowdownEstimate &sum, std::span<const Term> terms,
                           const VictimModel &victim, TimePoint now) const;

    SlowdownSettings m_settings;
    std::vector<std::string> m_names;
    std::map<std::string, WorkloadIndex, std::less<>> m_indexOfName;
    std::map<WorkloadIndex, VictimModel> m_victims;
};

} // namespace firefly
