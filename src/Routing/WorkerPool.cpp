#include "Routing/WorkerPool.h"

#include "Core/Assert.h"
#include "Routing/Decay.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace firefly {
namespace {

/// Half-life of the learned latency and failure share of a worker without calls.
constexpr Duration ObservationHalfLife = std::chrono::seconds(5);
/// Weight of one call in the moving averages over all workers.
constexpr double PoolMeanGain = 0.01;
/// Loss of a zone link above which unanswered calls are attributed to the link, not the worker.
constexpr double MaxLinkLossShare = 0.3;

} // namespace

WorkerPool::WorkerPool(const RoutingSettings &settings)
    : m_settings(settings)
    , m_outliers(settings.ejection)
    , m_meanLatencyUs(double(settings.initialLatency.count()))
    , m_undisturbedLatencyUs(double(settings.initialLatency.count()))
{}

WorkerIndex WorkerPool::update(const WorkerInfo &info, TimePoint now)
{
    const auto known = find(info.id);
    if (!known) {
        return insert(info, now);
    }
    Entry &entry = at(*known);
    m_urgentSlots += info.capacity.slots - entry.view.info.capacity.slots;
    if (entry.view.info.state == VmState::Leaving && info.state == VmState::Live) {
        entry.view.rampStart = now;
    }
    entry.view.info = info;
    m_ledger.setCapacity(*known, info.capacity);
    updateIndexes(*known);
    return *known;
}

WorkerIndex WorkerPool::insert(const WorkerInfo &info, TimePoint now)
{
    const WorkerIndex worker = m_ledger.add(info.capacity);
    if (m_entries.size() <= toPosition(worker)) {
        m_entries.resize(toPosition(worker) + 1);
    }
    Entry &entry = at(worker);
    entry = {};
    entry.isPresent = true;
    entry.view.info = info;
    entry.view.zone = m_links.index(info.zone);
    entry.view.latencyUs = m_meanLatencyUs;
    entry.view.lastObserved = now;
    entry.view.rampStart = now;
    m_availableOfZone.resize(std::max(m_availableOfZone.size(), m_links.size()));
    m_indexOfWorker[info.id] = worker;
    m_urgentSlots += info.capacity.slots;
    m_outliers.add(worker);
    updateIndexes(worker);
    return worker;
}

void WorkerPool::remove(const WorkerId &worker)
{
    const auto known = find(worker);
    if (!known) {
        return;
    }
    Entry &entry = at(*known);
    entry.isRemoved = true;
    m_urgentSlots -= entry.view.info.capacity.slots;
    m_indexOfWorker.erase(worker);
    m_outliers.remove(*known);
    updateIndexes(*known);
    eraseIfIdle(*known);
}

void WorkerPool::eraseIfIdle(WorkerIndex worker)
{
    Entry &entry = at(worker);
    if (!entry.isRemoved || !m_ledger.isIdle(worker)) {
        return;
    }
    m_ledger.remove(worker);
    entry = {};
}

std::optional<WorkerIndex> WorkerPool::find(const WorkerId &worker) const
{
    const auto it = m_indexOfWorker.find(worker);
    if (it == m_indexOfWorker.end()) {
        return std::nullopt;
    }
    return it->second;
}

std::vector<WorkerIndex> WorkerPool::workers() const
{
    std::vector<WorkerIndex> found;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (!m_entries[i].isPresent) {
            continue;
        }
        found.push_back(WorkerIndex(i));
    }
    return found;
}

bool WorkerPool::reserveUrgent(WorkerIndex worker)
{
    const Entry &entry = at(worker);
    if (entry.isRemoved || entry.view.info.state == VmState::Leaving) {
        return false;
    }
    if (!m_ledger.reserve(worker, WorkClass::Urgent, m_settings.resourcesPerCall)) {
        return false;
    }
    ++at(worker).view.outstanding;
    ++m_urgentInUse;
    updateAvailability(worker);
    return true;
}

void WorkerPool::releaseUrgent(WorkerIndex worker, const CallObservation &observation,
                               TimePoint now)
{
    m_ledger.release(worker, WorkClass::Urgent, m_settings.resourcesPerCall);
    --at(worker).view.outstanding;
    --m_urgentInUse;
    if (!at(worker).isRemoved) {
        recordObservation(worker, observation, now);
    }
    updateIndexes(worker);
    eraseIfIdle(worker);
}

