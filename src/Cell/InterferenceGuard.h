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
    /// target, a fraction mostly.  O(serving tasks), and O(tasks^2) after a change.
    double harmOf(CellWorker &worker, const TaskRef &filler, TimePoint now);
    /// Number of \a image; added when new.
    ImageIndex indexOf(std::string_view image);

    /// Whether the work that \a filler brings outweighs \a harm.
    static bool isWorthHarm(const StepSpec &filler, double harm);

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

    /// What was learned, as a record for the next owner.
    std::string encodeLessons(TimePoint now) const;
    /// Begins anew with \a lessons; with nothing when they are empty.
    /// \throws JobRecordError
    void restoreLessons(std::string_view lessons, TimePoint now);

private:
    /// Keeps the time that a serving task has been over its target; true while it is.
    static bool noteTail(const TaskRef &ref, TimePoint now);
    void holdFillers(CellWorker &worker, const TaskRef &victim, bool isLast, TimePoint now,
                     std::vector<Measure> &measures);
    void relieveMost(CellWorker &worker, const TaskRef &victim, TimePoint now,
                     std::vector<Measure> &measures);
    void resume(CellWorker &worker, TimePoint now, std::vector<Measure> &measures);
    void refreshEffects(TimePoint now);
    void refreshOutlook(CellWorker &worker, TimePoint now);
    double effect(ImageIndex serving, ImageIndex filler) const
    {
        return m_effects[serving * m_images.size() + filler];
    }

    static constexpr SlowdownSettings ModelSettings{
        .priorMean = 1.5, .priorDeviation = 5.0, .noiseDeviation = 0.7, .driftPerSecond = 0.002};

    SlowdownModel m_model{ModelSettings};
    std::vector<std::string> m_images; ///< By index.
    std::map<std::string, ImageIndex, std::less<>> m_indexOfImage;
    std::vector<double> m_effects;   ///< By serving and filling image; of a whole worker.
    std::vector<double> m_baselines; ///< By serving image; log of tail over target.
    TimePoint m_refreshedAt{};
};

} // namespace firefly
