#include "Cell/InterferenceGuard.h"

#include "Workload/JobRecords.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace firefly {
namespace {

/// Shift of ln(tail / target) to the model's range, in which effects add to 1.
constexpr double LogShift = 3.0;
/// Constant in place of the victim's own load, which the platform doesn't report.
constexpr double UnitLoad = 1.0;
/// Samples of a task that started less than this ago are ignored.
constexpr Duration WarmUpTime = std::chrono::milliseconds(1500);
/// How long predictions are reused.
constexpr Duration PredictionCacheTime = std::chrono::milliseconds(400);
/// Time over the target after which the strongest filler is stopped or paused; the platform
/// tolerates several seconds.
constexpr Duration RemoveStrongestDelay = std::chrono::milliseconds(300);
/// Times over the target after which all fillers with an effect on the task are paused, and finally
/// all fillers.
constexpr Duration PauseContributorsDelay = std::chrono::milliseconds(1200);
constexpr Duration PauseAllDelay = std::chrono::milliseconds(2000);
/// Pace of a filler that isn't throttled, in percent.
constexpr int FullPace = 100;
/// Lets an adjustment show in the reported tail latency, which covers half a second.
constexpr Duration AdjustmentInterval = std::chrono::milliseconds(600);
/// A worker gets no new filler for this long after a target was missed.
constexpr Duration FillerPlacementBackoff = std::chrono::milliseconds(1500);
/// Smoothed ln(tail / target) below which a task recovers from a missed target.
constexpr double RecoveredLogTailRatio = -0.3;
/// Time below RecoveredLogTailRatio until a task has recovered; hysteresis against oscillation.
constexpr Duration RecoveryTime = std::chrono::milliseconds(1000);
/// A filler paused for longer is moved to another worker, if it has checkpoints.
constexpr Duration MaxPause = std::chrono::milliseconds(1500);
/// Other paused fillers are resumed on trial after this time, one at a time on a worker, as nothing
/// else would end their jobs.  Covers the reaction to a missed target, as between other trials.
constexpr Duration PausedTrialInterval = std::chrono::milliseconds(3000);
/// Weight of the newest report in the moving average of the tail, and the time after which the
/// average reflects a change.
constexpr double NewestTailWeight = 0.4;
constexpr Duration TailSmoothingTime = std::chrono::milliseconds(1200);
/// Expected ln(tail / target) of an image without observations.
constexpr double DefaultBaseline = -1.0;
/// Smaller changes of ln(tail / target) are skipped to save computation.
constexpr double NegligibleEffect = 0.01;
/// Standard deviation of the short-term variation of ln(tail / target).
constexpr double LogTailDeviation = 0.45;
/// Serving tasks that one core of filler work may push over their target: a task over its target
/// costs its users about ten times what a core of filler work is worth.
constexpr double MaxViolationsPerCore = 0.08;
constexpr double MilliCpuPerCore = 1000.0;
/// A filler with a smaller effect on a serving task isn't considered a cause of its tail latency.
constexpr double MinContributingEffect = 1.5;

bool hasTailSample(const TaskRef &ref, TimePoint now)
{
    const CellTask &task = ref.task();
    return ref.spec().targetMs > 0 && task.state == TaskState::Running && task.percent >= 100
           && task.usage > 0.0 && now - task.startedAt > WarmUpTime;
}

bool isRunningFiller(const TaskRef &ref)
{
    return ref.spec().isFiller && ref.task().state == TaskState::Running;
}

/// \a milliCpu as a share of the worker's processors.
double cpuShareOf(const CellWorker &worker, double milliCpu)
{
    return milliCpu / std::max<double>(1.0, static_cast<double>(worker.info.capacity.milliCpu));
}

/// Probability that the tail latency exceeds its target, given the expected ln(tail / target).
double violationProbability(double expected)
{
    return 0.5 * std::erfc(-expected / (LogTailDeviation * std::sqrt(2.0)));
}

/// Fraction of the worker's processors that a filler is expected to use at its pace.
double expectedFillerShare(const CellWorker &worker, const TaskRef &ref)
{
    return cpuShareOf(worker, static_cast<double>(ref.spec().demand.milliCpu)) * ref.task().pace
           / 100;
}

} // namespace

void InterferenceGuard::observe(CellWorker &worker, TimePoint now)
{
    worker.isForecastValid = false;
    std::vector<WorkloadShare> others;
    for (const TaskRef &it : worker.tasks) {
        if (isRunningFiller(it)) {
            others.push_back(
                {m_model.batchKind(it.spec().image), cpuShareOf(worker, it.task().usage)});
        }
    }
    for (const TaskRef &it : worker.tasks) {
        if (!hasTailSample(it, now)) {
            continue;
        }
        const double ratio = it.task().usage / static_cast<double>(it.spec().targetMs);
        const double logTailRatio = std::clamp(std::log(ratio), -LogShift, LogShift);
        const double slowdown = 1 + LogShift + logTailRatio;
        CellTask &task = it.task();
        task.logTailRatio = task.hasTailRatio ? (1 - NewestTailWeight) * task.logTailRatio
                                                    + NewestTailWeight * logTailRatio
                                              : logTailRatio;
        task.hasTailRatio = true;
        m_model.observe(m_model.service(ServiceId(it.spec().image)), others, slowdown, now,
                        UnitLoad);
    }
}

