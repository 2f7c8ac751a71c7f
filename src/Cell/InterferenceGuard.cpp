#include "Cell/InterferenceGuard.h"

#include "Workload/JobRecords.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace firefly {
namespace {

/// The model adds its effects to 1; the logarithm of tail over target is shifted to fit.
constexpr double LogShift = 3.0;
/// The model's factor for the victim's own load; the platform doesn't report the load.
constexpr double UnitLoad = 1.0;
/// Figures of a task that has just begun say nothing yet.
constexpr Duration Settling = std::chrono::milliseconds(1500);
constexpr Duration CacheTime = std::chrono::milliseconds(400);
/// A task this long over its target gets relief; the platform tolerates several seconds.
constexpr Duration FirstRelief = std::chrono::milliseconds(300);
/// After this long over the target every filler with an effect on the task is held, and at last
/// every filler.
constexpr Duration FullRelief = std::chrono::milliseconds(1200);
constexpr Duration LastRelief = std::chrono::milliseconds(2000);
constexpr int FullPace = 100;
/// Time for a measure to show in the reported tail, which covers half a second.
constexpr Duration MeasurePause = std::chrono::milliseconds(600);
constexpr Duration NoNewFillers = std::chrono::milliseconds(1500);
/// A task that was over its target counts as recovered under this smoothed log of tail over target.
constexpr double RecoveredTail = -0.3;
/// For this long; a task that goes over again sooner was never under.
constexpr Duration RecoveryTime = std::chrono::milliseconds(1000);
/// A filler held for longer than this moves, where it can.
constexpr Duration LongestHold = std::chrono::milliseconds(1500);
/// Weight of the newest report in the smoothed tail, and the time it takes to forget.
constexpr double TailWeight = 0.4;
constexpr Duration TailMemory = std::chrono::milliseconds(1200);
/// Log of tail over target that is expected of an image without observations.
constexpr double UnknownBaseline = -1.0;
/// Changes of the log of a tail under this are not worth a computation.
constexpr double NegligibleEffect = 0.01;
/// Deviation of the log of a tail over its target from one moment to the next.
constexpr double TailDeviation = 0.45;
/// Serving tasks that one core of filling work may push over their target: a task over its target
/// costs its users about ten times what a core of filling work brings.
constexpr double HarmPerCore = 0.08;
constexpr double MilliCpuPerCore = 1000.0;
/// Effects under this are too weak to blame a filler for a tail over the target.
constexpr double WeakEffect = 1.5;

bool isMeasured(const TaskRef &ref, TimePoint now)
{
    const CellTask &task = ref.task();
    return ref.spec().targetMs > 0 && task.state == TaskState::Running && task.percent >= 100
           && task.usage > 0.0 && now - task.startedAt > Settling;
}

bool isActiveFiller(const TaskRef &ref)
{
    return ref.spec().isFiller && ref.task().state == TaskState::Running;
}

double shareOf(const CellWorker &worker, double milliCpu)
{
    return milliCpu / std::max<double>(1.0, static_cast<double>(worker.info.capacity.milliCpu));
}

/// Probability that a tail is over its target when the log of their ratio is expected to be
/// \a expected.
double overProbability(double expected)
{
    return 0.5 * std::erfc(-expected / (TailDeviation * std::sqrt(2.0)));
}

/// Share of the worker that a filler is expected to press with at its pace.
double fillerShare(const CellWorker &worker, const TaskRef &ref)
{
    return shareOf(worker, static_cast<double>(ref.spec().demand.milliCpu)) * ref.task().pace / 100;
}

} // namespace

