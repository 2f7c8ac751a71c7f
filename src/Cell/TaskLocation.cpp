#include "Cell/TaskLocation.h"

#include "Cell/TaskLedger.h"

#include <string>
#include <utility>

namespace firefly {

void TaskLocation::begin(TimePoint now)
{
    m_state.isLocating = true;
    m_begunAt = now;
    m_resolvedAt = now;
    m_nextCheck = {};
    m_isPartlyLogged = false;
    m_expired.clear();
}

void TaskLocation::update(TimePoint now, bool canJudgeSilence)
{
    if (!m_state.isLocating) {
        return;
    }
    if (now < m_nextCheck) {
        return;
    }
    const Hidden hidden = findHidden(now, canJudgeSilence);
    const bool isComplete = hidden.workers == 0;
    if (hidden.mayBeAny) {
        return;
    }
    m_nextCheck = now + CheckInterval;
    m_state.isLocating = !isComplete;
    const std::size_t notFound = resolve(hidden.tasks);
    m_resolvedAt = notFound > 0 ? now : m_resolvedAt;
    m_state.wantsPlacement = m_state.wantsPlacement || notFound > 0 || isComplete;
    if (isComplete || !std::exchange(m_isPartlyLogged, true)) {
        log(now, notFound, hidden);
    }
}

TaskLocation::Hidden TaskLocation::findHidden(TimePoint now, bool canJudgeSilence)
{
    Hidden hidden;
    for (const auto &[id, worker] : m_state.workers) {
        // A worker may list ended runs that no owner has recorded, so each is asked until it has
        // listed them all.  Those that it lists after the end of its lease don't count.
        if (!worker->isRestored || worker->hasListedAllEnds || worker->isReplaced) {
            continue;
        }
        if (canJudgeSilence && worker->renewFailures > 0 && now >= worker->leaseEnd()) {
            logEarlierLeaseOver(*worker, now);
            if (!worker->isContacted && now < worker->startsEnd()) {
                for (const OrderedStart &it : worker->restoredStarts) {
                    hidden.tasks.insert(it.task);
                }
                ++hidden.workers;
            }
            continue;
        }
        ++hidden.workers;
        if (!worker->restoredTasks) {
            hidden.mayBeAny = true;
            break;
        }
        hidden.tasks.insert(worker->restoredTasks->begin(), worker->restoredTasks->end());
        if (!worker->isContacted && now < worker->startsEnd()) {
            for (const OrderedStart &it : worker->restoredStarts) {
                hidden.tasks.insert(it.task);
            }
        }
    }
    return hidden;
}

void TaskLocation::logEarlierLeaseOver(const CellWorker &worker, TimePoint now)
{
    if (worker.isContacted || !m_expired.insert(worker.info.id.value()).second) {
        return;
    }
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_begunAt);
    m_state.logDecision("earlier lease over", worker,
                        "waited_ms=" + std::to_string(waited.count()) + " listed="
                            + std::to_string(worker.isRegistered ? 1 : 0) + " listed_incarnation="
                            + std::to_string(worker.info.incarnationStartUnixMs)
                            + " limited=" + std::to_string(worker.isLeaseLimited ? 1 : 0));
}

std::size_t TaskLocation::resolve(const std::set<TaskName> &hidden)
{
    std::size_t notFound = 0;
    for (auto &[id, job] : m_state.jobs) {
        for (std::uint32_t k = 0; k < job->occurrences.size(); ++k) {
            for (std::uint32_t s = 0; s < job->spec.steps.size(); ++s) {
                for (std::uint32_t i = 0; i < job->spec.steps[s].taskCount; ++i) {
                    const TaskRef ref{job.get(), k, s, i};
                    if (ref.task().state != TaskState::Unlocated
                        || (!hidden.empty() && hidden.contains(ref.name()))) {
                        continue;
                    }
                    TaskLedger::resolveUnlocated(ref);
                    ++notFound;
                }
            }
        }
    }
    return notFound;
}

void TaskLocation::log(TimePoint now, std::size_t notFound, const Hidden &hidden) const
{
    std::size_t answered = 0;
    std::size_t replaced = 0;
    std::size_t silent = 0;
    std::size_t joined = 0;
    for (const auto &[id, worker] : m_state.workers) {
        if (!worker->isRestored) {
            ++joined;
        } else if (worker->isContacted) {
            ++answered;
        } else {
            ++(worker->isReplaced ? replaced : silent);
        }
    }
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_begunAt);
    m_state.actions.emplace_back(LogDecision{
        hidden.workers == 0 ? "tasks located" : "tasks partly located",
        {},
        {},
        0,
        "not_found=" + std::to_string(notFound) + " waited_ms=" + std::to_string(waited.count())
            + " answered=" + std::to_string(answered) + " replaced=" + std::to_string(replaced)
            + " silent=" + std::to_string(silent) + " joined=" + std::to_string(joined)
            + " held_back=" + std::to_string(hidden.tasks.size())
            + " by_workers=" + std::to_string(hidden.workers)});
}

} // namespace firefly
