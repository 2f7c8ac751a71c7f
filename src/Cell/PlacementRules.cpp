#include "Cell/PlacementRules.h"

#include "Cell/CrashDetector.h"

#include <algorithm>

namespace firefly::PlacementRules {
namespace {

/// Fraction of its reservation that a long-running task is expected to use.
constexpr double LongRunningUtilization = 0.5;
/// Share of a filler's demand that must be unused on its worker.
constexpr double MinUnusedFillerShare = 0.6;

} // namespace

double expectedUnusedCpu(const CellWorker &worker)
{
    const auto longRunning = static_cast<double>(worker.longRunningCpu);
    const auto otherTasks = static_cast<double>(worker.reserved.milliCpu) - longRunning;
    return static_cast<double>(worker.info.capacity.milliCpu) - otherTasks
           - LongRunningUtilization * longRunning - static_cast<double>(worker.fillerCpu);
}

bool isEnoughUnusedCpu(double unusedCpu, const StepSpec &spec)
{
    return unusedCpu >= MinUnusedFillerShare * static_cast<double>(spec.demand.milliCpu);
}

bool hasUnusedCpuFor(const CellWorker &worker, const StepSpec &spec)
{
    return isEnoughUnusedCpu(expectedUnusedCpu(worker), spec);
}

std::optional<Obstacle> findObstacle(const CellWorker &worker, const ResourceVector &available,
                                     std::size_t expectedOfStep, const TaskRef &ref, TimePoint now)
{
    const StepSpec &spec = ref.spec();
    if (!worker.isRegistered || !worker.isContacted || worker.info.isDraining
        || worker.info.service != ref.job->spec.policy.service) {
        return Obstacle::Unavailable;
    }
    if (!worker.isRecorded) {
        return Obstacle::Unrecorded;
    }
    if (!worker.refusesEarlierOrders()) {
        return Obstacle::Restarted;
    }
    if (worker.isEvacuated) {
        return Obstacle::Evacuated;
    }
    if (worker.renewFailures > 0) {
        return Obstacle::Unresponsive;
    }
    if (ref.hasOpenStart(now) && ref.task().openStart->worker != worker.info.id) {
        return Obstacle::OpenStart;
    }
    if (worker.isPaused(now) || ref.failures().isPausedOn(worker.info.id, now)) {
        return Obstacle::Avoided;
    }
    if (!CrashDetector::isSeparable(ref, worker, now)) {
        return Obstacle::Observed;
    }
    if (!available.fits(spec.reservation())) {
        return Obstacle::Capacity;
    }
    if (spec.isFiller && worker.noFillersUntil > now) {
        return Obstacle::MissedTarget;
    }
    if (spec.isFiller && worker.fillersKeptUntil > now && worker.fillersKeptFor != ref.job->id) {
        return Obstacle::FillersKept;
    }
    if (!spec.requiredLabel.empty()
        && std::ranges::find(worker.info.labels, spec.requiredLabel) == worker.info.labels.end()) {
        return Obstacle::Label;
    }
    if (spec.maxPerWorker > 0) {
        const auto placed = std::ranges::count_if(worker.tasks, [&ref](const TaskRef &it) {
            return it.job == ref.job && it.occurrence == ref.occurrence && it.step == ref.step;
        });
        if (static_cast<std::size_t>(placed) + expectedOfStep >= spec.maxPerWorker) {
            return Obstacle::TaskLimit;
        }
    }
    if (spec.isFiller && !hasUnusedCpuFor(worker, spec)) {
        return Obstacle::IdleCpu;
    }
    if (worker.isAcknowledging()) {
        worker.hasDeferredStart = true;
        return Obstacle::Acknowledged;
    }
    return std::nullopt;
}

} // namespace firefly::PlacementRules
