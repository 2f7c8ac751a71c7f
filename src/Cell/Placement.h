#pragma once

#include "Cell/CellState.h"
#include "Cell/InterferenceGuard.h"

namespace firefly {

/// Chooses workers for pending tasks; decides nothing about time or order.
class Placement
{
public:
    Placement(CellState &state, InterferenceGuard &interference)
        : m_state(state)
        , m_interference(interference)
    {}

    /// Starts pending tasks in the jobs' order until no more fit.  O(pending x workers).
    void run(TimePoint now, std::int64_t nowUnixMs);

private:
    std::vector<CellJob *> jobsInOrder(TimePoint now) const;
    void startStep(CellJob &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now);
    void startGang(CellJob &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now);
    CellWorker *choose(const TaskRef &ref, TimePoint now) const;
    bool mayHost(const CellWorker &worker, const TaskRef &ref, TimePoint now) const;
    /// Higher is better; nothing where the task must not go.
    std::optional<double> score(CellWorker &worker, const TaskRef &ref, TimePoint now) const;
    void start(const TaskRef &ref, CellWorker &worker, std::uint32_t run, TimePoint now);

    /// A demand that no worker could take in this pass; larger ones needn't be tried.
    struct Refused
    {
        std::string service;
        bool isFiller = false;
        ImageIndex image = 0; ///< Counts for fillers only.
        Room demand;
    };
    bool isHopeless(const TaskRef &ref) const;
    void noteRefused(const TaskRef &ref);

    CellState &m_state;
    InterferenceGuard &m_interference;
    std::vector<Refused> m_refused;
};

} // namespace firefly
