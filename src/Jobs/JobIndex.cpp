#include "Jobs/JobIndex.h"

#include "Core/Assert.h"

namespace firefly::internal {
namespace {

template <typename Key>
void eraseFrom(std::map<Key, std::set<JobId>> &groups, const Key &key, const JobId &job)
{
    const auto it = groups.find(key);
    FIREFLY_ASSERT(it != groups.end() && it->second.erase(job) == 1,
                   "a placed job must be in the index");
    if (it->second.empty()) {
        groups.erase(it);
    }
}

template <typename Key>
std::vector<JobId> jobsOf(const std::map<Key, std::set<JobId>> &groups, const Key &key)
{
    const auto it = groups.find(key);
    if (it == groups.end()) {
        return {};
    }
    return {it->second.begin(), it->second.end()};
}

} // namespace

void JobIndex::add(const Job &job)
{
    if (job.placement) {
        const bool isNew = m_byWorker[job.placement->worker].insert(job.id).second;
        FIREFLY_ASSERT(isNew, "a job must not be placed twice on one worker");
        m_byShard[job.placement->shard].insert(job.id);
        ++m_placedCount;
    } else if (job.isEnded()) {
        m_ended.emplace(job.endedAt, job.id);
        m_endedBytes += job.spec.payload.size() + job.result.size();
    } else {
        m_pending.emplace(job.submittedAt, job.id);
    }
}

void JobIndex::remove(const Job &job)
{
    if (job.placement) {
        eraseFrom(m_byWorker, job.placement->worker, job.id);
        eraseFrom(m_byShard, job.placement->shard, job.id);
        --m_placedCount;
    } else if (job.isEnded()) {
        m_ended.erase(job.endedAt);
        m_endedBytes -= job.spec.payload.size() + job.result.size();
    } else {
        m_pending.erase(job.submittedAt);
    }
}

std::vector<JobId> JobIndex::placedOn(const WorkerId &worker) const
{
    return jobsOf(m_byWorker, worker);
}

std::vector<JobId> JobIndex::placedIn(const ShardId &shard) const
{
    return jobsOf(m_byShard, shard);
}

} // namespace firefly::internal
