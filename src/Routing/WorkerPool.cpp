#include "Routing/WorkerPool.h"

#include "Core/Assert.h"
#include "Routing/Fading.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace firefly {
namespace {

constexpr Duration FadeTime = std::chrono::seconds(5);
/// Weight of one call in the averages over all workers.
constexpr double PoolGain = 0.01;
/// Loss of a link above which its unanswered calls are not held against the worker.
constexpr double LinkLossLimit = 0.3;

} // namespace

WorkerPool::WorkerPool(const RoutingSettings &settings)
    : m_settings(settings)
    , m_outliers(settings.ejection)
    , m_meanLatencyUs(double(settings.initialLatency.count()))
    , m_undisturbedUs(double(settings.initialLatency.count()))
{}

WorkerIndex WorkerPool::update(const WorkerInfo &info, TimePoint now)
{
    const auto known = find(info.id);
    if (!known) {
        return insert(info, now);
    }
    Row &row = at(*known);
    m_urgentSlots += info.capacity.slots - row.view.info.capacity.slots;
    if (row.view.info.state == VmState::Leaving && info.state == VmState::Live) {
        row.view.rampStart = now;
    }
    row.view.info = info;
    m_ledger.setCapacity(*known, info.capacity);
    refresh(*known);
    return *known;
}

WorkerIndex WorkerPool::insert(const WorkerInfo &info, TimePoint now)
{
    const WorkerIndex worker = m_ledger.add(info.capacity);
    if (m_rows.size() <= toPosition(worker)) {
        m_rows.resize(toPosition(worker) + 1);
    }
    Row &row = at(worker);
    row = {};
    row.present = true;
    row.view.info = info;
    row.view.zone = m_links.index(info.zone);
    row.view.latencyUs = m_meanLatencyUs;
    row.view.learned = now;
    row.view.rampStart = now;
    m_openOfZone.resize(std::max(m_openOfZone.size(), m_links.size()));
    m_indexOfWorker[info.id] = worker;
    m_urgentSlots += info.capacity.slots;
    m_outliers.add(worker);
    refresh(worker);
    return worker;
}

void WorkerPool::remove(const WorkerId &worker)
{
    const auto known = find(worker);
    if (!known) {
        return;
    }
    Row &row = at(*known);
    row.removed = true;
    m_urgentSlots -= row.view.info.capacity.slots;
    m_indexOfWorker.erase(worker);
    m_outliers.remove(*known);
    refresh(*known);
    forgetIfIdle(*known);
}

void WorkerPool::forgetIfIdle(WorkerIndex worker)
{
    Row &row = at(worker);
    if (!row.removed || !m_ledger.isIdle(worker)) {
        return;
    }
    m_ledger.remove(worker);
    row = {};
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
    for (std::size_t i = 0; i < m_rows.size(); ++i) {
        if (!m_rows[i].present) {
            continue;
        }
        found.push_back(WorkerIndex(i));
    }
    return found;
}

bool WorkerPool::reserveUrgent(WorkerIndex worker)
{
    const Row &row = at(worker);
    if (row.removed || row.view.info.state == VmState::Leaving) {
        return false;
    }
    if (!m_ledger.reserve(worker, WorkUse::Urgent, m_settings.call)) {
        return false;
    }
    ++at(worker).view.outstanding;
    ++m_urgentInUse;
    refreshOpen(worker);
    return true;
}

void WorkerPool::releaseUrgent(WorkerIndex worker, const CallObservation &observation,
                               TimePoint now)
{
    m_ledger.release(worker, WorkUse::Urgent, m_settings.call);
    --at(worker).view.outstanding;
    --m_urgentInUse;
    if (!at(worker).removed) {
        learn(worker, observation, now);
    }
    refresh(worker);
    forgetIfIdle(worker);
}