void InterferenceGuard::observe(CellWorker &worker, TimePoint now)
{
    worker.isOutlookValid = false;
    std::vector<WorkloadShare> others;
    for (const TaskRef &it : worker.tasks) {
        if (isActiveFiller(it)) {
            others.push_back(
                {m_model.batchKind(it.spec().image), shareOf(worker, it.task().usage)});
        }
    }
    for (const TaskRef &it : worker.tasks) {
        if (!isMeasured(it, now)) {
            continue;
        }
        const double ratio = it.task().usage / static_cast<double>(it.spec().targetMs);
        const double tailLog = std::clamp(std::log(ratio), -LogShift, LogShift);
        const double slowdown = 1 + LogShift + tailLog;
        CellTask &task = it.task();
        task.tailLog =
            task.hasTail ? (1 - TailWeight) * task.tailLog + TailWeight * tailLog : tailLog;
        task.hasTail = true;
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
        m_refreshedAt = {};
    }
    return it->second;
}

void InterferenceGuard::refreshEffects(TimePoint now)
{
    if (m_refreshedAt != TimePoint{} && now - m_refreshedAt < CacheTime) {
        return;
    }
    m_refreshedAt = now;
    const std::size_t n = m_images.size();
    m_effects.assign(n * n, 0.0);
    m_baselines.assign(n, UnknownBaseline);
    for (std::size_t s = 0; s < n; ++s) {
        const auto victim = m_model.service(ServiceId(m_images[s]));
        const double alone = m_model.predict(victim, {}, now, UnitLoad).mean;
        // Before any observation the model says 1.
        m_baselines[s] = alone > 1.0 ? alone - 1 - LogShift : UnknownBaseline;
        for (std::size_t f = 0; f < n; ++f) {
            const WorkloadShare beside{m_model.batchKind(m_images[f]), 1.0};
            const double with = m_model.predict(victim, {&beside, 1}, now, UnitLoad).mean;
            m_effects[s * n + f] = std::max(0.0, with - alone);
        }
    }
}

void InterferenceGuard::refreshOutlook(CellWorker &worker, TimePoint now)
{
    refreshEffects(now);
    if (worker.isOutlookValid && now - worker.outlookAt < CacheTime) {
        return;
    }
    worker.isOutlookValid = true;
    worker.outlookAt = now;
    worker.outlook.clear();
    for (const TaskRef &it : worker.tasks) {
        if (it.spec().targetMs == 0) {
            continue;
        }
        const CellTask &task = it.task();
        double expected = task.hasTail ? task.tailLog : m_baselines[it.image()];
        for (const TaskRef &other : worker.tasks) {
            // Older fillers are in the smoothed tail already.
            const bool isNew = other.spec().isFiller
                               && (!task.hasTail || now - other.task().startedAt < TailMemory);
            if (isNew) {
                expected += effect(it.image(), other.image()) * fillerShare(worker, other);
            }
        }
        worker.outlook.push_back({it.image(), expected, overProbability(expected)});
    }
}

double InterferenceGuard::harmOf(CellWorker &worker, const TaskRef &filler, TimePoint now)
{
    refreshOutlook(worker, now);
    const double share = shareOf(worker, static_cast<double>(filler.spec().demand.milliCpu));
    double harm = 0.0;
    for (const CellWorker::ServingOutlook &it : worker.outlook) {
        const double added = effect(it.image, filler.image()) * share;
        if (added > NegligibleEffect) {
            harm += overProbability(it.expected + added) - it.probability;
        }
    }
    return harm;
}

std::string InterferenceGuard::encodeLessons(TimePoint now) const
{
    std::string bytes;
    nlohmann::json::to_cbor(m_model.summarize(now, UnitLoad), bytes);
    return bytes;
}

void InterferenceGuard::restoreLessons(std::string_view lessons, TimePoint now)
{
    m_model = SlowdownModel(ModelSettings);
    m_refreshedAt = {};
    if (lessons.empty()) {
        return;
    }
    try {
        m_model.restore(nlohmann::json::from_cbor(lessons), now, UnitLoad);
    } catch (const nlohmann::json::exception &e) {
        throw JobRecordError(std::string("lessons record: ") + e.what());
    }
}