ImageIndex InterferenceGuard::indexOf(std::string_view image)
{
    const auto next = static_cast<ImageIndex>(m_images.size());
    const auto [it, isNew] = m_indexOfImage.try_emplace(std::string(image), next);
    if (isNew) {
        m_images.emplace_back(image);
        m_effectsUpdatedAt = {};
    }
    return it->second;
}

void InterferenceGuard::refreshEffects(TimePoint now)
{
    if (m_effectsUpdatedAt != TimePoint{} && now - m_effectsUpdatedAt < PredictionCacheTime) {
        return;
    }
    m_effectsUpdatedAt = now;
    const std::size_t n = m_images.size();
    m_effects.assign(n * n, 0.0);
    m_baselines.assign(n, DefaultBaseline);
    for (std::size_t s = 0; s < n; ++s) {
        const auto victim = m_model.service(ServiceId(m_images[s]));
        const double withoutFiller = m_model.predict(victim, {}, now, UnitLoad).mean;
        // Without observations the model predicts 1.
        m_baselines[s] = withoutFiller > 1.0 ? withoutFiller - 1 - LogShift : DefaultBaseline;
        for (std::size_t f = 0; f < n; ++f) {
            const WorkloadShare wholeWorker{m_model.batchKind(m_images[f]), 1.0};
            const double withFiller =
                m_model.predict(victim, {&wholeWorker, 1}, now, UnitLoad).mean;
            m_effects[s * n + f] = std::max(0.0, withFiller - withoutFiller);
        }
    }
}

void InterferenceGuard::refreshForecasts(CellWorker &worker, TimePoint now)
{
    refreshEffects(now);
    if (worker.isForecastValid && now - worker.forecastAt < PredictionCacheTime) {
        return;
    }
    worker.isForecastValid = true;
    worker.forecastAt = now;
    worker.forecasts.clear();
    for (const TaskRef &it : worker.tasks) {
        if (it.spec().targetMs == 0) {
            continue;
        }
        const CellTask &task = it.task();
        double expected = task.hasTailRatio ? task.logTailRatio : m_baselines[it.image()];
        for (const TaskRef &other : worker.tasks) {
            // The smoothed tail already reflects fillers that started earlier.
            const bool isNew =
                other.spec().isFiller
                && (!task.hasTailRatio || now - other.task().startedAt < TailSmoothingTime);
            if (isNew) {
                expected += effect(it.image(), other.image()) * expectedFillerShare(worker, other);
            }
        }
        worker.forecasts.push_back({it.image(), expected, violationProbability(expected)});
    }
}

double InterferenceGuard::expectedViolations(CellWorker &worker, const TaskRef &filler,
                                             TimePoint now)
{
    refreshForecasts(worker, now);
    const double share = cpuShareOf(worker, static_cast<double>(filler.spec().demand.milliCpu));
    double violations = 0.0;
    for (const CellWorker::ServingForecast &it : worker.forecasts) {
        const double added = effect(it.image, filler.image()) * share;
        if (added > NegligibleEffect) {
            violations += violationProbability(it.expected + added) - it.probability;
        }
    }
    return violations;
}

std::string InterferenceGuard::encodeModel(TimePoint now) const
{
    std::string bytes;
    nlohmann::json::to_cbor(m_model.summarize(now, UnitLoad), bytes);
    return bytes;
}

void InterferenceGuard::restoreModel(std::string_view model, TimePoint now)
{
    m_model = SlowdownModel(ModelSettings);
    m_effectsUpdatedAt = {};
    if (model.empty()) {
        return;
    }
    try {
        m_model.restore(nlohmann::json::from_cbor(model), now, UnitLoad);
    } catch (const nlohmann::json::exception &e) {
        throw JobRecordError(std::string("interference model record: ") + e.what());
    }
}

void InterferenceGuard::resumeOrMove(CellWorker &worker, TimePoint now,
                                     std::vector<Adjustment> &adjustments)
{
    for (const TaskRef &it : worker.tasks) {
        if (!isRunningFiller(it) || it.task().pace == FullPace) {
            continue;
        }
        if (isWorthwhile(it.spec(), expectedViolations(worker, it, now))) {
            adjustments.push_back({it, Action::Pace, FullPace});
        } else if (it.spec().isCheckpointing && now - it.task().paceChangedAt > MaxPause) {
            adjustments.push_back({it, Action::Stop, 0});
        } else if (now - it.task().paceChangedAt >= PausedTrialInterval
                   && now >= worker.trialUntil) {
            worker.trialUntil = now + PausedTrialInterval;
            adjustments.push_back({it, Action::Pace, FullPace});
        } else {
            continue;
        }
        worker.nextAdjustment = now + AdjustmentInterval;
        return;
    }
}

