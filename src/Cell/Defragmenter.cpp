#include "Cell/Defragmenter.h"

#include "Cell/PlacementRules.h"
#include "Cell/TaskLedger.h"

#include <algorithm>
#include <tuple>

namespace firefly {
namespace {

/// A batch task that ends within this time need not be in the way of a reservation.
constexpr Duration MaxBatchWait = std::chrono::milliseconds(2000);
/// Added to the estimated end of the batch tasks for the timeout of a reservation.
constexpr Duration BatchEndMargin = std::chrono::milliseconds(1000);
/// Once a task has waited this long, a move is preferred to waiting for batch tasks.
constexpr Duration MaxPatience = std::chrono::milliseconds(2000);
/// Shortest time between two moves of one task.
constexpr Duration MinMoveInterval = std::chrono::milliseconds(10000);
/// Time without a worker after which a task that has never run gets a reservation.
constexpr Duration FirstStartPatience = std::chrono::milliseconds(2000);
/// Tasks that may move for one task, and for one that has never run.
constexpr std::size_t MaxMoves = 2;
constexpr std::size_t MaxMovesForFirstStart = 1;
/// Workers of the cell per open reservation of one kind, and the smallest limit.
constexpr std::size_t WorkersPerReservation = 16;
constexpr std::size_t MinReservations = 2;
/// Bounds of the processor time for searches.
constexpr int MaxSearchesPerPass = 2;
constexpr int MaxPlansPerSearch = 8;
constexpr Duration SearchRetryInterval = std::chrono::milliseconds(500);
/// Progress of a long-running task that has started up, and of a batch task at its end.
constexpr int StartedPercent = 100;

/// Order of the searches: tasks that are down, those that still run on a worker that they have to
/// leave, and those that have never run.
int searchRank(const TaskRef &ref)
{
    if (!ref.hasRunBefore()) {
        return 2;
    }
    return ref.task().state == TaskState::Stopping ? 1 : 0;
}

} // namespace

void Defragmenter::makeRoom(std::vector<TaskRef> waiting, TimePoint now)
{
    std::ranges::sort(waiting, {}, [](const TaskRef &it) {
        return std::tuple(searchRank(it), it.task().waitingSince);
    });
    std::erase_if(m_failedSearches, [now](const FailedSearch &it) { return now >= it.retryAt; });
    int searchesLeft = MaxSearchesPerPass;
    for (const TaskRef &it : waiting) {
        if (!mayReserve(it, now) || isKnownToFail(it)) {
            continue;
        }
        if (!makeRoomFor(it, now)) {
            const StepSpec &spec = it.spec();
            m_failedSearches.push_back(
                {it.name(), it.job->spec.policy.service, spec.reservation(), it.hasRunBefore(),
                 !spec.requiredLabel.empty() || spec.maxPerWorker > 0, now + SearchRetryInterval});
        }
        if (--searchesLeft == 0) {
            return;
        }
    }
}

bool Defragmenter::mayReserve(const TaskRef &ref, TimePoint now) const
{
    const CellTask &task = ref.task();
    const bool isWaitingLong =
        task.waitingSince != TimePoint{} && now - task.waitingSince >= FirstStartPatience;
    return !m_reservations.contains(ref) && (ref.hasRunBefore() || isWaitingLong);
}

bool Defragmenter::isKnownToFail(const TaskRef &ref) const
{
    const TaskName name = ref.name();
    return std::ranges::any_of(m_failedSearches, [&](const FailedSearch &it) {
        if (ref.hasRunBefore() && !it.isDisplaced) {
            return false;
        }
        if (it.isRestricted) {
            return it.task.job == name.job && it.task.step == name.step;
        }
        return it.service == ref.job->spec.policy.service
               && ref.spec().reservation().fits(it.demand);
    });
}

bool Defragmenter::makeRoomFor(const TaskRef &ref, TimePoint now)
{
    const std::size_t maxMoves = ref.hasRunBefore() ? MaxMoves : MaxMovesForFirstStart;
    int attemptsLeft = MaxPlansPerSearch;
    for (const Plan &it : findPlans(ref, now)) {
        if (it.moved.size() > maxMoves
            || m_reservations.count(kindOf(it)) >= maxReservations(ref)) {
            continue;
        }
        if (carryOut(ref, it, now)) {
            return true;
        }
        if (--attemptsLeft == 0) {
            return false;
        }
    }
    return false;
}

std::size_t Defragmenter::maxReservations(const TaskRef &ref) const
{
    const std::size_t limit =
        std::max(MinReservations, m_state.workers.size() / WorkersPerReservation);
    return ref.hasRunBefore() ? limit : limit / 2;
}

std::vector<Defragmenter::Plan> Defragmenter::findPlans(const TaskRef &ref, TimePoint now) const
{
    std::vector<Plan> plans;
    const ResourceVector demand = ref.spec().reservation();
    const std::int64_t largestFreeCpu = findLargestFreeCpu(ref);
    std::vector<TaskRef> movable;
    for (const auto &[id, worker] : m_state.workers) {
        if (PlacementRules::findObstacle(*worker, worker->info.capacity,
                                         m_reservations.countOfStep(ref, *worker), ref, now)) {
            continue;
        }
        ResourceVector room = m_reservations.availableTo(ref, *worker);
        ResourceVector roomAfterBatch = room;
        Duration batchWait{};
        movable.clear();
        for (const TaskRef &it : worker->tasks) {
            if (it.task().state == TaskState::Stopping) {
                room.add(it.spec().reservation());
                roomAfterBatch.add(it.spec().reservation());
            } else if (const auto left = timeToEnd(it)) {
                roomAfterBatch.add(it.spec().reservation());
                batchWait = std::max(batchWait, *left);
            } else if (it.spec().demand.milliCpu <= largestFreeCpu && isMovable(it, ref, now)) {
                movable.push_back(it);
            }
        }
        if (room.fits(demand)) {
            plans.push_back({worker.get(), {}, {}});
            continue;
        }
        if (roomAfterBatch.fits(demand)) {
            plans.push_back({worker.get(), {}, batchWait});
        }
        // A batch task may exceed its estimate, so a move must suffice without its end.
        addMoves(plans, {worker.get(), {}, {}}, room, demand, movable);
    }
    const TimePoint since = ref.task().waitingSince;
    const bool prefersMoves = since != TimePoint{} && now - since >= MaxPatience;
    const auto key = [prefersMoves](const Plan &it) {
        // Moves interrupt other tasks, so the fewer and the smaller the better.
        std::int64_t movedCpu = 0;
        for (const TaskRef &moved : it.moved) {
            movedCpu += moved.spec().demand.milliCpu;
        }
        const bool isDeferred = prefersMoves && it.wait > Duration{};
        return std::tuple(isDeferred, it.moved.size(), movedCpu, it.wait);
    };
    std::ranges::sort(plans, {}, key);
    return plans;
}

void Defragmenter::addMoves(std::vector<Plan> &plans, const Plan &worker,
                            const ResourceVector &room, const ResourceVector &demand,
                            std::span<const TaskRef> movable) const
{
    const std::size_t countBefore = plans.size();
    const auto addIfSufficient = [&](std::vector<TaskRef> moved) {
        ResourceVector roomAfterMoves = room;
        for (const TaskRef &it : moved) {
            roomAfterMoves.add(it.spec().reservation());
        }
        if (roomAfterMoves.fits(demand)) {
            plans.push_back({worker.worker, std::move(moved), worker.wait});
        }
    };
    for (const TaskRef &it : movable) {
        addIfSufficient({it});
    }
    if (plans.size() > countBefore) {
        return;
    }
    for (std::size_t i = 0; i < movable.size(); ++i) {
        for (std::size_t j = i + 1; j < movable.size(); ++j) {
            const bool isSameStep =
                movable[i].job == movable[j].job && movable[i].step == movable[j].step;
            if (!isSameStep || movable[i].spec().maxUnavailable == 0) {
                addIfSufficient({movable[i], movable[j]});
            }
        }
    }
}

std::int64_t Defragmenter::findLargestFreeCpu(const TaskRef &ref) const
{
    std::int64_t largest = 0;
    for (const auto &[id, worker] : m_state.workers) {
        largest = std::max(largest, m_reservations.availableTo(ref, *worker).milliCpu);
    }
    return largest;
}

bool Defragmenter::carryOut(const TaskRef &ref, const Plan &plan, TimePoint now)
{
    std::vector<CellWorker *> destinations;
    for (const TaskRef &it : plan.moved) {
        CellWorker *destination = m_chooseWorker(it, now, plan.worker);
        if (!destination) {
            break;
        }
        m_reservations.add(it, *destination, CapacityReservations::Kind::Free, now);
        destinations.push_back(destination);
    }
    if (destinations.size() < plan.moved.size()) {
        for (std::size_t i = 0; i < destinations.size(); ++i) {
            m_reservations.remove(plan.moved[i]);
        }
        return false;
    }
    for (std::size_t i = 0; i < destinations.size(); ++i) {
        const TaskRef &moved = plan.moved[i];
        m_state.logDecision("task moves", moved,
                            "to=" + destinations[i]->info.id.value()
                                + " for=" + ref.job->id.value());
        moved.task().movedAt = now;
        TaskLedger::orderStop(m_state, moved, now);
    }
    const Duration timeout =
        plan.wait > Duration{} ? plan.wait + BatchEndMargin : CapacityReservations::Timeout;
    m_reservations.add(ref, *plan.worker, kindOf(plan), now, timeout);
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(plan.wait).count();
    m_state.logDecision("capacity reserved", ref,
                        "on=" + plan.worker->info.id.value() + " wait_ms=" + std::to_string(waitMs)
                            + " moves=" + std::to_string(plan.moved.size()));
    return true;
}

bool Defragmenter::isMovable(const TaskRef &ref, const TaskRef &waiting, TimePoint now) const
{
    const CellTask &task = ref.task();
    const StepSpec &spec = ref.spec();
    const bool isSmaller = !spec.reservation().fits(waiting.spec().reservation());
    if (!isSmaller || ref.job->spec.policy.priority < waiting.job->spec.policy.priority) {
        return false;
    }
    if (!spec.isLongRunning || spec.isGang || task.state != TaskState::Running
        || task.percent < StartedPercent || now < task.movedAt + MinMoveInterval
        || isFinal(ref.job->state) || m_reservations.contains(ref)) {
        return false;
    }
    if (spec.maxUnavailable == 0) {
        return true;
    }
    const auto away = std::ranges::count_if(ref.stepRun().tasks, [](const CellTask &it) {
        return it.state != TaskState::Running || it.percent < StartedPercent
               || it.worker->renewFailures > 0 || !it.worker->isRegistered;
    });
    return away < static_cast<std::ptrdiff_t>(spec.maxUnavailable);
}

std::optional<Duration> Defragmenter::timeToEnd(const TaskRef &ref)
{
    const CellTask &task = ref.task();
    const StepSpec &spec = ref.spec();
    if (spec.isLongRunning || spec.estimateMs == 0 || task.state != TaskState::Running) {
        return std::nullopt;
    }
    const Duration left = std::chrono::milliseconds(
        spec.estimateMs * (StartedPercent - std::min(task.percent, StartedPercent))
        / StartedPercent);
    return left <= MaxBatchWait ? std::optional(left) : std::nullopt;
}

} // namespace firefly