void InterferenceGuard::resume(CellWorker &worker, TimePoint now, std::vector<Measure> &measures)
{
    for (const TaskRef &it : worker.tasks) {
        if (!isActiveFiller(it) || it.task().pace == FullPace) {
            continue;
        }
        if (isWorthHarm(it.spec(), harmOf(worker, it, now))) {
            measures.push_back({it, Relief::Pace, FullPace});
        } else if (it.spec().isCheckpointing && now - it.task().pacedAt > LongestHold) {
            measures.push_back({it, Relief::Stop, 0});
        } else {
            continue;
        }
        worker.nextMeasure = now + MeasurePause;
        return;
    }
}

bool InterferenceGuard::isWorthHarm(const StepSpec &filler, double harm)
{
    return harm <= HarmPerCore * static_cast<double>(filler.demand.milliCpu) / MilliCpuPerCore;
}

bool InterferenceGuard::noteTail(const TaskRef &ref, TimePoint now)
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
    // One low figure is no recovery: the reported tail is rough, the platform's own is not.
    if (task.tailLog >= RecoveredTail) {
        return task.overTargetSince != TimePoint{};
    }
    task.recoveredSince = task.recoveredSince == TimePoint{} ? now : task.recoveredSince;
    if (now - task.recoveredSince >= RecoveryTime) {
        task.overTargetSince = {};
    }
    return false;
}

std::vector<InterferenceGuard::Measure> InterferenceGuard::guard(CellWorker &worker, TimePoint now)
{
    std::vector<Measure> measures;
    const TaskRef *victim = nullptr;
    refreshOutlook(worker, now);
    for (const TaskRef &it : worker.tasks) {
        if (it.spec().targetMs == 0) {
            continue;
        }
        const bool isOver = noteTail(it, now);
        const TimePoint since = it.task().overTargetSince;
        if (isOver && (victim == nullptr || since < victim->task().overTargetSince)) {
            victim = &it;
        }
    }
    const bool hasFillers = std::ranges::any_of(
        worker.tasks, [](const TaskRef &it) { return isActiveFiller(it) && it.task().pace > 0; });
    worker.attention = Attention::Usual;
    if (hasFillers && !worker.outlook.empty()) {
        worker.attention = victim ? Attention::Close : Attention::Raised;
    }
    if (victim) {
        worker.noFillersUntil = now + NoNewFillers;
    }
    if (now < worker.nextMeasure) {
        return measures;
    }
    const Duration longest = victim ? now - victim->task().overTargetSince : Duration{};
    if (longest >= FullRelief) {
        holdFillers(worker, *victim, longest >= LastRelief, now, measures);
    } else if (longest >= FirstRelief) {
        relieveMost(worker, *victim, now, measures);
    } else if (!victim) {
        resume(worker, now, measures);
    }
    return measures;
}

void InterferenceGuard::holdFillers(CellWorker &worker, const TaskRef &victim, bool isLast,
                                    TimePoint now, std::vector<Measure> &measures)
{
    refreshEffects(now);
    worker.nextMeasure = now + MeasurePause;
    for (const TaskRef &it : worker.tasks) {
        const bool isBlamed = isLast || effect(victim.image(), it.image()) >= WeakEffect;
        if (isActiveFiller(it) && it.task().pace > 0 && isBlamed) {
            measures.push_back({it, Relief::Pace, 0});
        }
    }
}

void InterferenceGuard::relieveMost(CellWorker &worker, const TaskRef &victim, TimePoint now,
                                    std::vector<Measure> &measures)
{
    worker.nextMeasure = now + MeasurePause;
    refreshEffects(now);
    const TaskRef *worst = nullptr;
    double most = 0.0;
    for (const TaskRef &it : worker.tasks) {
        if (!isActiveFiller(it) || it.task().pace == 0) {
            continue;
        }
        const double strength = effect(victim.image(), it.image());
        const double pressure = strength * fillerShare(worker, it);
        if (strength >= WeakEffect && pressure > most) {
            most = pressure;
            worst = &it;
        }
    }
    if (worst) {
        const bool canMove = worst->spec().isCheckpointing;
        measures.push_back({*worst, canMove ? Relief::Stop : Relief::Pace, 0});
    }
}

} // namespace firefly
