#pragma once

#include "Cell/CellState.h"

#include <cstdint>
#include <limits>
#include <optional>

namespace firefly {

/// Keeps the record of each worker in the cell's topic, which tells the next owner what the worker
/// may run: any task, some tasks, or, without a record, none.
///
/// A worker that takes no further starts gets a record of the tasks that it may still run.  That of
/// a silent worker also limits its lease: from then on this owner extends no lease there, so that
/// the next owners wait for the rest of it only.  Both limits end once a record without them is
/// durable.
class WorkerRecords
{
public:
    /// Stands in CellWorker::restoredStarts for the run of an unanswered start, which no report
    /// settles.
    static constexpr std::uint32_t AnyRun = std::numeric_limits<std::uint32_t>::max();

    explicit WorkerRecords(CellState &state);

    /// Applies a \a record of an earlier owner.
    static void restore(CellWorker &worker, WorkerRecord record);
    /// All records have been read, at \a now at the latest, and no earlier owner can put more.
    void finishRestore(TimePoint now);
    /// Puts or deletes the record of \a worker as far as its state requires another one.
    /// O(tasks on the worker).
    void update(CellWorker &worker, TimePoint now);
    /// Deletes the record of \a worker, which runs nothing any more.
    void remove(CellWorker &worker, TimePoint now);

private:
    std::optional<WorkerRecord> requiredRecord(const CellWorker &worker, TimePoint now) const;
    void put(CellWorker &worker, std::optional<WorkerRecord> record, TimePoint now);
    void onDurable(const WorkerId &id, std::uint64_t number);

    CellState &m_state;
    std::uint64_t m_count = 0; ///< Records and deletions put.
};

} // namespace firefly
