#include "Cell/Defragmenter.h"

#include "Cell/PlacementRules.h"
#include "Cell/TaskLedger.h"

#include <algorithm>
#include <tuple>

namespace firefly {
namespace {

/// A batch task that ends within this time need not be in the way of a reservation.
constexpr Duration MaxBatchWait = std::chrono::milliseconds(2000);
/// Once a task has waited this long, a move is preferred to waiting for batch tasks.
constexpr Duration MaxPatience = std::chrono::milliseconds(2000);
/// Shortest time between two moves of one task.
constexpr Duration MinMoveInterval = std::chrono::milliseconds(10000);
/// Time without a worker after which a task that has never run gets a reservation.
constexpr Duration FirstStartPatience = std::chrono::milliseconds(2000);
/// Open reservations per worker of the cell, and their smallest limit.
constexpr std::size_t WorkersPerReservation = 16;
constexpr std::size_t MinReservations = 2;
/// Bounds of the processor time for searches.
constexpr int MaxSearchesPerPass = 2;
constexpr int MaxDestinationsPerSearch = 8;
constexpr Duration SearchRetryInterval = std::chrono::milliseconds(250);
constexpr int StartedPercent = 100;

/// True for a task that has run before, so that its clients miss it.
bool isDisplaced(const TaskRef &ref)
{
    return ref.task().run > 0 || ref.job->isFromEarlierOwner;
}

} // namespace

void Defragmenter::beginPass(TimePoint now)
{
    m_searchesLeft = now < m_retryAt ? 0 : MaxSearchesPerPass;
}

void Defragmenter::makeRoom(const TaskRef &ref, TimePoint now)
{
    const CellTask &task = ref.task();
    const bool isWaitingLong =
        task.waitingSince != TimePoint{} && now - task.waitingSince >= FirstStartPatience;
    if (m_searchesLeft == 0 || m_reservations.size() >= maxReservations(ref)
        || (!isDisplaced(ref) && !isWaitingLong)) {
        return;
    }
    --m_searchesLeft;
    int destinationsLeft = MaxDestinationsPerSearch;
    for (const Plan &it : findPlans(ref, now)) {
        if (carryOut(ref, it, now)) {
            return;
        }
        if (--destinationsLeft == 0) {
            break;
        }
    }
    m_retryAt = now + SearchRetryInterval;
}

std::size_t Defragmenter::maxReservations(const TaskRef &ref) const
{
    const std::size_t limit =
        std::max(MinReservations, m_state.workers.size() / WorkersPerReservation);
    return isDisplaced(ref) ? limit : limit / 2;
}

std::vector<Defragmenter::Plan> Defragmenter::findPlans(const TaskRef &ref, TimePoint now) const
{
    std::vector<Plan> plans;
    const ResourceVector demand = ref.spec().reservation();
    for (const auto &[id, worker] : m_state.workers) {
        if (PlacementRules::findObstacle(*worker, worker->info.capacity, ref, now)) {
            continue;
        }
        ResourceVector room = m_reservations.availableTo(ref, *worker);
        Plan plan{worker.get(), std::nullopt, {}};
        for (const TaskRef &it : worker->tasks) {
            if (const auto left = timeToEnd(it)) {
                room.add(it.spec().reservation());
                plan.wait = std::max(plan.wait, *left);
            }
        }
        if (room.fits(demand)) {
            plans.push_back(plan);
            continue;
        }
        for (const TaskRef &it : worker->tasks) {
            ResourceVector roomAfterMove = room;
            roomAfterMove.add(it.spec().reservation());
            if (roomAfterMove.fits(demand) && isMovable(it, now)) {
                plan.moved = it;
                plans.push_back(plan);
            }
        }
    }
    // Moves interrupt other tasks, the fewer processors the better.
    const TimePoint since = ref.task().waitingSince;
    const bool prefersMoves = since != TimePoint{} && now - since >= MaxPatience;
    const auto key = [prefersMoves](const Plan &it) {
        return std::tuple(it.moved.has_value() != prefersMoves,
                          it.moved ? it.moved->spec().demand.milliCpu : 0, it.wait);
    };
    std::ranges::sort(plans, {}, key);
    return plans;
}

bool Defragmenter::carryOut(const TaskRef &ref, const Plan &plan, TimePoint now)
{
    if (plan.moved) {
        const TaskRef &moved = *plan.moved;
        CellWorker *destination = m_chooseWorker(moved, now, plan.worker);
        if (!destination) {
            return false;
        }
        m_reservations.add(moved, *destination, now);
        m_state.logDecision("task moves", moved,
                            "to=" + destination->info.id.value() + " for=" + ref.job->id.value());
        moved.task().movedAt = now;
        TaskLedger::orderStop(m_state, moved, now);
    }
    m_reservations.add(ref, *plan.worker, now);
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(plan.wait).count();
    m_state.logDecision("capacity reserved", ref,
                        "on=" + plan.worker->info.id.value() + " wait_ms=" + std::to_string(waitMs)
                            + " moves=" + (plan.moved ? "1" : "0"));
    return true;
}

bool Defragmenter::isMovable(const TaskRef &ref, TimePoint now) const
{
    const CellTask &task = ref.task();
    const StepSpec &spec = ref.spec();
    if (!spec.isLongRunning || spec.isGang || task.state != TaskState::Running
        || task.percent < StartedPercent || now < task.movedAt + MinMoveInterval
        || isFinal(ref.job->state) || m_reservations.contains(ref)) {
        return false;
    }
    if (spec.maxUnavailable == 0) {
        return true;
    }
    const auto away = std::ranges::count_if(ref.stepRun().tasks, [](const CellTask &it) {
        return it.state != TaskState::Running || it.percent < StartedPercent;
    });
    return away < static_cast<std::ptrdiff_t>(spec.maxUnavailable);
}

std::optional<Duration> Defragmenter::timeToEnd(const TaskRef &ref) const
{
    const CellTask &task = ref.task();
    if (task.state == TaskState::Stopping) {
        return m_state.bounds.stopTimeout;
    }
    if (ref.spec().isLongRunning || task.state != TaskState::Running) {
        return std::nullopt;
    }
    const Duration left = std::chrono::milliseconds(ref.spec().estimateMs
                                                    * (100 - std::min(task.percent, 100)) / 100);
    return left <= MaxBatchWait ? std::optional(left) : std::nullopt;
}

} // namespace firefly
