#include "Fleet/SpareCapacity.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace firefly {

std::optional<int> findSpareCapacity(std::span<const std::optional<GuestOffer>> offers,
                                     const CellLoad &load, const ResourceVector &demand,
                                     double draw)
{
    const bool isFiller = load.fillers > load.reserved;
    std::vector<double> spare(offers.size(), 0.0);
    for (std::size_t i = 0; i < offers.size(); ++i) {
        if (!offers[i] || !offers[i]->room.largestFree.fits(demand)) {
            continue;
        }
        const CellLoad &other = offers[i]->load;
        const double used = isFiller ? other.reserved + other.fillers : other.reserved;
        const double scale = other.milliCpu > 0.0 ? load.milliCpu / other.milliCpu : 1.0;
        const double left = 1.0 - used - scale * std::max(load.reserved, load.fillers);
        spare[i] = std::max(0.0, left) * std::max(1.0, other.milliCpu);
    }
    const double total = std::accumulate(spare.begin(), spare.end(), 0.0);
    if (total <= 0.0) {
        return std::nullopt;
    }
    double left = draw * total;
    for (std::size_t i = 0; i < spare.size(); ++i) {
        left -= spare[i];
        if (left < 0.0) {
            return static_cast<int>(i);
        }
    }
    return std::nullopt;
}

} // namespace firefly
