#pragma once

#include "Cell/CellState.h"
#include "Interference/SlowdownModel.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace firefly {

/// Keeps fillers from pushing the serving tasks beside them over their target latency.
///
/// Learns, per pair of images, how a filler raises the logarithm of a serving task's tail over its
/// target, for each share of the worker's processors that the filler uses.  The guard() part acts
/// on what a worker reports: it paces or moves the fillers that press most.
class InterferenceGuard
{
public:
    /// Learns from a worker's newest report.  O(serving tasks x images^2).
    void observe(CellWorker &worker, TimePoint now);

    /// Number of serving tasks on \a worker that one more filler is expected to push over their
    /// target, a fraction mostly.  O(tasks on the worker).
    double harmOf(const CellWorker &worker, const StepSpec &filler, TimePoint now);

    enum class Relief { None, Pace, Stop };
    struct Measure
    {
        TaskRef task;
        Relief relief = Relief::None;
        int percent = 100;
    };
    /// What to do about the fillers of \a worker now.
    std::vector<Measure> guard(CellWorker &worker, TimePoint now);

    const SlowdownModel &model() const { return m_model; }

private:
    double effect(const std::string &serving, const std::string &filler, TimePoint now);
    double baseline(const std::string &serving, TimePoint now);

    struct Cached
    {
        double value = 0;
        TimePoint at{};
    };

    SlowdownModel m_model{SlowdownSettings{
        .priorMean = 1.5, .priorDeviation = 5.0, .noiseDeviation = 0.7, .driftPerSecond = 0.002}};
    std::map<std::pair<std::string, std::string>, Cached> m_effects;
    std::map<std::string, Cached> m_baselines;
};

} // namespace firefly