void WorkerPool::recordObservation(WorkerIndex worker, const CallObservation &observation,
                                   TimePoint now)
{
    if (observation.result == CallResult::Abandoned) {
        return;
    }
    WorkerView &view = at(worker).view;
    const ZoneIndex from = m_links.index(observation.callerZone);
    m_availableOfZone.resize(std::max(m_availableOfZone.size(), m_links.size()));
    const bool succeeded = observation.result == CallResult::Succeeded;
    if (observation.result == CallResult::NoAnswer) {
        m_links.recordLoss(from, view.zone, now);
        if (m_links.lossShare(from, view.zone, now) > MaxLinkLossShare) {
            return;
        }
    }
    view.failureShare = failureShare(worker, now);
    view.failureShare += m_settings.latencyGain * (double(!succeeded) - view.failureShare);
    if (succeeded) {
        const Duration link = m_links.roundTrip(from, view.zone, now);
        const double ownUs = double((observation.latency - link).count());
        m_links.recordAnswer(from, view.zone,
                             observation.latency - Duration(Duration::rep(view.latencyUs)), now);
        updateLatency(view, std::max(0.0, ownUs), now);
    }
    view.lastObserved = now;
    if (!m_outliers.record(worker, succeeded, now)) {
        return;
    }
    if (m_outliers.health(worker) == WorkerHealth::Healthy) {
        view.rampStart = now;
        view.failureShare = 0;
    }
}

void WorkerPool::updateLatency(WorkerView &view, double us, TimePoint now)
{
    const double weight = internal::decayFactor(now - view.lastObserved, ObservationHalfLife);
    const double before = m_meanLatencyUs + weight * (view.latencyUs - m_meanLatencyUs);
    view.latencyUs = before + m_settings.latencyGain * (us - before);
    m_meanLatencyUs += PoolMeanGain * (us - m_meanLatencyUs);
    m_undisturbedLatencyUs += PoolMeanGain * (us / view.expectedSlowdown - m_undisturbedLatencyUs);
}

double WorkerPool::latencyUs(WorkerIndex worker, TimePoint now) const
{
    const WorkerView &it = view(worker);
    const double weight = internal::decayFactor(now - it.lastObserved, ObservationHalfLife);
    return m_meanLatencyUs + weight * (it.latencyUs - m_meanLatencyUs);
}

double WorkerPool::failureShare(WorkerIndex worker, TimePoint now) const
{
    const WorkerView &it = view(worker);
    return it.failureShare * internal::decayFactor(now - it.lastObserved, ObservationHalfLife);
}

bool WorkerPool::reserveBatch(WorkerIndex worker, const Resources &amount)
{
    const Entry &entry = at(worker);
    if (entry.isRemoved || entry.view.info.state == VmState::Leaving) {
        return false;
    }
    if (!m_ledger.reserve(worker, WorkClass::Batch, amount)) {
        return false;
    }
    updateIndexes(worker);
    return true;
}

void WorkerPool::releaseBatch(WorkerIndex worker, const Resources &amount)
{
    m_ledger.release(worker, WorkClass::Batch, amount);
    updateIndexes(worker);
    eraseIfIdle(worker);
}

void WorkerPool::adoptBatch(WorkerIndex worker, const Resources &amount)
{
    m_ledger.adopt(worker, WorkClass::Batch, amount);
    updateIndexes(worker);
}

bool WorkerPool::acceptsWork(WorkerIndex worker) const
{
    const Entry &entry = m_entries[toPosition(worker)];
    return entry.isPresent && !entry.isRemoved && entry.view.info.state == VmState::Live
           && m_outliers.health(worker) == WorkerHealth::Healthy;
}

bool WorkerPool::hasRoomForCall(WorkerIndex worker) const
{
    return m_settings.resourcesPerCall.fitsIn(m_ledger.freeCapacity(worker));
}

void WorkerPool::setExpectedSlowdown(WorkerIndex worker, double slowdown)
{
    FIREFLY_ASSERT(slowdown >= 1, "an expected slowdown must be at least 1");
    at(worker).view.expectedSlowdown = slowdown;
    updateAvailability(worker);
    updateLowInterferenceSlots(worker);
}

