#include "Cell/FailureHistory.h"

#include <algorithm>
#include <iterator>

namespace firefly {
namespace {

/// Failures in a row without a pause of the worker.
constexpr std::size_t ToleratedFailures = 1;
/// Least pause of the task, so that the next start on the worker is another task's.
constexpr Duration MinTaskPause = std::chrono::milliseconds(200);
constexpr Duration FirstPause = std::chrono::seconds(1);
constexpr Duration MaxPause = std::chrono::seconds(8);

} // namespace

Duration FailureHistory::pauseAfter(std::size_t failures)
{
    if (failures <= ToleratedFailures) {
        return {};
    }
    const auto shift = std::min<std::size_t>(failures - ToleratedFailures, 4) - 1;
    return std::min<Duration>(MaxPause, FirstPause * (1 << shift));
}

void FailureHistory::record(const WorkerId &worker, std::uint32_t run, TimePoint now)
{
    if (now - m_latest > Memory) {
        *this = {};
    }
    m_latest = now;
    if (m_runCount == 0 || m_latestRun != run) {
        ++m_runCount;
        m_latestRun = run;
    }
    auto it = std::ranges::find(m_workers, worker, &OnWorker::worker);
    if (it == m_workers.end()) {
        m_workers.push_back({worker, 0, 0, {}});
        it = std::prev(m_workers.end());
    }
    if (it->runCount == 0 || it->latestRun != run) {
        ++it->runCount;
        it->latestRun = run;
        it->pausedUntil = now + std::max(MinTaskPause, pauseAfter(it->runCount));
    }
}

bool FailureHistory::hasFailedWithout(const WorkerId &worker) const
{
    const OnWorker *it = find(worker);
    return m_runCount > (it ? it->runCount : 0);
}

bool FailureHistory::isPausedOn(const WorkerId &worker, TimePoint now) const
{
    const OnWorker *it = find(worker);
    return it && it->pausedUntil > now;
}

bool FailureHistory::isPaused(TimePoint now) const
{
    return std::ranges::any_of(m_workers,
                               [now](const OnWorker &it) { return it.pausedUntil > now; });
}

std::vector<WorkerId> FailureHistory::workers() const
{
    std::vector<WorkerId> ids;
    std::ranges::transform(m_workers, std::back_inserter(ids), &OnWorker::worker);
    return ids;
}

const FailureHistory::OnWorker *FailureHistory::find(const WorkerId &worker) const
{
    const auto it = std::ranges::find(m_workers, worker, &OnWorker::worker);
    return it == m_workers.end() ? nullptr : &*it;
}

} // namespace firefly
