#include "Routing/OutlierDetector.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace firefly {
namespace {

/// Outliers checked for a due probe per request; the next request continues after them.
constexpr std::size_t MaxProbeScan = 4;

const char *toString(WorkerHealth health)
{
    switch (health) {
    case WorkerHealth::Healthy:
        return "healthy";
    case WorkerHealth::Ejected:
        return "ejected";
    case WorkerHealth::Probing:
        break;
    }
    return "probing";
}

} // namespace

void OutlierDetector::add(WorkerIndex worker)
{
    if (m_states.size() <= toPosition(worker)) {
        m_states.resize(toPosition(worker) + 1);
    }
    m_states[toPosition(worker)] = {.isPresent = true};
    ++m_workerCount;
}

void OutlierDetector::remove(WorkerIndex worker)
{
    m_states[toPosition(worker)] = {};
    std::erase(m_outliers, worker);
    --m_workerCount;
}

bool OutlierDetector::record(WorkerIndex worker, bool succeeded, TimePoint now)
{
    switch (at(worker).health) {
    case WorkerHealth::Healthy:
        return recordWhileHealthy(worker, succeeded, now);
    case WorkerHealth::Probing:
        return recordProbeResult(worker, succeeded, now);
    case WorkerHealth::Ejected:
        break; // The call began before the ejection.
    }
    return false;
}

bool OutlierDetector::recordWhileHealthy(WorkerIndex worker, bool succeeded, TimePoint now)
{
    WorkerState &state = m_states[toPosition(worker)];
    state.consecutiveFailures = succeeded ? 0 : state.consecutiveFailures + 1;
    if (state.consecutiveFailures < m_settings.consecutiveFailures) {
        return false;
    }
    if (m_outliers.size() >= maxEjectedCount()) {
        return false;
    }
    m_outliers.push_back(worker);
    eject(state, now);
    return true;
}

bool OutlierDetector::recordProbeResult(WorkerIndex worker, bool succeeded, TimePoint now)
{
    WorkerState &state = m_states[toPosition(worker)];
    if (!succeeded) {
        eject(state, now);
        return true;
    }
    ++state.probesPassed;
    if (state.probesPassed < m_settings.probesToRecover) {
        return false;
    }
    std::erase(m_outliers, worker);
    state = {.isPresent = true};
    return true;
}

void OutlierDetector::eject(WorkerState &state, TimePoint now)
{
    Duration duration = m_settings.baseEjectionTime;
    for (std::uint32_t i = 0; i < state.ejections && duration < m_settings.maxEjectionTime; ++i) {
        duration *= 2;
    }
    state.health = WorkerHealth::Ejected;
    state.nextTransition = now + std::min(duration, m_settings.maxEjectionTime);
    state.consecutiveFailures = 0;
    state.probesPassed = 0;
    ++state.ejections;
}

std::vector<WorkerIndex> OutlierDetector::tick(TimePoint now)
{
    std::vector<WorkerIndex> changed;
    while (m_outliers.size() > maxEjectedCount()) {
        changed.push_back(m_outliers.front());
        m_states[toPosition(m_outliers.front())] = {.isPresent = true};
        m_outliers.erase(m_outliers.begin());
    }
    for (const WorkerIndex worker : m_outliers) {
        WorkerState &state = m_states[toPosition(worker)];
        if (state.health != WorkerHealth::Ejected || now < state.nextTransition) {
            continue;
        }
        state.health = WorkerHealth::Probing;
        state.nextTransition = now;
        changed.push_back(worker);
    }
    return changed;
}

bool OutlierDetector::acquireProbe(WorkerIndex &worker, TimePoint now)
{
    const std::size_t n = std::min(MaxProbeScan, m_outliers.size());
    for (std::size_t i = 0; i < n; ++i) {
        m_probeCursor = (m_probeCursor + 1) % m_outliers.size();
        WorkerState &state = m_states[toPosition(m_outliers[m_probeCursor])];
        if (state.health != WorkerHealth::Probing || now < state.nextTransition) {
            continue;
        }
        state.nextTransition = now + m_settings.probeInterval;
        worker = m_outliers[m_probeCursor];
        return true;
    }
    return false;
}

std::size_t OutlierDetector::maxEjectedCount() const
{
    return std::size_t(m_settings.maxEjectedShare * double(m_workerCount));
}

nlohmann::json OutlierDetector::dump(WorkerIndex worker) const
{
    const WorkerState &state = at(worker);
    return {{"health", toString(state.health)},
            {"failuresInRow", state.consecutiveFailures},
            {"ejections", state.ejections},
            {"probesPassed", state.probesPassed}};
}

} // namespace firefly
