#pragma once

#include "Jobs/Job.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace firefly::internal {

/// The orders in which a ledger's jobs are looked up; kept in step with the jobs by add/remove.
class JobIndex
{
public:
    /// Enters \a job under its present state.
    void add(const Job &job);
    /// Takes out what add() entered for the same state of \a job.
    void remove(const Job &job);

    const std::map<Offset, JobId> &pending() const { return m_pending; }
    const std::map<Offset, JobId> &ended() const { return m_ended; }
    std::vector<JobId> placedOn(const WorkerId &worker) const;
    std::vector<JobId> placedIn(const ShardId &shard) const;
    std::size_t placedCount() const { return m_placedCount; }
    std::size_t endedBytes() const { return m_endedBytes; }

private:
    std::map<Offset, JobId> m_pending; ///< By offset of submission.
    std::map<Offset, JobId> m_ended;   ///< By offset of the end.
    std::map<WorkerId, std::set<JobId>> m_byWorker;
    std::map<ShardId, std::set<JobId>> m_byShard;
    std::size_t m_placedCount = 0;
    std::size_t m_endedBytes = 0; ///< Sum of payloads and results of ended jobs.
};

} // namespace firefly::internal
