#pragma once

#include "Core/Resources.h"
#include "Routing/WorkerIndex.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <vector>

namespace firefly {

/// What a reservation is for.
enum class WorkUse { Urgent, Batch };

/// The single writer of what each worker of one owner has been given.
///
/// Urgent calls and batch tasks draw on the same capacity.  reserve() never goes beyond it; only
/// adopt(), which records work that already runs, and a shrunk capacity can leave a worker
/// overcommitted, and then nothing more fits until work ends.
class CapacityLedger
{
public:
    /// Adds a worker without work.
    WorkerIndex add(const Resources &capacity);
    /// Forgets \a worker.  \pre It has no work.
    void remove(WorkerIndex worker);
    /// Replaces the capacity that the worker reports.
    void setCapacity(WorkerIndex worker, const Resources &capacity);

    /// Takes \a amount when it fits, and says whether it did.
    bool reserve(WorkerIndex worker, WorkUse use, const Resources &amount);
    /// Gives back what reserve() or adopt() took.
    void release(WorkerIndex worker, WorkUse use, const Resources &amount);
    /// Records work that already runs on the worker, also beyond its capacity.
    void adopt(WorkerIndex worker, WorkUse use, const Resources &amount);

    const Resources &capacity(WorkerIndex worker) const { return at(worker).capacity; }
    const Resources &urgentInUse(WorkerIndex worker) const { return at(worker).urgent; }
    const Resources &batchInUse(WorkerIndex worker) const { return at(worker).batch; }
    /// What is left, negative where the worker is overcommitted.
    Resources room(WorkerIndex worker) const;
    bool isIdle(WorkerIndex worker) const;
    bool isOvercommitted(WorkerIndex worker) const;
    std::size_t size() const { return m_rows.size() - m_unused.size(); }

    nlohmann::json dump(WorkerIndex worker) const;

private:
    struct Row
    {
        Resources capacity;
        Resources urgent;
        Resources batch;
        bool present = false;
    };

    const Row &at(WorkerIndex worker) const;
    Row &at(WorkerIndex worker);
    static Resources &amountOf(Row &row, WorkUse use);

    std::vector<Row> m_rows;
    std::vector<WorkerIndex> m_unused;
};

} // namespace firefly
