#pragma once

#include "Cell/CellMessages.h"
#include "Core/Id.h"
#include "Core/VmCapacity.h"

#include <cstdint>
#include <map>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace firefly {

/// A layout record that can't be decoded.
class CellLayoutError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Assigns workers and jobs to cells; computed once for a fleet and never changed.
///
/// The answers depend only on the layout and the arguments, so all processes agree at all times: a
/// job that is submitted twice reaches the same cell, and each worker has one owner.
class CellLayout
{
public:
    /// Number of workers of a cell, if there are VMs that can manage it.
    static constexpr int WorkersPerCell = 128;
    /// What an owner needs for each worker of its cell at a calm time, in cores and in Mbit/s of
    /// its link (docs/CAPACITY.md).
    static constexpr double CpuPerWorker = 0.001;
    static constexpr double LinkMbpsPerWorker = 0.032;
    /// Fraction of a VM that its cell may need at a calm time; the rest is for bursts and clients.
    static constexpr double CalmUtilization = 0.6;

    /// A single cell for all workers and jobs.
    CellLayout() = default;
    /// Distributes the racks of \a workers evenly, service by service, over at most \a maxCells
    /// cells; no rack is split.  There are more cells than WorkersPerCell requires if the strongest
    /// of \a vms, one for each cell, couldn't manage so few.
    static CellLayout plan(std::span<const WorkerDescription> workers, int maxCells,
                           std::span<const VmCapacity> vms, int workersPerCell = WorkersPerCell);
    /// A plan for VMs that can manage cells of any size.
    static CellLayout plan(std::span<const WorkerDescription> workers, int maxCells)
    {
        return plan(workers, maxCells, {});
    }

    /// \throws CellLayoutError when \a bytes isn't a valid layout.
    static CellLayout decode(std::string_view bytes);
    std::string encode() const;

    int cellCount() const { return m_cellCount; }
    /// The cell that schedules tasks on \a worker.
    int cellOf(const WorkerDescription &worker) const;
    /// True if \a cell had workers of \a service when the layout was made.
    bool hasService(int cell, const std::string &service) const;
    /// The cell for a new job: that of \a dataRack if it has workers of \a service, otherwise one
    /// with such workers, chosen by a hash of the job's id.
    int cellOf(const JobId &job, const std::string &service, const std::string &dataRack) const;
    bool operator==(const CellLayout &) const = default;

private:
    /// Chooses by a hash of \a name among the cells with workers of \a service.
    int cellByHash(std::string_view name, const std::string &service) const;
    /// Null when no worker of \a service was known when the layout was made.
    const std::vector<int> *cellsOf(const std::string &service) const;

    int m_cellCount = 1;
    std::map<std::string, int> m_cellOfRack;
    std::map<std::string, std::vector<int>> m_cellsOfService; ///< Sorted, never empty.
};

} // namespace firefly
