#pragma once

#include "Core/Resources.h"
#include "Routing/WorkerIndex.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <vector>

namespace firefly {

/// Class of work that a reservation is for.
enum class WorkClass { Urgent, Batch };

/// Accounts for the capacity of each worker of one owner and what is reserved on it.
///
/// Urgent calls and batch tasks share the same capacity.  reserve() never exceeds it.  Only
/// adopt(), which records work that already runs, and a reduced capacity can leave a worker
/// overcommitted; reserve() then fails until enough work has ended.  WorkerPool is the single
/// writer.
class CapacityLedger
{
public:
    /// Adds a worker without reservations.
    WorkerIndex add(const Resources &capacity);
    /// Removes \a worker.  \pre isIdle(worker)
    void remove(WorkerIndex worker);
    /// Sets the capacity that the worker reports.
    void setCapacity(WorkerIndex worker, const Resources &capacity);

    /// Reserves \a amount; false when it does not fit.
    bool reserve(WorkerIndex worker, WorkClass workClass, const Resources &amount);
    /// Releases what reserve() or adopt() recorded.
    void release(WorkerIndex worker, WorkClass workClass, const Resources &amount);
    /// Records work that already runs on the worker, even beyond its capacity.
    void adopt(WorkerIndex worker, WorkClass workClass, const Resources &amount);

    const Resources &capacity(WorkerIndex worker) const { return at(worker).capacity; }
    const Resources &urgentInUse(WorkerIndex worker) const { return at(worker).urgent; }
    const Resources &batchInUse(WorkerIndex worker) const { return at(worker).batch; }
    /// Capacity that is not reserved; negative amounts where the worker is overcommitted.
    Resources freeCapacity(WorkerIndex worker) const;
    bool isIdle(WorkerIndex worker) const;
    bool isOvercommitted(WorkerIndex worker) const;
    std::size_t size() const { return m_entries.size() - m_freeIndices.size(); }

    nlohmann::json dump(WorkerIndex worker) const;

private:
    struct Entry
    {
        Resources capacity;
        Resources urgent;
        Resources batch;
        bool isPresent = false;
    };

    const Entry &at(WorkerIndex worker) const;
    Entry &at(WorkerIndex worker);
    static Resources &amountOf(Entry &entry, WorkClass workClass);

    std::vector<Entry> m_entries;
    std::vector<WorkerIndex> m_freeIndices;
};

} // namespace firefly
