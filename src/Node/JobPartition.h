#pragma once

#include "Cell/CellScheduler.h"
#include "Node/JobRecordCopy.h"
#include "Ops/EventLog.h"
#include "Ops/Metrics.h"
#include "platform/StoreClient.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace firefly {

/// Job records of one cell in the store: fences, loads and appends to them during one ownership.
class JobPartition
{
public:
    struct Callbacks
    {
        std::function<void()> onLoaded;        ///< The scheduler has restored all records.
        std::function<void()> onFenced;        ///< A newer owner has fenced this epoch.
        std::function<void()> onReadyToAppend; ///< The next batch may be appended.
    };

    /// Starts to fence and load the partition at once; what \a copy holds isn't read again.
    JobPartition(asio::io_context &context, platform::StoreClient &store, CellScheduler &scheduler,
                 EventLog &log, Metrics &metrics, int cell, Epoch epoch, Callbacks callbacks,
                 std::unique_ptr<JobRecordCopy> copy = nullptr);
    ~JobPartition();
    JobPartition(const JobPartition &) = delete;
    JobPartition &operator=(const JobPartition &) = delete;

    /// Appends the journal's next batch, unless an append is in progress.
    void append();
    /// Drops all answers from now on; for an ownership that ends inside one of the callbacks,
    /// before this object can be destroyed.
    void close();
    /// True once appends have failed for longer than a short outage.
    bool isFailing() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace firefly
