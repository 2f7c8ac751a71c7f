#include "Entry/WorkerSession.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace firefly {
namespace {

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

DueSync toSyncDue(const SendSync &sent)
{
    return {sent.worker.shard(), sent.sync.worker, sent.sync.term, sent.sync.number};
}

} // namespace

WorkerSession::WorkerSession(const EntryId &self, const OwnershipTimes &times,
                             const RoutingSettings &routing)
    : m_authority(self, times)
    , m_planner(self, ClaimSettings{})
    , m_pool(routing)
    , m_leaseDuration(times.lease)
{}

void WorkerSession::onVmList(const VmList &list, TimePoint now)
{
    m_table.onVmList(list, now);
    for (const ShardId &shard : m_table.shards()) {
        m_authority.setWorkers(shard, m_table.workers(shard));
    }
}

void WorkerSession::sendDueSyncs(TimePoint now, EntryActions &actions)
{
    for (const DueSync &due : m_authority.beginDueSyncs(now)) {
        const WorkerInfo *info = m_table.find(due.worker);
        if (info == nullptr) {
            m_authority.onSyncFailed(due);
            continue;
        }
        WorkerSync sync;
        sync.worker = due.worker;
        sync.term = due.term;
        sync.number = due.number;
        sync.leaseMs = toMilliseconds(m_leaseDuration);
        sync.acknowledged = attemptsToAcknowledge(due.worker);
        actions.emplace_back(SendSync{*info, std::move(sync)});
    }
}

std::vector<std::string> WorkerSession::attemptsToAcknowledge(const WorkerId &worker)
{
    const auto it = m_unacknowledged.find(worker);
    if (it == m_unacknowledged.end()) {
        return {};
    }
    return {it->second.begin(), it->second.end()};
}

void WorkerSession::refreshPool(TimePoint now)
{
    std::set<WorkerId> stillOwned;
    for (const ShardTerm &owned : m_authority.shards()) {
        for (const WorkerId &worker : m_table.workers(owned.shard)) {
            if (m_inheritedCalls.contains(worker)) {
                stillOwned.insert(worker);
                refreshWorker(worker, now);
            }
        }
    }
    removeUnowned(std::move(stillOwned));
    m_pool.tick(now);
}

void WorkerSession::refreshWorker(const WorkerId &worker, TimePoint now)
{
    const bool isDispatchable = dispatchTerm(worker, now).has_value();
    if (isDispatchable) {
        m_dispatchable.insert(worker);
    } else {
        m_dispatchable.erase(worker);
    }
    updatePool(worker, isDispatchable, now);
}

void WorkerSession::updatePool(const WorkerId &worker, bool isDispatchable, TimePoint now)
{
    WorkerInfo info = *m_table.find(worker);
    info.state = isDispatchable ? VmState::Live : VmState::Leaving;
    info.capacity.slots -= m_inheritedCalls.at(worker);
    const auto index = m_pool.find(worker);
    if (index) {
        const WorkerInfo &pooled = m_pool.view(*index).info;
        if (pooled.state == info.state && pooled.capacity == info.capacity) {
            return;
        }
    }
    m_pool.update(info, now);
}

void WorkerSession::removeUnowned(std::set<WorkerId> stillOwned)
{
    for (const WorkerId &worker : m_pooled) {
        if (!stillOwned.contains(worker)) {
            m_pool.remove(worker);
            m_inheritedCalls.erase(worker);
            m_dispatchable.erase(worker);
        }
    }
    m_pooled = std::move(stillOwned);
}

bool WorkerSession::onSyncReply(const SendSync &sent, const WorkerSyncReply &reply, TimePoint now)
{
    const WorkerSync &sync = sent.sync;
    const SyncAnswer answer{reply.accepted, reply.highestTerm, reply.boot};
    const bool isCurrent = m_authority.onSyncReply(toSyncDue(sent), answer, now);
    if (!isCurrent) {
        return false;
    }
    updateInheritedCalls(sync.worker, reply);
    m_pooled.insert(sync.worker);
    refreshWorker(sync.worker, now);
    const auto it = m_unacknowledged.find(sync.worker);
    if (it == m_unacknowledged.end()) {
        return true;
    }
    for (const std::string &acknowledged : sync.acknowledged) {
        it->second.erase(acknowledged);
    }
    if (it->second.empty()) {
        m_unacknowledged.erase(it);
    }
    return true;
}

void WorkerSession::updateInheritedCalls(const WorkerId &worker, const WorkerSyncReply &reply)
{
    const auto it = m_inheritedCalls.find(worker);
    if (it == m_inheritedCalls.end()) {
        m_inheritedCalls.emplace(worker, reply.urgentRunning);
        return;
    }
    it->second = std::min(it->second, reply.urgentRunning);
}

void WorkerSession::onSyncFailed(const SendSync &sent)
{
    m_authority.onSyncFailed(toSyncDue(sent));
}

void WorkerSession::acknowledge(const WorkerId &worker, const JobId &job, std::uint64_t attempt)
{
    m_unacknowledged[worker].insert(job.value() + "#" + std::to_string(attempt));
}

std::optional<Term> WorkerSession::dispatchTerm(const WorkerId &worker, TimePoint now) const
{
    const WorkerInfo *info = m_table.find(worker);
    if (info == nullptr || !m_table.acceptsWork(worker)) {
        return std::nullopt;
    }
    return m_authority.mayGiveWork(info->shard(), worker, now);
}

std::int64_t WorkerSession::freeSlots(const ShardId &shard) const
{
    std::int64_t sum = 0;
    for (const WorkerId &worker : m_table.workers(shard)) {
        const auto index = m_pool.find(worker);
        if (!index || !m_dispatchable.contains(worker) || !m_pool.acceptsWork(*index)) {
            continue;
        }
        sum += std::max<std::int64_t>(0, m_pool.ledger().freeCapacity(*index).slots);
    }
    return sum;
}

nlohmann::json WorkerSession::dump(TimePoint now) const
{
    auto workers = nlohmann::json::object();
    for (const WorkerId &worker : m_pooled) {
        const auto index = m_pool.find(worker);
        if (index) {
            workers[worker.value()] = m_pool.dump(*index);
        }
    }
    return {{"authority", m_authority.dump(now)},
            {"claims", m_planner.dump()},
            {"listed", m_table.dump()},
            {"workers", std::move(workers)}};
}

} // namespace firefly
