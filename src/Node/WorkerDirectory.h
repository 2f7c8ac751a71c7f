#pragma once

#include "Cell/CellScheduler.h"
#include "Fleet/CellLayout.h"
#include "Node/TopicFollower.h"
#include "Ops/EventLog.h"

#include <asio/io_context.hpp>

#include <functional>
#include <set>
#include <string>

namespace firefly {

/// Follows the workers' registrations and passes those of one cell to its scheduler.
class WorkerDirectory
{
public:
    /// \a onRead is called after each read of the registrations.
    WorkerDirectory(asio::io_context &context, platform::StoreClient &store,
                    StoreRetryPolicy &retries, CellScheduler &scheduler, EventLog &log,
                    const CellLayout &layout, int cell, std::function<void()> onRead);
    WorkerDirectory(const WorkerDirectory &) = delete;
    WorkerDirectory &operator=(const WorkerDirectory &) = delete;

private:
    void onRecord(const KeyedRecord &record);
    void onSnapshot(const std::set<std::string> &keys);

    CellScheduler &m_scheduler;
    EventLog &m_log;
    const CellLayout &m_layout;
    int m_cell;
    std::set<std::string> m_workersOfOtherCells; ///< Registered workers of other cells.
    TopicFollower m_follower;
};

} // namespace firefly
