#include "Cell/WorkerRecords.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace firefly {
namespace {

/// Silence of a listed worker after which its lease is limited; most return sooner.
constexpr Duration MinSilence = std::chrono::milliseconds(500);
/// Interval of the records of the remaining lease of a silent worker; a change of owner prolongs
/// the wait for it by this much at most.
constexpr Duration LeaseRecordInterval = std::chrono::milliseconds(500);
/// Age of a record from which on it is put again without the starts that were answered since.
constexpr Duration StartRecordInterval = std::chrono::milliseconds(1000);

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

/// Tasks that may still start on a silent worker, by unanswered orders of this or earlier owners.
std::vector<TaskName> openStartsOn(const CellWorker &worker)
{
    std::vector<TaskName> names;
    if (!worker.isContacted) {
        std::ranges::transform(worker.restoredStarts, std::back_inserter(names),
                               &OrderedStart::task);
    } else {
        std::ranges::transform(worker.openStarts, std::back_inserter(names),
                               &CellWorker::OpenStart::task);
        for (const TaskRef &it : worker.tasks) {
            if (worker.startEnd(it.task()) != TimePoint{}) {
                names.push_back(it.name());
            }
        }
    }
    std::ranges::sort(names);
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

/// Starts on a worker that no answer or report has confirmed yet.
std::vector<OrderedStart> recentStartsOn(const CellWorker &worker)
{
    std::vector<OrderedStart> starts;
    for (const TaskRef &it : worker.tasks) {
        if (!it.task().acceptedMs) {
            starts.push_back({it.name(), it.task().run});
        }
    }
    std::ranges::sort(starts, {}, &OrderedStart::task);
    return starts;
}

/// Remaining time until \a end, in ms, rounded up.
std::int64_t msUntil(TimePoint end, TimePoint now)
{
    return std::max<std::int64_t>(0,
                                  std::chrono::ceil<std::chrono::milliseconds>(end - now).count());
}

/// Lets \a record name the starts that \a worker may still carry out.
void nameStarts(WorkerRecord &record, const CellWorker &worker, TimePoint now)
{
    record.openStarts.clear();
    std::ranges::transform(worker.openStarts, std::back_inserter(record.openStarts),
                           &CellWorker::OpenStart::task);
    std::ranges::sort(record.openStarts);
    record.startsLeftMs = msUntil(worker.openStartsEnd(), now);
    record.recentStarts = recentStartsOn(worker);
}

bool isOpen(const std::optional<WorkerRecord> &record)
{
    return record && !record->tasks && !record->leaseLeftMs;
}

bool limitsLease(const std::optional<WorkerRecord> &record)
{
    return record && record->leaseLeftMs;
}

/// True if \a to differs from \a from in the remaining times alone.
bool differsInLeaseOnly(const std::optional<WorkerRecord> &from,
                        const std::optional<WorkerRecord> &to)
{
    if (!limitsLease(from) || !limitsLease(to) || from->startsLeftMs < to->startsLeftMs) {
        return false;
    }
    WorkerRecord other = *from;
    other.leaseLeftMs = to->leaseLeftMs;
    other.startsLeftMs = to->startsLeftMs;
    return other == *to;
}

/// True if \a to differs from \a from, both without limits, in what it says of starts alone, and
/// in that it may no longer tell of earlier grants.
bool differsInStartsOnly(const std::optional<WorkerRecord> &from,
                         const std::optional<WorkerRecord> &to)
{
    if (!from || !to || limitsLease(from) || limitsLease(to)) {
        return false;
    }
    WorkerRecord other = *from;
    other.openStarts = to->openStarts;
    other.startsLeftMs = to->startsLeftMs;
    other.recentStarts = to->recentStarts;
    other.earlierGrantsMs = to->earlierGrantsMs == 0 ? 0 : other.earlierGrantsMs;
    return other == *to;
}

/// True if \a from names each start that \a to does, for at least as long.
bool coversStarts(const WorkerRecord &from, const WorkerRecord &to)
{
    const auto isNamed = [&from](const OrderedStart &it) {
        return std::ranges::find(from.recentStarts, it) != from.recentStarts.end();
    };
    return std::ranges::includes(from.openStarts, to.openStarts)
           && from.startsLeftMs >= to.startsLeftMs && std::ranges::all_of(to.recentStarts, isNamed);
}

/// True if the record of \a worker names a start that is no longer placed there.  Once the end of
/// its run is acknowledged, the next owner would take it for a start that may yet be carried out.
bool namesSettledStart(const CellWorker &worker)
{
    return worker.restoredStarts.empty()
           && std::ranges::any_of(worker.record->recentStarts, [&worker](const OrderedStart &it) {
                  return std::ranges::none_of(worker.tasks, [&it](const TaskRef &placed) {
                      return placed.name() == it.task && placed.task().run == it.run;
                  });
              });
}

} // namespace

WorkerRecords::WorkerRecords(CellState &state)
    : m_state(state)
{}

void WorkerRecords::restore(CellWorker &worker, WorkerRecord record)
{
    worker.isRestored = true;
    worker.restoredTasks = record.tasks;
    worker.restoredStarts = record.recentStarts;
    for (const TaskName &it : record.openStarts) {
        worker.restoredStarts.push_back({it, AnyRun});
    }
    worker.record = std::move(record);
    worker.isRecorded = isOpen(worker.record);
    worker.isLeaseLimited = limitsLease(worker.record);
}

void WorkerRecords::finishRestore(TimePoint now)
{
    for (auto &[id, worker] : m_state.workers) {
        worker->earlierLeaseEnd = m_state.locateUntil;
        worker->recordedAt = now;
        if (!worker->record) {
            continue;
        }
        // The record may have been put at any time before it was read.
        const WorkerRecord &record = *worker->record;
        if (record.earlierGrantsMs > 0) {
            worker->earlierGrantsEnd = now + std::chrono::milliseconds(record.earlierGrantsMs);
            worker->earlierLeaseEnd = std::max(worker->earlierLeaseEnd, worker->earlierGrantsEnd);
        }
        if (worker->isLeaseLimited) {
            const Duration left = std::chrono::milliseconds(*record.leaseLeftMs);
            worker->earlierLeaseEnd = std::min(worker->earlierLeaseEnd, now + left);
        }
        worker->earlierOpenStartsEnd = now + std::chrono::milliseconds(record.startsLeftMs);
        worker->earlierStartsEnd = record.recentStarts.empty() ? worker->earlierOpenStartsEnd
                                                               : now + CellBounds::OrderLifetime;
    }
}

void WorkerRecords::update(CellWorker &worker, TimePoint now)
{
    std::optional<WorkerRecord> required = requiredRecord(worker, now);
    if (required == worker.record) {
        return;
    }
    // A limit that can't be stored helps nobody, and couldn't be lifted.
    if (worker.renewFailures > 0 && !m_state.journal.isStoring()) {
        return;
    }
    if (differsInLeaseOnly(worker.record, required)
        && std::max(*required->leaseLeftMs, required->startsLeftMs) > 0
        && now - worker.recordedAt < LeaseRecordInterval) {
        return;
    }
    if (differsInStartsOnly(worker.record, required) && coversStarts(*worker.record, *required)
        && !namesSettledStart(worker) && now - worker.recordedAt < StartRecordInterval) {
        return;
    }
    put(worker, std::move(required), now);
}

void WorkerRecords::remove(CellWorker &worker, TimePoint now)
{
    if (worker.record) {
        put(worker, std::nullopt, now);
    }
}

std::optional<WorkerRecord> WorkerRecords::requiredRecord(const CellWorker &worker,
                                                          TimePoint now) const
{
    WorkerRecord record;
    record.address = addressOf(worker);
    record.incarnationStartUnixMs = worker.record ? worker.record->incarnationStartUnixMs : 0;
    if (worker.isContacted) {
        record.incarnationStartUnixMs = worker.incarnationStartUnixMs;
    }
    if (now < worker.earlierGrantsEnd) {
        record.earlierGrantsMs = std::chrono::ceil<std::chrono::milliseconds>(
                                     CellWorker::longestGrant(m_state.bounds.maxLease))
                                     .count();
    }
    const bool mayStartTasks = !worker.info.isDraining && !worker.hasLeft;
    if (!worker.isContacted && !worker.isRestored) {
        // No owner has started anything there.
        return std::nullopt;
    }
    // A record without an ended task must not be stored before the end: the next owner, which would
    // not wait for the worker, would start the task again.
    const bool areTasksKnown = worker.isContacted && worker.hasListedAllEnds
                               && !worker.hasUntrackedRuns
                               && worker.durableEndNumber == worker.processedEndNumber;
    const bool isIdle = areTasksKnown && worker.tasks.empty() && worker.openStarts.empty();
    // The limit of an earlier owner goes on, since this one extends no lease before an answer.
    const bool isLimited = !worker.isContacted && worker.isLeaseLimited;
    const bool isSilent = isLimited
                          || (worker.renewFailures > 0
                              && (!worker.isRegistered || now - worker.silentSince >= MinSilence));
    const bool isLeaseOver =
        isSilent && worker.tasks.empty() && now >= std::max(worker.leaseEnd(), worker.startsEnd());
    if (isLeaseOver || (isIdle && (isSilent || !mayStartTasks))) {
        return std::nullopt;
    }
    if (isSilent) {
        if (areTasksKnown) {
            record.tasks = tasksOn(worker);
        } else if (!mayStartTasks || !worker.isContacted || worker.isLeaseLimited) {
            // Its tasks have become fewer at most.
            record.tasks = worker.record ? worker.record->tasks : std::nullopt;
        }
        record.leaseLeftMs = msUntil(worker.leaseEnd(), now);
        record.startsLeftMs = msUntil(worker.startsEnd(), now);
        if (record.startsLeftMs > 0) {
            record.openStarts = openStartsOn(worker);
        }
        return record;
    }
    const bool mayHaveEnds = worker.durableEndNumber != worker.processedEndNumber;
    if (!worker.isContacted || worker.renewFailures > 0 || (!mayStartTasks && mayHaveEnds)) {
        // What it may run isn't known better than before.
        std::optional<WorkerRecord> same = worker.record;
        if (same) {
            same->address = record.address;
            if (worker.isContacted && worker.restoredStarts.empty()) {
                nameStarts(*same, worker, now);
            }
        }
        return same;
    }
    if (!mayStartTasks && areTasksKnown) {
        record.tasks = tasksOn(worker);
    }
    if (!worker.restoredStarts.empty() && worker.record) {
        // Those of earlier owners aren't settled yet.
        record.openStarts = worker.record->openStarts;
        record.startsLeftMs = worker.record->startsLeftMs;
        record.recentStarts = worker.record->recentStarts;
        return record;
    }
    nameStarts(record, worker, now);
    return record;
}

void WorkerRecords::put(CellWorker &worker, std::optional<WorkerRecord> record, TimePoint now)
{
    const std::string &id = worker.info.id.value();
    if (limitsLease(record) && !limitsLease(worker.record)) {
        m_state.logDecision("lease limited", worker,
                            "tasks="
                                + (record->tasks ? std::to_string(record->tasks->size()) : "any")
                                + " lease_left_ms=" + std::to_string(*record->leaseLeftMs)
                                + " listed=" + std::to_string(worker.isRegistered ? 1 : 0));
    }
    // Any of the records that were put may be the one that the next owner reads.
    worker.isRecorded = worker.isRecorded && differsInStartsOnly(worker.record, record);
    worker.record = std::move(record);
    worker.recordedAt = now;
    worker.recordNumber = ++m_count;
    worker.isLeaseLimited = worker.isLeaseLimited || limitsLease(worker.record);
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
    const bool wasRecorded = std::exchange(worker->isRecorded, isOpen(worker->record));
    worker->isLeaseLimited = limitsLease(worker->record);
    if (worker->isRecorded && !wasRecorded) {
        m_state.wantsPlacement = true;
        m_state.logDecision("worker recorded", *worker, {});
    }
}

} // namespace firefly
