#include "Routing/OutlierDetector.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace firefly {
namespace {

/// Outliers looked at per request for a due probe; the cursor moves on between requests.
constexpr std::size_t ProbeScan = 4;

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
    if (m_rows.size() <= toPosition(worker)) {
        m_rows.resize(toPosition(worker) + 1);
    }
    m_rows[toPosition(worker)] = {.present = true};
    ++m_count;
}

void OutlierDetector::remove(WorkerIndex worker)
{
    m_rows[toPosition(worker)] = {};
    std::erase(m_outliers, worker);
    --m_count;
}

bool OutlierDetector::record(WorkerIndex worker, bool succeeded, TimePoint now)
{
    switch (at(worker).health) {
    case WorkerHealth::Healthy:
        return recordHealthy(worker, succeeded, now);
    case WorkerHealth::Probing:
        return recordProbe(worker, succeeded, now);
    case WorkerHealth::Ejected:
        break; // A call that began before the ejection.
    }
    return false;
}

bool OutlierDetector::recordHealthy(WorkerIndex worker, bool succeeded, TimePoint now)
{
    Row &row = m_rows[toPosition(worker)];
    row.failuresInRow = succeeded ? 0 : row.failuresInRow + 1;
    if (row.failuresInRow < m_settings.consecutiveFailures) {
        return false;
    }
    if (m_outliers.size() >= ejectedLimit()) {
        return false;
    }
    m_outliers.push_back(worker);
    eject(row, now);
    return true;
}

bool OutlierDetector::recordProbe(WorkerIndex worker, bool succeeded, TimePoint now)
{
    Row &row = m_rows[toPosition(worker)];
    if (!succeeded) {
        eject(row, now);
        return true;
    }
    ++row.probesPassed;
    if (row.probesPassed < m_settings.probesToReturn) {
        return false;
    }
    std::erase(m_outliers, worker);
    row = {.present = true};
    return true;
}

void OutlierDetector::eject(Row &row, TimePoint now)
{
    Duration length = m_settings.firstEjection;
    for (std::uint32_t i = 0; i < row.ejections && length < m_settings.longestEjection; ++i) {
        length *= 2;
    }
    row.health = WorkerHealth::Ejected;
    row.until = now + std::min(length, m_settings.longestEjection);
    row.failuresInRow = 0;
    row.probesPassed = 0;
    ++row.ejections;
}

std::vector<WorkerIndex> OutlierDetector::tick(TimePoint now)
{
    std::vector<WorkerIndex> changed;
    while (m_outliers.size() > ejectedLimit()) {
        changed.push_back(m_outliers.front());
        m_rows[toPosition(m_outliers.front())] = {.present = true};
        m_outliers.erase(m_outliers.begin());
    }
    for (const WorkerIndex worker : m_outliers) {
        Row &row = m_rows[toPosition(worker)];
        if (row.health != WorkerHealth::Ejected || now < row.until) {
            continue;
        }
        row.health = WorkerHealth::Probing;
        row.until = now;
        changed.push_back(worker);
    }
    return changed;
}

bool OutlierDetector::takeProbe(WorkerIndex &worker, TimePoint now)
{
    const std::size_t n = std::min(ProbeScan, m_outliers.size());
    for (std::size_t i = 0; i < n; ++i) {
        m_probeCursor = (m_probeCursor + 1) % m_outliers.size();
        Row &row = m_rows[toPosition(m_outliers[m_probeCursor])];
        if (row.health != WorkerHealth::Probing || now < row.until) {
            continue;
        }
        row.until = now + m_settings.probeInterval;
        worker = m_outliers[m_probeCursor];
        return true;
    }
    return false;
}

std::size_t OutlierDetector::ejectedLimit() const
{
    return std::size_t(m_settings.maxEjectedShare * double(m_count));
}

nlohmann::json OutlierDetector::dump(WorkerIndex worker) const
{
    const Row &row = at(worker);
    return {{"health", toString(row.health)},
            {"failuresInRow", row.failuresInRow},
            {"ejections", row.ejections},
            {"probesPassed", row.probesPassed}};
}

} // namespace firefly
