#include "Cell/FillerTrials.h"

#include "Cell/PlacementRules.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace firefly {
namespace {

/// Time from a trial on a worker to the next one there.  Covers the reaction to a missed target, so
/// that serving tasks recover in between.
constexpr Duration TrialInterval = std::chrono::milliseconds(3000);
/// Limit of the trials at a time: one of this many workers, of the cell and of those that serve one
/// image.
constexpr std::size_t WorkersPerTrial = 4;

std::set<ImageIndex> servingImages(const CellWorker &worker)
{
    std::set<ImageIndex> images;
    for (const TaskRef &it : worker.tasks) {
        if (it.spec().targetMs > 0) {
            images.insert(it.image());
        }
    }
    return images;
}

/// Workers, and those of them that are on trial.
struct TrialCount
{
    std::size_t workers = 0;
    std::size_t onTrial = 0;

    void add(bool isOnTrial)
    {
        ++workers;
        onTrial += isOnTrial ? 1 : 0;
    }
    bool isExhausted() const { return onTrial * WorkersPerTrial >= workers; }
};

} // namespace

std::optional<FillerTrials::Trial> FillerTrials::choose(std::span<const TaskRef> fillers,
                                                        TimePoint now)
{
    if (fillers.empty()) {
        return std::nullopt;
    }
    const std::vector<CellWorker *> workers = findWorkers(now);
    for (const TaskRef &ref : fillers) {
        std::optional<Trial> best;
        for (CellWorker *it : workers) {
            if (PlacementRules::findObstacle(*it, m_reservations.availableTo(ref, *it),
                                             m_reservations.countOfStep(ref, *it), ref, now)) {
                continue;
            }
            const double violations = m_interference.expectedViolations(*it, ref, now);
            if (!best || violations < best->expectedViolations) {
                best = Trial{ref, it, violations};
            }
        }
        if (best) {
            return best;
        }
    }
    return std::nullopt;
}

void FillerTrials::onStart(const Trial &trial, TimePoint now)
{
    trial.worker->trialUntil = now + TrialInterval;
}

std::vector<CellWorker *> FillerTrials::findWorkers(TimePoint now) const
{
    TrialCount cell;
    std::map<ImageIndex, TrialCount> byImage;
    for (const auto &[id, worker] : m_state.workers) {
        const bool isOnTrial = worker->trialUntil > now;
        cell.add(isOnTrial);
        for (const ImageIndex it : servingImages(*worker)) {
            byImage[it].add(isOnTrial);
        }
    }
    std::vector<CellWorker *> workers;
    if (cell.isExhausted()) {
        return workers;
    }
    for (const auto &[id, worker] : m_state.workers) {
        const bool isAllowed =
            worker->trialUntil <= now
            && std::ranges::none_of(servingImages(*worker), [&byImage](ImageIndex it) {
                   return byImage.at(it).isExhausted();
               });
        if (isAllowed) {
            workers.push_back(worker.get());
        }
    }
    return workers;
}

} // namespace firefly