bool InterferenceGuard::isWorthwhile(const StepSpec &filler, double violations)
{
    return violations
           <= MaxViolationsPerCore * static_cast<double>(filler.demand.milliCpu) / MilliCpuPerCore;
}

bool InterferenceGuard::updateTargetViolation(const TaskRef &ref, TimePoint now)
{
    CellTask &task = ref.task();
    const double ratio = task.usage / static_cast<double>(ref.spec().targetMs);
    if (task.state != TaskState::Running) {
        task.overTargetSince = {};
        return false;
    }
    if (ratio > 1.0) {
        task.overTargetSince = task.overTargetSince == TimePoint{} ? now : task.overTargetSince;
        task.recoveredSince = {};
        return true;
    }
    // One low sample is no recovery: the reported tail is coarser than the platform's own figure.
    if (task.logTailRatio >= RecoveredLogTailRatio) {
        return task.overTargetSince != TimePoint{};
    }
    task.recoveredSince = task.recoveredSince == TimePoint{} ? now : task.recoveredSince;
    if (now - task.recoveredSince >= RecoveryTime) {
        task.overTargetSince = {};
    }
    return false;
}

std::vector<InterferenceGuard::Adjustment> InterferenceGuard::planAdjustments(CellWorker &worker,
                                                                              TimePoint now)
{
    std::vector<Adjustment> adjustments;
    const TaskRef *victim = nullptr;
    refreshForecasts(worker, now);
    for (const TaskRef &it : worker.tasks) {
        if (it.spec().targetMs == 0) {
            continue;
        }
        const bool isOver = updateTargetViolation(it, now);
        const TimePoint since = it.task().overTargetSince;
        if (isOver && (victim == nullptr || since < victim->task().overTargetSince)) {
            victim = &it;
        }
    }
    const bool hasFillers = std::ranges::any_of(
        worker.tasks, [](const TaskRef &it) { return isRunningFiller(it) && it.task().pace > 0; });
    worker.reportUrgency = ReportUrgency::Normal;
    if (hasFillers && !worker.forecasts.empty()) {
        worker.reportUrgency = victim ? ReportUrgency::High : ReportUrgency::Elevated;
    }
    if (victim) {
        worker.noFillersUntil = now + FillerPlacementBackoff;
    }
    if (now < worker.nextAdjustment) {
        return adjustments;
    }
    const Duration longest = victim ? now - victim->task().overTargetSince : Duration{};
    if (longest >= PauseContributorsDelay) {
        pauseFillers(worker, *victim, longest >= PauseAllDelay, now, adjustments);
    } else if (longest >= RemoveStrongestDelay) {
        removeStrongestFiller(worker, *victim, now, adjustments);
    } else if (!victim) {
        resumeOrMove(worker, now, adjustments);
    }
    return adjustments;
}

void InterferenceGuard::pauseFillers(CellWorker &worker, const TaskRef &victim, bool mayPauseAll,
                                     TimePoint now, std::vector<Adjustment> &adjustments)
{
    refreshEffects(now);
    worker.nextAdjustment = now + AdjustmentInterval;
    for (const TaskRef &it : worker.tasks) {
        const bool isContributing =
            mayPauseAll || effect(victim.image(), it.image()) >= MinContributingEffect;
        if (isRunningFiller(it) && it.task().pace > 0 && isContributing) {
            adjustments.push_back({it, Action::Pace, 0});
        }
    }
}

void InterferenceGuard::removeStrongestFiller(CellWorker &worker, const TaskRef &victim,
                                              TimePoint now, std::vector<Adjustment> &adjustments)
{
    worker.nextAdjustment = now + AdjustmentInterval;
    refreshEffects(now);
    const TaskRef *strongest = nullptr;
    double maxPressure = 0.0;
    for (const TaskRef &it : worker.tasks) {
        if (!isRunningFiller(it) || it.task().pace == 0) {
            continue;
        }
        const double strength = effect(victim.image(), it.image());
        const double pressure = strength * expectedFillerShare(worker, it);
        if (strength >= MinContributingEffect && pressure > maxPressure) {
            maxPressure = pressure;
            strongest = &it;
        }
    }
    if (strongest) {
        const bool canMove = strongest->spec().isCheckpointing;
        adjustments.push_back({*strongest, canMove ? Action::Stop : Action::Pace, 0});
    }
}

} // namespace firefly
