#include "Cell/WorkerRecords.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace firefly {
namespace {

std::string addressOf(const CellWorker &worker)
{
    return worker.info.endpoint.address + ":" + std::to_string(worker.info.endpoint.port);
}

std::vector<TaskName> tasksOn(const CellWorker &worker)
{
    std::vector<TaskName> names;
    std::ranges::transform(worker.tasks, std::back_inserter(names), &TaskRef::name);
    std::ranges::sort(names);
    return names;
}

bool isOpen(const std::optional<WorkerRecord> &record)
{
    return record && !record->tasks;
}

} // namespace

WorkerRecords::WorkerRecords(CellState &state)
    : m_state(state)
{}

void WorkerRecords::restore(CellWorker &worker, WorkerRecord record)
{
    worker.isRestored = true;
    worker.restoredTasks = record.tasks;
    worker.record = std::move(record);
    worker.isRecorded = isOpen(worker.record);
}

void WorkerRecords::update(CellWorker &worker)
{
    if (std::optional<WorkerRecord> required = requiredRecord(worker); required != worker.record) {
        put(worker, std::move(required));
    }
}

void WorkerRecords::remove(CellWorker &worker)
{
    if (worker.record) {
        put(worker, std::nullopt);
    }
}

std::optional<WorkerRecord> WorkerRecords::requiredRecord(const CellWorker &worker)
{
    WorkerRecord record;
    record.address = addressOf(worker);
    const bool mayStartTasks = !worker.info.isDraining && !worker.hasLeft;
    if (!worker.isContacted && !worker.isRestored) {
        // No owner has started anything there.
        return mayStartTasks && worker.renewFailures == 0 ? std::optional(record) : std::nullopt;
    }
    const bool areTasksKnown =
        worker.isContacted && worker.hasListedAllEnds && !worker.hasUntrackedRuns;
    const bool isIdle = areTasksKnown && worker.tasks.empty()
                        && worker.durableEndNumber == worker.processedEndNumber;
    if (isIdle && !mayStartTasks) {
        return std::nullopt;
    }
    if (!worker.isContacted || worker.renewFailures > 0) {
        // What it may run isn't known better than before.
        std::optional<WorkerRecord> same = worker.record;
        if (same) {
            same->address = record.address;
        }
        return same;
    }
    if (!mayStartTasks && areTasksKnown) {
        record.tasks = tasksOn(worker);
    }
    return record;
}

void WorkerRecords::put(CellWorker &worker, std::optional<WorkerRecord> record)
{
    const std::string &id = worker.info.id.value();
    worker.record = std::move(record);
    worker.recordNumber = ++m_count;
    // Any of the records that were put may be the one that the next owner reads.
    worker.isRecorded = false;
    std::optional<std::string> value;
    if (worker.record) {
        value = JobRecords::encodeWorker(*worker.record);
    }
    m_state.journal.put(
        {JobRecords::workerKey(id), std::move(value)},
        [this, id = worker.info.id, number = worker.recordNumber] { onDurable(id, number); });
}

void WorkerRecords::onDurable(const WorkerId &id, std::uint64_t number)
{
    CellWorker *worker = m_state.findWorker(id);
    if (!worker || worker->recordNumber != number) {
        return;
    }
    worker->isRecorded = isOpen(worker->record);
    if (worker->isRecorded) {
        m_state.wantsPlacement = true;
        m_state.logDecision("worker recorded", *worker, {});
    }
}

} // namespace firefly
