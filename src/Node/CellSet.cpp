#include "Node/CellSet.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace firefly {
namespace {

/// Under this load a cell has room for what comes, and referrals would only cost time.
constexpr double LeastLoadToRefer = 0.4;
/// Difference of load that is worth a referral.
constexpr double ClearlyLess = 0.04;
/// Difference of load at which every job is referred.
constexpr double SureDifference = 0.25;

/// An owner tells a new load this long after it took a referred job, at most.
constexpr Duration LoadDelay = std::chrono::milliseconds(600);

/// Load as a job feels it: fillers wait for what all others leave, the others only for each other.
double weigh(const CellLoad &cell, const CellLoad &job)
{
    return job.filling > job.reserving ? cell.reserving + cell.filling : cell.reserving;
}

/// A number from 0 to 1 that is the same each time a job is submitted.
double lotOf(const JobId &id)
{
    constexpr std::size_t Lots = 1000;
    return static_cast<double>(std::hash<std::string>()(id.value()) % Lots) / Lots;
}

} // namespace

CellSet::CellSet(asio::io_context &context, const NodeSettings &settings, CellHost::Options options,
                 platform::StoreClient &store, platform::WorkerClient &workers, EventLog &log,
                 Metrics &metrics)
    : m_context(context)
    , m_settings(settings)
    , m_options(std::move(options))
    , m_store(store)
    , m_workers(workers)
    , m_log(log)
    , m_metrics(metrics)
    , m_keeper(context, store, settings, log,
               [this](const CellLayout &layout) { takeLayout(layout); })
{}

void CellSet::takeLayout(const CellLayout &layout)
{
    m_layout = layout;
    for (int cell = 0; cell < layout.cellCount(); ++cell) {
        CellHost::Options options = m_options;
        options.cell = cell;
        options.layout = layout;
        options.claimedBeside = [this, cell] { return claimedBeside(cell); };
        options.lighterCell = [this, cell](const CellHost::NewJob &job, const CellLoad &own) {
            return lighterCell(cell, job, own);
        };
        m_hosts.push_back(std::make_unique<CellHost>(m_context, m_settings, std::move(options),
                                                     m_store, m_workers, m_log, m_metrics));
        if (m_isResigning) {
            m_hosts.back()->resign();
        }
    }
}

CellHost *CellSet::find(int cell)
{
    const bool isKnown = cell >= 0 && cell < static_cast<int>(m_hosts.size());
    return isKnown ? m_hosts[static_cast<std::size_t>(cell)].get() : nullptr;
}

int CellSet::claimedBeside(int cell) const
{
    int count = 0;
    for (int i = 0; i < static_cast<int>(m_hosts.size()); ++i) {
        const CellElection &election = m_hosts[static_cast<std::size_t>(i)]->election();
        count += i != cell && (election.isOwner() || election.isClaiming()) ? 1 : 0;
    }
    return count;
}

CellLoad CellSet::loadOf(int cell) const
{
    CellLoad load = m_hosts[static_cast<std::size_t>(cell)]->election().claim().load;
    for (const Referred &it : m_referred) {
        load += it.cell == cell ? it.load : CellLoad{};
    }
    return load;
}

std::optional<int> CellSet::lighterCell(int cell, const CellHost::NewJob &job, const CellLoad &own)
{
    const double mine = weigh(own, job.load);
    if (mine < LeastLoadToRefer) {
        return std::nullopt;
    }
    const TimePoint now = Clock::now();
    while (!m_referred.empty() && now - m_referred.front().at > LoadDelay) {
        m_referred.pop_front();
    }
    std::vector<double> gains(m_hosts.size(), 0.0);
    double sum = 0.0;
    double most = 0.0;
    for (int i = 0; i < static_cast<int>(m_hosts.size()); ++i) {
        const CellElection &election = m_hosts[static_cast<std::size_t>(i)]->election();
        if (i == cell || !election.hasOwner() || !m_layout->hasService(i, job.service)) {
            continue;
        }
        const double gain = mine - weigh(loadOf(i), job.load);
        gains[static_cast<std::size_t>(i)] = gain > ClearlyLess ? gain : 0.0;
        sum += gains[static_cast<std::size_t>(i)];
        most = std::max(most, gain);
    }
    // The others' loads are some time old and all cells see the same ones: a small difference moves
    // only some of the jobs, and they spread over the lighter cells, so that loads don't swing.
    double lot = lotOf(job.id);
    if (sum <= 0.0 || lot >= most / SureDifference) {
        return std::nullopt;
    }
    lot *= sum / std::min(1.0, most / SureDifference);
    int target = -1;
    for (std::size_t i = 0; i < gains.size() && lot >= 0.0; ++i) {
        target = gains[i] > 0.0 ? static_cast<int>(i) : target;
        lot -= gains[i];
    }
    m_referred.push_back({now, target, job.load});
    return target;
}

int CellSet::pending(const std::string &queue) const
{
    int sum = 0;
    for (const auto &it : m_hosts) {
        const auto &counts = it->election().claim().pendingByQueue;
        const auto found = counts.find(queue);
        sum += found == counts.end() ? 0 : found->second;
    }
    return sum;
}

void CellSet::resign()
{
    m_isResigning = true;
    std::ranges::for_each(m_hosts, [](const auto &it) { it->resign(); });
}

bool CellSet::hasResigned() const
{
    return std::ranges::all_of(m_hosts, [](const auto &it) { return it->hasResigned(); });
}

nlohmann::json CellSet::dump() const
{
    nlohmann::json cells = nlohmann::json::array();
    for (const auto &it : m_hosts) {
        cells.push_back(it->dump());
    }
    return cells;
}

} // namespace firefly
