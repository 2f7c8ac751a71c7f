#pragma once

#include "Fleet/CellLayout.h"
#include "Node/CellHost.h"
#include "Node/LayoutKeeper.h"

#include <asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace firefly {

/// All cells as this process takes part in them; none until the fleet's layout is known.
class CellSet
{
public:
    CellSet(asio::io_context &context, const NodeSettings &settings, CellHost::Options options,
            platform::StoreClient &store, platform::WorkerClient &workers, EventLog &log,
            Metrics &metrics);

    /// Null until it is known.
    const CellLayout *layout() const { return m_layout ? &*m_layout : nullptr; }
    /// Null for a cell that the layout doesn't have.
    CellHost *find(int cell);
    /// Jobs in \a queue without a started task, as the owners have last said.
    int pending(const std::string &queue) const;

    /// Gives all cells up to other processes.
    void resign();
    bool hasResigned() const;
    nlohmann::json dump() const;

private:
    void takeLayout(const CellLayout &layout);
    int claimedBeside(int cell) const;
    CellLoad loadOf(int cell) const;
    std::optional<int> lighterCell(int cell, const CellHost::NewJob &job, const CellLoad &own);

    asio::io_context &m_context;
    const NodeSettings &m_settings;
    CellHost::Options m_options;
    platform::StoreClient &m_store;
    platform::WorkerClient &m_workers;
    EventLog &m_log;
    Metrics &m_metrics;
    std::optional<CellLayout> m_layout;
    std::vector<std::unique_ptr<CellHost>> m_hosts; ///< By cell.
    /// A job that was referred lately: its cell's owner hasn't told a load with it yet.
    struct Referred
    {
        TimePoint at{};
        int cell = 0;
        CellLoad load;
    };
    std::deque<Referred> m_referred;
    bool m_isResigning = false;
    LayoutKeeper m_keeper;
};

} // namespace firefly
