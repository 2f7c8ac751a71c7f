#pragma once

#include "Core/Clock.h"
#include "Routing/RoutingSettings.h"
#include "Routing/WorkerIndex.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace firefly {

/// Where a worker stands with the outlier detector.
enum class WorkerHealth {
    Healthy,
    Ejected, ///< Gets no calls until its ejection ends.
    Probing, ///< Gets one call per probe interval.
};

/// Ejects workers that fail call after call, never more than a set share of them, and probes them
/// back with single calls.
class OutlierDetector
{
public:
    explicit OutlierDetector(const EjectionSettings &settings)
        : m_settings(settings)
    {}

    void add(WorkerIndex worker);
    void remove(WorkerIndex worker);
    /// Records the end of a call; returns true when the health of the worker changed.
    bool record(WorkerIndex worker, bool succeeded, TimePoint now);
    /// Moves ejections that are over to probing and returns those workers.
    std::vector<WorkerIndex> tick(TimePoint now);
    /// A probing worker whose next probe is due, if any; counts as its probe.
    bool takeProbe(WorkerIndex &worker, TimePoint now);

    WorkerHealth health(WorkerIndex worker) const { return at(worker).health; }
    /// Workers that are ejected or probing.
    std::size_t ejectedCount() const { return m_outliers.size(); }
    std::size_t ejectedLimit() const;
    nlohmann::json dump(WorkerIndex worker) const;

private:
    struct Row
    {
        WorkerHealth health = WorkerHealth::Healthy;
        std::uint32_t failuresInRow = 0;
        std::uint32_t probesPassed = 0;
        std::uint32_t ejections = 0;
        TimePoint until{}; ///< End of the ejection, or time of the next probe.
        bool present = false;
    };

    const Row &at(WorkerIndex worker) const { return m_rows[toPosition(worker)]; }
    bool recordHealthy(WorkerIndex worker, bool succeeded, TimePoint now);
    bool recordProbe(WorkerIndex worker, bool succeeded, TimePoint now);
    void eject(Row &row, TimePoint now);

    EjectionSettings m_settings;
    std::vector<Row> m_rows;
    std::vector<WorkerIndex> m_outliers;
    std::size_t m_count = 0;
    std::size_t m_probeCursor = 0;
};

} // namespace firefly
