#pragma once

#include "Cell/CellState.h"
#include "Cell/InterferenceGuard.h"

#include <optional>
#include <string>
#include <vector>

namespace firefly {

/// Chooses workers for pending tasks and starts them.
class Placement
{
public:
    Placement(CellState &state, InterferenceGuard &interference)
        : m_state(state)
        , m_interference(interference)
    {}

    /// Starts pending tasks in the order of their jobs, as far as they fit.
    /// O(pending tasks x workers).
    void run(TimePoint now, std::int64_t nowUnixMs);

private:
    /// Durable jobs with pending tasks, by priority, lateness and objective.
    std::vector<CellJob *> jobsInOrder(TimePoint now) const;
    void startStep(CellJob &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now);
    void startGang(CellJob &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now);
    CellWorker *chooseWorker(const TaskRef &ref, TimePoint now) const;
    /// Why a worker can't take a task.
    enum class Obstacle {
        Unavailable,  ///< Not registered, not contacted yet, draining, or of another service.
        Unresponsive, ///< Its last renewal failed.
        Avoided,      ///< It refused a start or failed runs a short time ago.
        Capacity,
        Fillers, ///< It takes no fillers, or has too little idle processor time for this one.
        Label,
        TaskLimit, ///< It runs as many tasks of the step as the step allows.
    };
    static std::optional<Obstacle> findObstacle(const CellWorker &worker, const TaskRef &ref,
                                                TimePoint now);
    /// Logs at intervals why the long-running task \a ref still waits; O(workers) per log line.
    void reportWait(const TaskRef &ref, TimePoint now) const;
    std::string describeObstacles(const TaskRef &ref, TimePoint now) const;
    /// Preference for \a worker, higher is better; none if the task must not run there.
    std::optional<double> score(CellWorker &worker, const TaskRef &ref, TimePoint now) const;
    void start(const TaskRef &ref, CellWorker &worker, std::uint32_t run, TimePoint now);

    /// A demand that fitted no worker in this pass, so that larger ones are skipped.
    struct UnplaceableDemand
    {
        std::string service;
        bool isFiller = false;
        ImageIndex image = 0; ///< Compared for fillers only.
        ResourceVector demand;
    };
    bool isKnownUnplaceable(const TaskRef &ref) const;
    void recordUnplaceable(const TaskRef &ref);

    CellState &m_state;
    InterferenceGuard &m_interference;
    std::vector<UnplaceableDemand> m_unplaceable;
};

} // namespace firefly
