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

/// Tells the owner of a cell which of the registered workers are its own.
class WorkerDirectory
{
public:
    /// \a wake is called after each reading of the registrations.
    WorkerDirectory(asio::io_context &context, platform::StoreClient &store,
                    CellScheduler &scheduler, EventLog &log, const CellLayout &layout, int cell,
                    std::function<void()> wake);
    WorkerDirectory(const WorkerDirectory &) = delete;
    WorkerDirectory &operator=(const WorkerDirectory &) = delete;

private:
    void take(const KeyedRecord &record);
    void takeSnapshot(const std::set<std::string> &keys);

    CellScheduler &m_scheduler;
    EventLog &m_log;
    const CellLayout &m_layout;
    int m_cell;
    std::set<std::string> m_foreign; ///< Registered workers of other cells.
    TopicFollower m_follower;
};

} // namespace firefly
