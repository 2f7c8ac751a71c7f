#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
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

/// Settings of SlowdownModel.
struct SlowdownSettings
{
    double priorMean = 0.5;       ///< Slowdown added by a whole worker of an unknown workload.
    double priorDeviation = 1.0;  ///< Uncertainty of priorMean.
    double noiseDeviation = 0.15; ///< Noise of one observation.
    double driftPerSecond = 0.01; ///< Growth of a pair's variance, which lets old lessons fade.
};

/// Learns how much each workload slows each other one, from observed slowdowns of workers whose
/// mix is known.
///
/// Slowdown of a victim is modelled as 1 + sum over the others of share x effect; each pair's
/// effect has a mean and a variance, updated by a Kalman filter with a diagonal covariance.
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
                 TimePoint now);
    /// Slowdown of \a victim beside \a others.
    SlowdownEstimate predict(WorkloadIndex victim, std::span<const WorkloadShare> others,
                             TimePoint now) const;
    /// Slowdown that a whole worker of \a aggressor would cause.
    SlowdownEstimate pair(WorkloadIndex victim, WorkloadIndex aggressor, TimePoint now) const;

    nlohmann::json dump(TimePoint now) const;

private:
    struct Effect
    {
        double mean = 0;
        double variance = 0;
        TimePoint updated{};
        std::uint64_t observations = 0;
    };

    WorkloadIndex index(std::string name);
    Effect effect(WorkloadIndex victim, WorkloadIndex aggressor, TimePoint now) const;

    SlowdownSettings m_settings;
    std::vector<std::string> m_names;
    std::map<std::string, WorkloadIndex, std::less<>> m_indexOfName;
    std::map<std::pair<WorkloadIndex, WorkloadIndex>, Effect> m_effects;
};

} // namespace firefly
