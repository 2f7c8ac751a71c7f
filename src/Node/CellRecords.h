#pragma once

#include "Cell/CellScheduler.h"
#include "Ops/EventLog.h"
#include "Ops/Metrics.h"
#include "platform/StoreClient.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace firefly {

/// The jobs' partition of one cell during one ownership: fenced, loaded, then appended to.
class CellRecords
{
public:
    struct Callbacks
    {
        std::function<void()> onLoaded;  ///< The scheduler has all records.
        std::function<void()> onFenced;  ///< The store refuses this epoch.
        std::function<void()> onSettled; ///< Another batch may go.
    };

    /// Begins at once.
    CellRecords(asio::io_context &context, platform::StoreClient &store, CellScheduler &scheduler,
                EventLog &log, Metrics &metrics, int cell, Epoch epoch, Callbacks callbacks);
    ~CellRecords();
    CellRecords(const CellRecords &) = delete;
    CellRecords &operator=(const CellRecords &) = delete;

    /// Sends the journal's next batch, unless one is under way.
    void append();
    /// True while the store has taken nothing for longer than an operator would notice.
    bool isFailing() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace firefly
