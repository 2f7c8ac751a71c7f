#include "Cell/FillerSharing.h"

#include "Cell/PlacementRules.h"
#include "Cell/TaskLedger.h"

#include <algorithm>
#include <tuple>

namespace firefly {
namespace {

using PlacementRules::Obstacle;

/// Limit of the workers that are kept at a time: one of this many.
constexpr std::size_t WorkersPerKeptOne = 4;
/// Time for which a worker is kept.
constexpr Duration MaxKeepTime = std::chrono::milliseconds(3000);
/// Idle time of a job after which others stop fillers for it.
constexpr Duration YieldDelay = std::chrono::milliseconds(2000);

std::size_t placesNeeded(const TaskRef &filler)
{
    return filler.spec().isGang ? filler.spec().taskCount : 1;
}

bool isKeptFor(const CellWorker &worker, const CellJob &job, TimePoint now)
{
    return worker.fillersKeptUntil > now && worker.fillersKeptFor == job.id;
}

/// Placed tasks of \a job that aren't being stopped; O(tasks of the job).
std::size_t countStaying(const CellJob &job)
{
    std::size_t n = 0;
    for (const Occurrence &occurrence : job.occurrences) {
        for (const StepRun &step : occurrence.steps) {
            n += static_cast<std::size_t>(std::ranges::count_if(step.tasks, [](const auto &it) {
                return isPlaced(it.state) && it.state != TaskState::Stopping;
            }));
        }
    }
    return n;
}

/// True for a filler that can be stopped alone in favour of \a job.
bool mayYield(const TaskRef &ref, const CellJob &job)
{
    return ref.spec().isFiller && !ref.spec().isGang && ref.job != &job
           && ref.task().state == TaskState::Running && ref.job->placedCount > 1;
}

} // namespace

void FillerSharing::update(std::span<const TaskRef> fillers, TimePoint now)
{
    dropClaims(fillers, now);
    const std::size_t limit = std::max<std::size_t>(1, m_state.workers.size() / WorkersPerKeptOne);
    auto kept = static_cast<std::size_t>(std::ranges::count_if(
        m_state.workers, [now](const auto &it) { return it.second->fillersKeptUntil > now; }));
    for (const TaskRef &it : fillers) {
        const bool isKept = hasWorker(*it.job, now);
        const std::size_t added = !isKept && kept < limit ? keepWorkers(it, limit - kept, now) : 0;
        kept += added;
        if ((isKept || added > 0) && now - it.job->idleSince >= YieldDelay) {
            makeRoom(it, now);
        }
    }
}

bool FillerSharing::hasWorker(const CellJob &job, TimePoint now) const
{
    return std::ranges::any_of(
        m_state.workers, [&job, now](const auto &it) { return isKeptFor(*it.second, job, now); });
}

void FillerSharing::dropClaims(std::span<const TaskRef> fillers, TimePoint now)
{
    for (const auto &[id, worker] : m_state.workers) {
        const bool isNeeded =
            std::ranges::any_of(fillers, [&kept = *worker, now](const TaskRef &it) {
                return isKeptFor(kept, *it.job, now);
            });
        if (!isNeeded) {
            worker->fillersKeptUntil = {};
        }
    }
}

template <typename IsOver>
std::size_t FillerSharing::countPlaces(const CellWorker &worker, const TaskRef &filler,
                                       TimePoint now, const IsOver &isOver) const
{
    ResourceVector available = m_reservations.availableTo(filler, worker);
    double unusedCpu = PlacementRules::expectedUnusedCpu(worker);
    for (const TaskRef &it : worker.tasks) {
        if (it.spec().isFiller && isOver(it)) {
            available.add(it.spec().reservation());
            unusedCpu += static_cast<double>(it.spec().demand.milliCpu);
        }
    }
    const auto obstacle = PlacementRules::findObstacle(
        worker, available, m_reservations.countOfStep(filler, worker), filler, now);
    if (obstacle && *obstacle != Obstacle::IdleCpu) {
        return 0;
    }
    const StepSpec &spec = filler.spec();
    std::size_t places = 0;
    const std::size_t limit = spec.maxPerWorker > 0
                                  ? std::min<std::size_t>(spec.maxPerWorker, placesNeeded(filler))
                                  : placesNeeded(filler);
    while (places < limit && available.fits(spec.reservation())
           && PlacementRules::isEnoughUnusedCpu(unusedCpu, spec)) {
        available.subtract(spec.reservation());
        unusedCpu -= static_cast<double>(spec.demand.milliCpu);
        ++places;
    }
    return places;
}

std::size_t FillerSharing::keepWorkers(const TaskRef &filler, std::size_t limit, TimePoint now)
{
    struct Candidate
    {
        std::tuple<std::size_t, std::size_t, double> rank; ///< Lowest first.
        CellWorker *worker = nullptr;
        std::size_t places = 0;
    };
    const std::size_t needed = placesNeeded(filler);
    std::vector<Candidate> candidates;
    for (const auto &[id, worker] : m_state.workers) {
        if (worker->fillersKeptUntil > now) {
            continue;
        }
        const std::size_t places =
            countPlaces(*worker, filler, now, [](const TaskRef &) { return true; });
        if (places == 0) {
            continue;
        }
        // A place that is expected to do harm would stay empty.
        const double violations = m_interference.expectedViolations(*worker, filler, now);
        if (!InterferenceGuard::isWorthwhile(filler.spec(), violations)) {
            continue;
        }
        const std::size_t placesByYield = countPlaces(
            *worker, filler, now, [&](const TaskRef &it) { return mayYield(it, *filler.job); });
        candidates.push_back(
            {{needed - placesByYield, needed - places, -PlacementRules::expectedUnusedCpu(*worker)},
             worker.get(),
             places});
    }
    std::ranges::sort(candidates, {}, &Candidate::rank);
    std::size_t places = 0;
    std::size_t count = 0;
    while (places < needed && count < std::min(limit, candidates.size())) {
        places += candidates[count++].places;
    }
    if (places < needed) {
        return 0;
    }
    for (const Candidate &it : std::span(candidates).first(count)) {
        it.worker->fillersKeptFor = filler.job->id;
        it.worker->fillersKeptUntil = now + MaxKeepTime;
        m_state.logDecision("worker kept for filler", filler, "on=" + it.worker->info.id.value());
    }
    return count;
}

void FillerSharing::makeRoom(const TaskRef &filler, TimePoint now)
{
    const auto isStopping = [](const TaskRef &it) {
        return it.task().state == TaskState::Stopping;
    };
    const auto countAll = [&](const auto &isOver) {
        std::size_t places = 0;
        for (const auto &[id, worker] : m_state.workers) {
            places += countPlaces(*worker, filler, now, [&](const TaskRef &it) {
                return isOver(it) && isKeptFor(*it.task().worker, *filler.job, now);
            });
        }
        return places;
    };
    const std::size_t mostPlaces =
        countAll([&](const TaskRef &it) { return isStopping(it) || mayYield(it, *filler.job); });
    if (mostPlaces < placesNeeded(filler)) {
        return; // Stops wouldn't be enough.
    }
    while (countAll(isStopping) < placesNeeded(filler)) {
        const auto surplus = findSurplusFiller(filler, now);
        if (!surplus) {
            return;
        }
        CellWorker &worker = *surplus->task().worker;
        m_state.logDecision("filler yields", *surplus, "for=" + filler.job->id.value());
        TaskLedger::orderStop(m_state, *surplus, now);
        worker.nextRenewal = std::min(worker.nextRenewal, now + TaskLedger::AwaitedEndDelay);
    }
}

std::optional<TaskRef> FillerSharing::findSurplusFiller(const TaskRef &filler, TimePoint now) const
{
    std::optional<TaskRef> best;
    std::tuple<bool, bool, bool, std::size_t, TimePoint> bestRank; // Highest first.
    for (const auto &[id, worker] : m_state.workers) {
        if (!isKeptFor(*worker, *filler.job, now)) {
            continue;
        }
        for (const TaskRef &it : worker->tasks) {
            const std::size_t staying = mayYield(it, *filler.job) ? countStaying(*it.job) : 0;
            if (staying < 2) {
                continue;
            }
            const CellTask &task = it.task();
            const bool isOverdue = now > it.job->deprioritizedAt;
            const std::tuple rank{task.pace == 0, isOverdue, it.spec().isCheckpointing, staying,
                                  task.startedAt};
            if (!best || rank > bestRank) {
                best = it;
                bestRank = rank;
            }
        }
    }
    return best;
}

} // namespace firefly
