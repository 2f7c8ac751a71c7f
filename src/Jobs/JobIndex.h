#pragma once

#include "Jobs/Job.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace firefly::internal {

/// Lookup indexes over a ledger's jobs: by state, worker and shard.
///
/// The ledger calls remove() before and add() after each change of a job.
class JobIndex
{
public:
    /// Adds \a job under its current state.
    void add(const Job &job);
    /// Removes \a job; it must be in the state in which add() saw it.
    void remove(const Job &job);

    const std::map<Offset, JobId> &pending() const { return m_pending; }
    const std::map<Offset, JobId> &ended() const { return m_ended; }
    std::vector<JobId> placedOn(const WorkerId &worker) const;
    std::vector<JobId> placedIn(const ShardId &shard) const;
    std::size_t placedCount() const { return m_placedCount; }
    std::size_t endedBytes() const { return m_endedBytes; }

private:
    std::map<Offset, JobId> m_pending; ///< By offset of the submission.
    std::map<Offset, JobId> m_ended;   ///< By offset of the record that ended the job.
    std::map<WorkerId, std::set<JobId>> m_byWorker;
    std::map<ShardId, std::set<JobId>> m_byShard;
    std::size_t m_placedCount = 0;
    std::size_t m_endedBytes = 0; ///< Total size of the payloads and results of ended jobs.
};

} // namespace firefly::internal
