#pragma once

#include "Core/Clock.h"
#include "Routing/RoutingSettings.h"
#include "Routing/WorkerIndex.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace firefly {

/// State of a worker in the outlier detector.
enum class WorkerHealth {
    Healthy,
    Ejected, ///< Gets no calls until its ejection ends.
    Probing, ///< Gets one call per probe interval.
};

/// Ejects workers after consecutive failures, up to a maximum share of the pool, and readmits them
/// after successful probes with single calls.
class OutlierDetector
{
public:
    explicit OutlierDetector(const EjectionSettings &settings)
        : m_settings(settings)
    {}

    void add(WorkerIndex worker);
    void remove(WorkerIndex worker);
    /// Records the outcome of a call; true when the health of the worker changed.
    bool record(WorkerIndex worker, bool succeeded, TimePoint now);
    /// Starts probing workers whose ejection has ended, readmits the longest ejected ones beyond
    /// maxEjectedCount(), and returns the workers that changed.
    std::vector<WorkerIndex> tick(TimePoint now);
    /// Finds a probing worker whose next probe is due and schedules the probe after that; false
    /// when none is found.
    bool acquireProbe(WorkerIndex &worker, TimePoint now);

    WorkerHealth health(WorkerIndex worker) const { return at(worker).health; }
    /// Workers that are ejected or probing.
    std::size_t ejectedCount() const { return m_outliers.size(); }
    /// EjectionSettings::maxEjectedShare of the workers, rounded down.
    std::size_t maxEjectedCount() const;
    nlohmann::json dump(WorkerIndex worker) const;

private:
    struct WorkerState
    {
        WorkerHealth health = WorkerHealth::Healthy;
        std::uint32_t consecutiveFailures = 0;
        std::uint32_t probesPassed = 0;
        std::uint32_t ejections = 0;
        TimePoint nextTransition{}; ///< End of the ejection, or time of the next probe.
        bool isPresent = false;
    };

    const WorkerState &at(WorkerIndex worker) const { return m_states[toPosition(worker)]; }
    bool recordWhileHealthy(WorkerIndex worker, bool succeeded, TimePoint now);
    bool recordProbeResult(WorkerIndex worker, bool succeeded, TimePoint now);
    void eject(WorkerState &state, TimePoint now);

    EjectionSettings m_settings;
    std::vector<WorkerState> m_states;
    std::vector<WorkerIndex> m_outliers; ///< Ejected or probing, in the order of ejection.
    std::size_t m_workerCount = 0;
    std::size_t m_probeCursor = 0;
};

} // namespace firefly
