#pragma once

#include "Cell/CellScheduler.h"
#include "Fleet/CellLayout.h"
#include "Node/TopicFollower.h"
#include "Ops/EventLog.h"

#include <asio/io_context.hpp>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace firefly {

/// Follows the workers' registrations and passes those of one cell to its scheduler.
///
/// Reads from the start, so that a new owner need not wait for the first read once it has restored
/// its jobs; keeps in memory what it reads before begin().
class WorkerDirectory
{
public:
    /// \a onRead is called after each read of the registrations, not before begin().
    WorkerDirectory(asio::io_context &context, platform::StoreClient &store,
                    StoreRetryPolicy &retries, CellScheduler &scheduler, EventLog &log,
                    const CellLayout &layout, int cell, std::function<void()> onRead);
    WorkerDirectory(const WorkerDirectory &) = delete;
    WorkerDirectory &operator=(const WorkerDirectory &) = delete;

    /// Passes on what was read and what will be; the scheduler has restored its records.
    void begin();

private:
    TopicFollower::Callbacks makeCallbacks(std::function<void()> onRead);
    /// Calls \a event now, or in begin() if that is yet to come.
    void deliver(std::function<void()> event);
    void onRecord(const KeyedRecord &record);
    void onSnapshot(const std::set<std::string> &keys);

    CellScheduler &m_scheduler;
    EventLog &m_log;
    const CellLayout &m_layout;
    int m_cell;
    std::set<std::string> m_workersOfOtherCells; ///< Registered workers of other cells.
    bool m_hasBegun = false;
    std::vector<std::function<void()>> m_deferred; ///< Events before begin(), in their order.
    TopicFollower m_follower;
};

} // namespace firefly
