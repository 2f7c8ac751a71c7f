#include "Fleet/CellLayout.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace firefly {
namespace {

using nlohmann::json;

/// A rack and the number of workers registered in it.
struct Rack
{
    std::string name;
    std::string service; ///< The service with the most workers in the rack.
    int workers = 0;
};

/// Racks by falling number of workers; workers without a rack are left out.
std::vector<Rack> groupByRack(std::span<const WorkerDescription> workers)
{
    std::map<std::string, std::map<std::string, int>> counts;
    for (const WorkerDescription &it : workers) {
        if (!it.rack.empty()) {
            ++counts[it.rack][it.service];
        }
    }
    std::vector<Rack> racks;
    for (const auto &[name, services] : counts) {
        const auto mostCommon =
            std::ranges::max_element(services, {}, [](const auto &it) { return it.second; });
        Rack rack{name, mostCommon->first, 0};
        for (const auto &[service, count] : services) {
            rack.workers += count;
        }
        racks.push_back(std::move(rack));
    }
    std::ranges::stable_sort(racks, std::greater{}, &Rack::workers);
    return racks;
}

int hashToIndex(std::string_view name, std::size_t count)
{
    return static_cast<int>(XXH3_64bits(name.data(), name.size()) % count);
}

/// Number of workers that \a vm can manage.
double manageableWorkers(const VmCapacity &vm)
{
    return CellLayout::CalmUtilization
           * std::min(vm.cpuShare / CellLayout::CpuPerWorker,
                      vm.linkMbps / CellLayout::LinkMbpsPerWorker);
}

/// Smallest number of cells from \a least on whose owners, the strongest of \a vms, can manage
/// \a workers workers; if they can't at all, the number with the least excess.
int countManageableCells(int workers, int least, int maxCells, std::span<const VmCapacity> vms)
{
    std::vector<double> manageable;
    manageable.reserve(vms.size());
    for (const VmCapacity &it : vms) {
        manageable.push_back(manageableWorkers(it));
    }
    std::ranges::sort(manageable, std::greater{});
    int best = least;
    double bestShare = 0.0;
    for (int cells = least; cells <= std::min(maxCells, static_cast<int>(vms.size())); ++cells) {
        const double share = cells * manageable[static_cast<std::size_t>(cells - 1)] / workers;
        if (share >= 1.0) {
            return cells;
        }
        if (share > bestShare) {
            bestShare = share;
            best = cells;
        }
    }
    return best;
}

} // namespace

CellLayout CellLayout::plan(std::span<const WorkerDescription> workers, int maxCells,
                            std::span<const VmCapacity> vms, int workersPerCell)
{
    const auto count = static_cast<int>(workers.size());
    const std::vector<Rack> racks = groupByRack(workers);
    CellLayout layout;
    const int leastCells = std::max(1, (count + workersPerCell / 2) / workersPerCell);
    const int wantedCells = countManageableCells(count, leastCells, maxCells, vms);
    layout.m_cellCount =
        std::clamp(std::min(wantedCells, static_cast<int>(racks.size())), 1, std::max(1, maxCells));
    std::map<std::string, std::vector<int>> loads; // Number of workers by service and cell.
    std::vector<int> total(static_cast<std::size_t>(layout.m_cellCount), 0);
    std::map<std::string, std::set<int>> cells;
    for (const Rack &it : racks) {
        auto &load = loads[it.service];
        load.resize(total.size(), 0);
        std::size_t best = 0;
        for (std::size_t i = 1; i < load.size(); ++i) {
            if (std::pair(load[i], total[i]) < std::pair(load[best], total[best])) {
                best = i;
            }
        }
        load[best] += it.workers;
        total[best] += it.workers;
        layout.m_cellOfRack[it.name] = static_cast<int>(best);
        cells[it.service].insert(static_cast<int>(best));
    }
    for (const auto &[service, set] : cells) {
        layout.m_cellsOfService[service] = {set.begin(), set.end()};
    }
    return layout;
}

CellLayout CellLayout::decode(std::string_view bytes)
{
    try {
        const json object = json::parse(bytes);
        CellLayout layout;
        object.at("cells").get_to(layout.m_cellCount);
        object.at("racks").get_to(layout.m_cellOfRack);
        object.at("services").get_to(layout.m_cellsOfService);
        const auto isCell = [&layout](int it) { return it >= 0 && it < layout.m_cellCount; };
        for (const auto &[rack, cell] : layout.m_cellOfRack) {
            if (!isCell(cell)) {
                throw CellLayoutError("layout: rack " + rack + " is assigned to cell "
                                      + std::to_string(cell) + ", which does not exist");
            }
        }
        for (const auto &[service, cells] : layout.m_cellsOfService) {
            if (cells.empty() || !std::ranges::all_of(cells, isCell)) {
                throw CellLayoutError("layout: service " + service
                                      + " has no cells or one that does not exist");
            }
        }
        if (layout.m_cellCount < 1) {
            throw CellLayoutError("layout: cell count is " + std::to_string(layout.m_cellCount)
                                  + ", expected at least 1");
        }
        return layout;
    } catch (const json::exception &e) {
        throw CellLayoutError(std::string("layout: ") + e.what());
    }
}

std::string CellLayout::encode() const
{
    return json{{"cells", m_cellCount}, {"racks", m_cellOfRack}, {"services", m_cellsOfService}}
        .dump();
}

const std::vector<int> *CellLayout::cellsOf(const std::string &service) const
{
    const auto it = m_cellsOfService.find(service);
    return it == m_cellsOfService.end() ? nullptr : &it->second;
}

bool CellLayout::hasService(int cell, const std::string &service) const
{
    const auto *cells = cellsOf(service);
    return cells && std::ranges::binary_search(*cells, cell);
}

int CellLayout::cellByHash(std::string_view name, const std::string &service) const
{
    const auto *cells = cellsOf(service);
    // A service that the layout doesn't know gets one cell for all its workers and jobs.
    return cells ? (*cells)[static_cast<std::size_t>(hashToIndex(name, cells->size()))]
                 : hashToIndex(service, static_cast<std::size_t>(m_cellCount));
}

int CellLayout::cellOf(const WorkerDescription &worker) const
{
    const auto *cells = cellsOf(worker.service);
    const auto it = m_cellOfRack.find(worker.rack);
    const bool isKnown = it != m_cellOfRack.end();
    // A rack whose service has changed moves to a cell that gets the new service's jobs.
    if (isKnown && cells && std::ranges::binary_search(*cells, it->second)) {
        return it->second;
    }
    return cellByHash(worker.rack.empty() ? worker.id.value() : worker.rack, worker.service);
}

int CellLayout::cellOf(const JobId &job, const std::string &service,
                       const std::string &dataRack) const
{
    const auto rack = m_cellOfRack.find(dataRack);
    const auto *cells = cellsOf(service);
    if (rack != m_cellOfRack.end() && cells && std::ranges::binary_search(*cells, rack->second)) {
        return rack->second;
    }
    return cellByHash(job.value(), service);
}

} // namespace firefly