void WorkerPool::tick(TimePoint now)
{
    for (const WorkerIndex worker : m_outliers.tick(now)) {
        updateIndexes(worker);
    }
}

std::optional<WorkerIndex> WorkerPool::acquireProbe(TimePoint now)
{
    WorkerIndex worker{};
    if (!m_outliers.acquireProbe(worker, now)) {
        return std::nullopt;
    }
    if (at(worker).view.info.state == VmState::Leaving || !hasRoomForCall(worker)) {
        return std::nullopt;
    }
    return worker;
}

std::span<const WorkerIndex> WorkerPool::availableWorkers(ZoneIndex zone,
                                                          InterferenceLevel level) const
{
    if (zone >= m_availableOfZone.size()) {
        return {};
    }
    return m_availableOfZone[zone][std::size_t(level)];
}

InterferenceLevel WorkerPool::interferenceLevel(WorkerIndex worker) const
{
    const double slowdown = view(worker).expectedSlowdown;
    if (slowdown < m_settings.lowInterferenceBelow) {
        return InterferenceLevel::Low;
    }
    return slowdown < m_settings.highInterferenceFrom ? InterferenceLevel::Medium
                                                      : InterferenceLevel::High;
}

void WorkerPool::updateIndexes(WorkerIndex worker)
{
    updateAvailability(worker);
    updateBatchCapacity(worker);
    updateLowInterferenceSlots(worker);
}

void WorkerPool::updateLowInterferenceSlots(WorkerIndex worker)
{
    Entry &entry = at(worker);
    const bool isCounted =
        acceptsWork(worker) && interferenceLevel(worker) == InterferenceLevel::Low;
    const std::int64_t slots = isCounted ? entry.view.info.capacity.slots : 0;
    m_lowInterferenceSlots += slots - entry.lowInterferenceSlots;
    entry.lowInterferenceSlots = slots;
}

void WorkerPool::updateBatchCapacity(WorkerIndex worker)
{
    if (!acceptsWork(worker)) {
        m_batchCapacity.remove(worker);
        return;
    }
    const std::int64_t capacity = m_ledger.capacity(worker).milliProcessors;
    m_batchCapacity.update(worker, capacity - m_ledger.batchInUse(worker).milliProcessors);
}

void WorkerPool::updateAvailability(WorkerIndex worker)
{
    const Entry &entry = at(worker);
    const bool isAvailable = acceptsWork(worker) && hasRoomForCall(worker);
    const bool isListed = entry.listPosition != NotListed;
    const bool isInRightList =
        isListed == isAvailable && (!isListed || entry.listedLevel == interferenceLevel(worker));
    if (isInRightList) {
        return;
    }
    if (isListed) {
        removeFromAvailable(worker);
    }
    if (isAvailable) {
        addToAvailable(worker);
    }
}

void WorkerPool::addToAvailable(WorkerIndex worker)
{
    Entry &entry = at(worker);
    entry.listedLevel = interferenceLevel(worker);
    auto &list = m_availableOfZone[entry.view.zone][std::size_t(entry.listedLevel)];
    entry.listPosition = std::uint32_t(list.size());
    list.push_back(worker);
    ++m_availableCount;
}

void WorkerPool::removeFromAvailable(WorkerIndex worker)
{
    Entry &entry = at(worker);
    auto &list = m_availableOfZone[entry.view.zone][std::size_t(entry.listedLevel)];
    list[entry.listPosition] = list.back();
    at(list.back()).listPosition = entry.listPosition;
    list.pop_back();
    entry.listPosition = NotListed;
    --m_availableCount;
}

nlohmann::json WorkerPool::dump(WorkerIndex worker) const
{
    const WorkerView &it = view(worker);
    return {{"worker", it.info.id.value()},
            {"zone", it.info.zone.value()},
            {"leaving", it.info.state == VmState::Leaving},
            {"outstanding", it.outstanding},
            {"latencyUs", it.latencyUs},
            {"failureShare", it.failureShare},
            {"expectedSlowdown", it.expectedSlowdown},
            {"open", m_entries[toPosition(worker)].listPosition != NotListed},
            {"outlier", m_outliers.dump(worker)},
            {"ledger", m_ledger.dump(worker)}};
}

} // namespace firefly