void WorkerPool::learn(WorkerIndex worker, const CallObservation &observation, TimePoint now)
{
    if (observation.result == CallResult::Abandoned) {
        return;
    }
    WorkerView &view = at(worker).view;
    const ZoneIndex from = m_links.index(observation.callerZone);
    m_openOfZone.resize(std::max(m_openOfZone.size(), m_links.size()));
    const bool succeeded = observation.result == CallResult::Succeeded;
    if (observation.result == CallResult::NoAnswer) {
        m_links.recordLoss(from, view.zone, now);
        if (m_links.lossShare(from, view.zone, now) > LinkLossLimit) {
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
        learnLatency(view, std::max(0.0, ownUs), now);
    }
    view.learned = now;
    if (!m_outliers.record(worker, succeeded, now)) {
        return;
    }
    if (m_outliers.health(worker) == WorkerHealth::Healthy) {
        view.rampStart = now;
        view.failureShare = 0;
    }
}

void WorkerPool::learnLatency(WorkerView &view, double us, TimePoint now)
{
    const double keep = internal::fading(now - view.learned, FadeTime);
    const double before = m_meanLatencyUs + keep * (view.latencyUs - m_meanLatencyUs);
    view.latencyUs = before + m_settings.latencyGain * (us - before);
    m_meanLatencyUs += PoolGain * (us - m_meanLatencyUs);
    m_undisturbedUs += PoolGain * (us / view.expectedSlowdown - m_undisturbedUs);
}

double WorkerPool::latencyUs(WorkerIndex worker, TimePoint now) const
{
    const WorkerView &it = view(worker);
    const double keep = internal::fading(now - it.learned, FadeTime);
    return m_meanLatencyUs + keep * (it.latencyUs - m_meanLatencyUs);
}

double WorkerPool::failureShare(WorkerIndex worker, TimePoint now) const
{
    const WorkerView &it = view(worker);
    return it.failureShare * internal::fading(now - it.learned, FadeTime);
}

bool WorkerPool::reserveBatch(WorkerIndex worker, const Resources &amount)
{
    const Row &row = at(worker);
    if (row.removed || row.view.info.state == VmState::Leaving) {
        return false;
    }
    if (!m_ledger.reserve(worker, WorkUse::Batch, amount)) {
        return false;
    }
    refresh(worker);
    return true;
}

void WorkerPool::releaseBatch(WorkerIndex worker, const Resources &amount)
{
    m_ledger.release(worker, WorkUse::Batch, amount);
    refresh(worker);
    forgetIfIdle(worker);
}

void WorkerPool::adoptBatch(WorkerIndex worker, const Resources &amount)
{
    m_ledger.adopt(worker, WorkUse::Batch, amount);
    refresh(worker);
}

bool WorkerPool::acceptsWork(WorkerIndex worker) const
{
    const Row &row = m_rows[toPosition(worker)];
    return row.present && !row.removed && row.view.info.state == VmState::Live
           && m_outliers.health(worker) == WorkerHealth::Healthy;
}

bool WorkerPool::fitsCall(WorkerIndex worker) const
{
    return m_settings.call.fitsIn(m_ledger.room(worker));
}

void WorkerPool::setExpectedSlowdown(WorkerIndex worker, double slowdown)
{
    FIREFLY_ASSERT(slowdown >= 1, "a slowdown below 1 was predicted");
    at(worker).view.expectedSlowdown = slowdown;
    refreshOpen(worker);
    refreshCalmSlots(worker);
}

void WorkerPool::tick(TimePoint now)
{
    for (const WorkerIndex worker : m_outliers.tick(now)) {
        refresh(worker);
    }
}

std::optional<WorkerIndex> WorkerPool::takeProbe(TimePoint now)
{
    WorkerIndex worker{};
    if (!m_outliers.takeProbe(worker, now)) {
        return std::nullopt;
    }
    if (at(worker).view.info.state == VmState::Leaving || !fitsCall(worker)) {
        return std::nullopt;
    }
    return worker;
}

std::span<const WorkerIndex> WorkerPool::openWorkers(ZoneIndex zone, Disturbance disturbance) const
{
    if (zone >= m_openOfZone.size()) {
        return {};
    }
    return m_openOfZone[zone][std::size_t(disturbance)];
}

Disturbance WorkerPool::disturbance(WorkerIndex worker) const
{
    const double slowdown = view(worker).expectedSlowdown;
    if (slowdown < m_settings.calmBelow) {
        return Disturbance::Calm;
    }
    return slowdown < m_settings.slowFrom ? Disturbance::Disturbed : Disturbance::Slow;
}

void WorkerPool::refresh(WorkerIndex worker)
{
    refreshOpen(worker);
    refreshBatchRoom(worker);
    refreshCalmSlots(worker);
}

void WorkerPool::refreshCalmSlots(WorkerIndex worker)
{
    Row &row = at(worker);
    const bool counts = acceptsWork(worker) && disturbance(worker) == Disturbance::Calm;
    const std::int64_t slots = counts ? row.view.info.capacity.slots : 0;
    m_calmSlots += slots - row.calmSlots;
    row.calmSlots = slots;
}

void WorkerPool::refreshBatchRoom(WorkerIndex worker)
{
    if (!acceptsWork(worker)) {
        m_batchRoom.remove(worker);
        return;
    }
    const std::int64_t capacity = m_ledger.capacity(worker).milliProcessors;
    m_batchRoom.put(worker, capacity - m_ledger.batchInUse(worker).milliProcessors);
}

void WorkerPool::refreshOpen(WorkerIndex worker)
{
    const Row &row = at(worker);
    const bool shouldBeOpen = acceptsWork(worker) && fitsCall(worker);
    const bool isOpen = row.openPosition != NotOpen;
    const bool inRightList =
        isOpen == shouldBeOpen && (!isOpen || row.openAs == disturbance(worker));
    if (inRightList) {
        return;
    }
    if (isOpen) {
        close(worker);
    }
    if (shouldBeOpen) {
        open(worker);
    }
}

void WorkerPool::open(WorkerIndex worker)
{
    Row &row = at(worker);
    row.openAs = disturbance(worker);
    auto &list = m_openOfZone[row.view.zone][std::size_t(row.openAs)];
    row.openPosition = std::uint32_t(list.size());
    list.push_back(worker);
    ++m_openCount;
}

void WorkerPool::close(WorkerIndex worker)
{
    Row &row = at(worker);
    auto &list = m_openOfZone[row.view.zone][std::size_t(row.openAs)];
    list[row.openPosition] = list.back();
    at(list.back()).openPosition = row.openPosition;
    list.pop_back();
    row.openPosition = NotOpen;
    --m_openCount;
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
            {"open", m_rows[toPosition(worker)].openPosition != NotOpen},
            {"outlier", m_outliers.dump(worker)},
            {"ledger", m_ledger.dump(worker)}};
}

} // namespace firefly
