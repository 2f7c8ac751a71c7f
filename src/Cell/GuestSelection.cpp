#include "Cell/GuestSelection.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace firefly {
namespace {

/// Longest time until a guest publishes what includes a new task, and the home reads it.
constexpr Duration MaxLoadDelay = std::chrono::milliseconds(1500);
/// Long-running demand above which a cell has too little room left for its own lost tasks.
constexpr double MaxGuestLoad = 0.97;
/// Smallest difference of displaced demand, as a fraction of the capacity, that moves a task to
/// another queue.
constexpr double MinQueueDifference = 0.02;

} // namespace

ResourceVector GuestSelection::recentDemand(int guest) const
{
    ResourceVector sum;
    for (const RecentTask &it : m_recent) {
        if (it.guest == guest) {
            sum.add(it.demand);
        }
    }
    return sum;
}

void GuestSelection::forgetOldTasks(TimePoint now)
{
    while (!m_recent.empty() && now - m_recent.front().at > MaxLoadDelay) {
        m_recent.pop_front();
    }
}

std::optional<int> GuestSelection::choose(const ResourceVector &demand, double homeLoad,
                                          std::span<const std::optional<GuestOffer>> cells,
                                          TimePoint now)
{
    forgetOldTasks(now);
    std::optional<int> best;
    std::pair bestKey(true, 0.0);
    for (int i = 0; i < static_cast<int>(cells.size()); ++i) {
        const auto &offer = cells[static_cast<std::size_t>(i)];
        if (!offer || offer->load.milliCpu <= 0.0 || !offer->room.largestAfterBatch.fits(demand)) {
            continue;
        }
        ResourceVector added = recentDemand(i);
        added.add(demand);
        const bool hasNoPiece = !offer->room.largestFree.fits(added);
        const double load =
            offer->load.longRunning + static_cast<double>(added.milliCpu) / offer->load.milliCpu;
        if (hasNoPiece && load >= std::min(MaxGuestLoad, homeLoad)) {
            continue;
        }
        const std::pair key(hasNoPiece, load);
        if (!best || key < bestKey) {
            best = i;
            bestKey = key;
        }
    }
    if (best) {
        m_recent.push_back({now, *best, demand});
    }
    return best;
}

std::optional<int>
GuestSelection::chooseShorterQueue(const ResourceVector &demand, const CellLoad &home,
                                   std::span<const std::optional<GuestOffer>> cells, TimePoint now)
{
    forgetOldTasks(now);
    const auto otherCount = static_cast<double>(
        std::ranges::count_if(cells, [](const auto &it) { return it.has_value(); }));
    const auto taskCpu = static_cast<double>(demand.milliCpu);
    std::optional<int> best;
    double leastQueue = home.displaced - taskCpu / home.milliCpu - MinQueueDifference;
    for (int i = 0; i < static_cast<int>(cells.size()); ++i) {
        const auto &offer = cells[static_cast<std::size_t>(i)];
        if (!offer || offer->load.milliCpu <= 0.0 || !offer->room.largestWorker.fits(demand)) {
            continue;
        }
        const double added =
            (static_cast<double>(recentDemand(i).milliCpu) + taskCpu) / offer->load.milliCpu;
        // Each of the others may move as much there without knowing of this home's tasks.
        const double queue = offer->load.displaced + otherCount * added;
        if (queue < leastQueue) {
            best = i;
            leastQueue = queue;
        }
    }
    if (best) {
        m_recent.push_back({now, *best, demand});
    }
    return best;
}

} // namespace firefly
