#include "Cell/CapacityReservations.h"

#include "Core/Assert.h"

#include <algorithm>

namespace firefly {

void CapacityReservations::add(const TaskRef &ref, CellWorker &worker, Kind kind, TimePoint now,
                               Duration timeout)
{
    FIREFLY_ASSERT(!contains(ref), "a task can hold one reservation only");
    const ResourceVector amount = ref.spec().reservation();
    m_entries.push_back({ref.name(), worker.info.id, amount, kind, now + timeout});
    addHeld(worker, m_entries.back());
}

void CapacityReservations::addHeld(CellWorker &worker, const Entry &entry)
{
    worker.held.add(entry.amount);
    if (isDeferred(entry.kind)) {
        worker.heldDeferred.add(entry.amount);
    }
    if (entry.kind == Kind::RunEnds) {
        worker.heldForRunning.add(entry.amount);
    }
}

void CapacityReservations::subtractHeld(CellWorker &worker, const Entry &entry)
{
    worker.held.subtract(entry.amount);
    if (isDeferred(entry.kind)) {
        worker.heldDeferred.subtract(entry.amount);
    }
    if (entry.kind == Kind::RunEnds) {
        worker.heldForRunning.subtract(entry.amount);
    }
}

bool CapacityReservations::removeDeferred(const TaskRef &ref, CellWorker &worker)
{
    const ResourceVector demand = ref.spec().reservation();
    bool isAnyRemoved = false;
    for (const Kind kind : {Kind::RunEnds, Kind::BatchEnds}) {
        while (!availableTo(ref, worker).fits(demand)) {
            const auto it = std::ranges::find_if(m_entries, [&](const Entry &entry) {
                return entry.worker == worker.info.id && entry.kind == kind
                       && entry.task != ref.name();
            });
            if (it == m_entries.end()) {
                break;
            }
            subtractHeld(worker, *it);
            m_state.logDecision("reservation given up", *m_state.findTask(it->task),
                                "on=" + worker.info.id.value() + " for=" + ref.job->id.value());
            m_entries.erase(it);
            isAnyRemoved = true;
        }
    }
    FIREFLY_ASSERT(availableTo(ref, worker).fits(demand), "deferred reservations must suffice");
    return isAnyRemoved;
}

void CapacityReservations::removeObsolete(TimePoint now)
{
    std::erase_if(m_entries, [&](const Entry &it) { return !isNeeded(it, now); });
    for (auto &[id, worker] : m_state.workers) {
        worker->held = {};
        worker->heldDeferred = {};
        worker->heldForRunning = {};
    }
    for (Entry &it : m_entries) {
        const bool hasEnded = it.kind == Kind::RunEnds
                              && m_state.findTask(it.task)->task().state == TaskState::Pending;
        it.kind = hasEnded ? Kind::Free : it.kind;
        addHeld(*m_state.findWorker(it.worker), it);
    }
}

void CapacityReservations::remove(const TaskRef &ref)
{
    const Entry *entry = find(ref.name());
    if (!entry) {
        return;
    }
    if (CellWorker *worker = m_state.findWorker(entry->worker)) {
        subtractHeld(*worker, *entry);
    }
    m_entries.erase(m_entries.begin() + (entry - m_entries.data()));
}

bool CapacityReservations::contains(const TaskRef &ref) const
{
    return !m_entries.empty() && find(ref.name());
}

std::size_t CapacityReservations::count(Kind kind) const
{
    return static_cast<std::size_t>(std::ranges::count(m_entries, kind, &Entry::kind));
}

std::size_t CapacityReservations::countOfStep(const TaskRef &ref, const CellWorker &worker) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_entries, [&](const Entry &it) {
        return it.worker == worker.info.id && it.task.job == ref.job->id
               && it.task.occurrence == ref.occurrence && it.task.step == ref.step
               && it.task.index != ref.index;
    }));
}

std::vector<TaskRef> CapacityReservations::pendingTasks() const
{
    std::vector<TaskRef> tasks;
    for (const Entry &it : m_entries) {
        const auto ref = m_state.findTask(it.task);
        if (ref && ref->task().state == TaskState::Pending) {
            tasks.push_back(*ref);
        }
    }
    return tasks;
}

ResourceVector CapacityReservations::availableTo(const TaskRef &ref, const CellWorker &worker) const
{
    ResourceVector available = worker.freeRoom();
    const TaskName name = ref.name();
    const auto openStart = std::ranges::find(worker.openStarts, name, &CellWorker::OpenStart::task);
    if (openStart != worker.openStarts.end() && ref.task().worker != &worker) {
        available.add(openStart->reservation);
    }
    if (worker.held == ResourceVector{}) {
        return available;
    }
    available.subtract(worker.held);
    const Entry *own = find(name);
    if (own && own->worker == worker.info.id) {
        available.add(own->amount);
    }
    return available;
}

ResourceVector CapacityReservations::availableWithDeferred(const TaskRef &ref,
                                                           const CellWorker &worker) const
{
    ResourceVector available = availableTo(ref, worker);
    available.add(worker.heldDeferred);
    const Entry *own = find(ref.name());
    if (own && own->worker == worker.info.id && isDeferred(own->kind)) {
        // availableTo() has added it.
        available.subtract(own->amount);
    }
    return available;
}

bool CapacityReservations::isNeeded(const Entry &entry, TimePoint now) const
{
    const auto ref = m_state.findTask(entry.task);
    const CellWorker *worker = m_state.findWorker(entry.worker);
    if (!ref || isFinal(ref->job->state) || !worker || now >= entry.expiresAt) {
        return false;
    }
    const TaskState state = ref->task().state;
    return (state == TaskState::Pending || state == TaskState::Stopping) && worker->isRegistered
           && worker->acceptsTasks();
}

const CapacityReservations::Entry *CapacityReservations::find(const TaskName &task) const
{
    const auto it = std::ranges::find(m_entries, task, &Entry::task);
    return it == m_entries.end() ? nullptr : &*it;
}

} // namespace firefly
