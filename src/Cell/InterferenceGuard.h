#pragma once

#include "Cell/CellState.h"
#include "Interference/SlowdownModel.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace firefly {

/// Keeps fillers from pushing the serving tasks on the same worker over their latency target.
///
/// Learns per pair of images by how much a filler raises ln(tail latency / target) of a serving
/// task, in proportion to the fraction of the worker's processors that the filler uses.  In
/// response to a worker's reports, planAdjustments() throttles or moves the fillers that interfere
/// most.
class InterferenceGuard
{
public:
    /// Updates the model from the latest report of \a worker.  O(serving tasks x images^2).
    void observe(CellWorker &worker, TimePoint now);

    /// Expected number of serving tasks on \a worker that \a filler would push over their target,
    /// usually below 1.  O(serving tasks), or O(tasks^2) after a change.
    double expectedViolations(CellWorker &worker, const TaskRef &filler, TimePoint now);
    /// Index of \a image, which is added if new.
    ImageIndex indexOf(std::string_view image);

    /// Whether the work of \a filler outweighs the expected number of \a violations.
    static bool isWorthwhile(const StepSpec &filler, double violations);

    /// Pace sets the share of processor time; Stop makes the filler restart on another worker.
    enum class Action { None, Pace, Stop };
    struct Adjustment
    {
        TaskRef task;
        Action action = Action::None;
        int percent = 100; ///< New pace.
    };
    /// Adjustments to the fillers of \a worker that are due now.
    std::vector<Adjustment> planAdjustments(CellWorker &worker, TimePoint now);

    const SlowdownModel &model() const { return m_model; }

    /// The learned model, encoded for the next owner.
    std::string encodeModel(TimePoint now) const;
    /// Replaces the model by the encoded \a model, or by an empty one if \a model is empty.
    /// \throws JobRecordError if \a model can't be decoded.
    void restoreModel(std::string_view model, TimePoint now);

private:
    /// Tracks since when a serving task exceeds its target; true while it does.
    static bool updateTargetViolation(const TaskRef &ref, TimePoint now);
    /// Pauses the fillers that contribute to the latency of \a victim, or all if \a mayPauseAll.
    void pauseFillers(CellWorker &worker, const TaskRef &victim, bool mayPauseAll, TimePoint now,
                      std::vector<Adjustment> &adjustments);
    /// Stops the filler with the strongest effect on \a victim, or pauses it if it has no
    /// checkpoints.
    void removeStrongestFiller(CellWorker &worker, const TaskRef &victim, TimePoint now,
                               std::vector<Adjustment> &adjustments);
    /// Resumes one throttled filler, or moves one that has been paused for too long; if it has no
    /// checkpoints, it is resumed on trial.
    void resumeOrMove(CellWorker &worker, TimePoint now, std::vector<Adjustment> &adjustments);
    void refreshEffects(TimePoint now);
    void refreshForecasts(CellWorker &worker, TimePoint now);
    /// Increase of ln(tail latency / target) by a filler that uses the whole worker.
    double effect(ImageIndex serving, ImageIndex filler) const
    {
        return m_effects[serving * m_images.size() + filler];
    }

    static constexpr SlowdownSettings ModelSettings{
        .priorMean = 1.5, .priorDeviation = 5.0, .noiseDeviation = 0.7, .driftPerSecond = 0.002};

    SlowdownModel m_model{ModelSettings};
    std::vector<std::string> m_images; ///< By index.
    std::map<std::string, ImageIndex, std::less<>> m_indexOfImage;
    std::vector<double> m_effects;   ///< See effect(); by serving image, then filler image.
    std::vector<double> m_baselines; ///< ln(tail latency / target) without fillers, by image.
    TimePoint m_effectsUpdatedAt{};
};

} // namespace firefly
