#pragma once

#include "Cell/CellMessages.h"
#include "Core/Id.h"

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

/// How workers and jobs are split over cells; decided once for a fleet and never changed.
///
/// All answers depend on nothing but the layout and the arguments, so every process at every time
/// gives the same: a job that is sent twice reaches one cell, and a worker has one owner.
class CellLayout
{
public:
    /// Workers that the owner of one cell serves with half a core (docs/CAPACITY.md).
    static constexpr int WorkersPerCell = 128;

    /// One cell for everything.
    CellLayout() = default;
    /// Splits the racks of \a workers evenly, service by service, over at most \a mostCells cells.
    static CellLayout plan(std::span<const WorkerDescription> workers, int mostCells,
                           int workersPerCell = WorkersPerCell);

    /// \throws CellLayoutError
    static CellLayout decode(std::string_view bytes);
    std::string encode() const;

    int cellCount() const { return m_cellCount; }
    /// The cell that orders \a worker.
    int cellOf(const WorkerDescription &worker) const;
    /// True if \a cell had workers of \a service when the layout was made.
    bool hasService(int cell, const std::string &service) const;
    /// The cell of a new job; one with workers of \a service, near \a dataRack if that is given.
    int cellOf(const JobId &job, const std::string &service, const std::string &dataRack) const;
    bool operator==(const CellLayout &) const = default;

private:
    int cellOfUnknown(std::string_view name, const std::string &service) const;
    const std::vector<int> *cellsOf(const std::string &service) const;

    int m_cellCount = 1;
    std::map<std::string, int> m_cellOfRack;
    std::map<std::string, std::vector<int>> m_cellsOfService; ///< Sorted, never empty.
};

} // namespace firefly
