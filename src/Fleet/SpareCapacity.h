#pragma once

#include "Cell/CellMessages.h"

#include <optional>
#include <span>

namespace firefly {

/// Chooses another cell for a batch job that its home would refuse, by what the cells publish.
///
/// \param offers what each cell publishes; unset for the home and for those that can't get the job.
/// \param load that the job would add to its home.
/// \param demand of one of its first tasks.
/// \param draw number in [0, 1), by job, so that the jobs of one home spread over all such cells.
/// \returns a cell with free capacity, each with a probability by its amount; none without one.
std::optional<int> findSpareCapacity(std::span<const std::optional<GuestOffer>> offers,
                                     const CellLoad &load, const ResourceVector &demand,
                                     double draw);

} // namespace firefly
