#include "Locality/RackForecast.h"

#include <algorithm>
#include <utility>

namespace firefly {
namespace {

/// Progress below which the percentage is too coarse to extrapolate.
constexpr int MinPercent = 5;
/// Remaining time of a run that has exceeded its expected duration, as a share of the elapsed time.
constexpr double OverdueShare = 0.25;

Duration scale(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

std::optional<Duration> expectedRemaining(const RunProgress &run)
{
    const double left = 1.0 - std::clamp(run.percent, 0, 100) / 100.0;
    if (run.elapsed && run.percent >= MinPercent) {
        return scale(*run.elapsed, left / (1.0 - left));
    }
    if (run.expected <= Duration::zero()) {
        return std::nullopt;
    }
    if (!run.elapsed) {
        return scale(run.expected, left);
    }
    return *run.elapsed < run.expected ? run.expected - *run.elapsed
                                       : scale(*run.elapsed, OverdueShare);
}

void RackForecast::addWorker(std::string id, const ResourceVector &free, TimePoint now)
{
    m_workers.push_back({std::move(id), {{now, free}}});
}

void RackForecast::addRoom(const std::string &worker, TimePoint at, const ResourceVector &amount)
{
    const auto it = std::ranges::find(m_workers, worker, &Worker::id);
    if (it == m_workers.end()) {
        return;
    }
    const auto next = std::ranges::upper_bound(it->changes, at, {}, &Change::at);
    it->changes.insert(next, {at, amount});
}

void RackForecast::take(const Place &place, const ResourceVector &demand, Duration duration)
{
    ResourceVector taken;
    taken.subtract(demand);
    addRoom(place.worker, place.at, taken);
    addRoom(place.worker, place.at + duration, demand);
}

std::optional<TimePoint> RackForecast::earliestOn(const Worker &worker,
                                                  const ResourceVector &demand)
{
    ResourceVector room;
    std::optional<TimePoint> since;
    for (auto it = worker.changes.begin(); it != worker.changes.end(); ++it) {
        room.add(it->amount);
        const auto next = std::next(it);
        if (next != worker.changes.end() && next->at == it->at) {
            continue;
        }
        if (!room.fits(demand)) {
            since.reset();
        } else if (!since) {
            since = it->at;
        }
    }
    return since;
}

} // namespace firefly
