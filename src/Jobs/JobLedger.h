#pragma once

#include "Core/Id.h"
#include "Jobs/Job.h"
#include "Jobs/JobIndex.h"
#include "Records/Fold.h"
#include "Records/Record.h"

#include <nlohmann/json_fwd.hpp>

#include <concepts>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace firefly {

/// Type that provides the current term of a shard, which is 0 when the shard has no owner.
template <typename T>
concept TermSource = requires(const T &terms, const ShardId &shard)
{
    {
        terms.currentTerm(shard)
        } -> std::convertible_to<Term>;
};

/// Bounds of a JobLedger.  All readers of a log must use the same ones.
struct JobLedgerLimits
{
    std::size_t maxLive = 100'000; ///< Jobs that have not ended; further submissions are Invalid.
    std::size_t maxEnded =
        20'000; ///< Ended jobs kept so that their status and result can be queried.
    std::size_t maxEndedBytes =
        std::size_t{64} * 1024 * 1024; ///< Payloads and results of ended jobs, in bytes.
    Offset endedRetention = 2'000'000; ///< Offsets after which an ended job is removed.
};

/// State of all batch jobs, computed from the log's records about them.
///
/// - A submission is idempotent by job id.
/// - A placement requires a pending job, the next attempt number and the current term of its
///   shard, so that at most one attempt of a job may be running.
/// - An eviction requires the current attempt and the current term of the attempt's shard.
/// - Checkpoints and finishes report what the current attempt has done; any term is accepted.
/// - A job cancelled while placed stays Cancelling until an eviction or a finish shows that the
///   attempt has ended.
/// - Ended jobs are removed oldest first, depending on offsets, counts and sizes only.
///
/// The rules depend only on the state and the record, so every reader reaches the same state.
class JobLedger
{
public:
    JobLedger() = default;
    explicit JobLedger(JobLedgerLimits limits)
        : m_limits(limits)
    {}

    FoldResult apply(Offset offset, const JobSubmitted &record);
    FoldResult apply(Offset offset, const JobCheckpointed &record);
    FoldResult apply(Offset offset, const JobFinished &record);
    FoldResult apply(Offset offset, const JobCancelled &record);

    /// Applies a placement; \a terms gives the current term of its shard at this offset.
    template <TermSource Terms>
    FoldResult apply(Offset offset, const JobPlaced &record, const Terms &terms)
    {
        return place(offset, record, terms.currentTerm(record.shard));
    }

    /// Applies an eviction; \a terms gives the current term of the attempt's shard at this offset.
    template <TermSource Terms>
    FoldResult apply(Offset offset, const JobEvicted &record, const Terms &terms)
    {
        const Job *job = find(record.job);
        const bool isPlaced = job != nullptr && job->placement.has_value();
        return evict(offset, record, isPlaced ? terms.currentTerm(job->placement->shard) : 0);
    }

    /// The job \a id; nullptr when it is unknown or was removed after it ended.
    const Job *find(const JobId &id) const;
    /// Pending jobs by offset of submission; an evicted job keeps its position.
    const std::map<Offset, JobId> &pending() const { return m_index.pending(); }
    /// Jobs whose current attempt was placed on \a worker, by id.
    std::vector<JobId> placedOn(const WorkerId &worker) const { return m_index.placedOn(worker); }
    /// Jobs whose current attempt was placed in \a shard, by id.
    std::vector<JobId> placedIn(const ShardId &shard) const { return m_index.placedIn(shard); }
    std::size_t size() const { return m_jobs.size(); }

    /// One human-readable line on the state of job \a id.
    std::string explain(const JobId &id) const;
    /// Number of jobs by state, for the state dump.
    nlohmann::json dump() const;
    /// The complete state, for a snapshot.
    nlohmann::json save() const;
    /// Replaces the state by one that save() returned.
    void load(const nlohmann::json &json);

private:
    FoldResult place(Offset offset, const JobPlaced &record, Term currentTerm);
    FoldResult evict(Offset offset, const JobEvicted &record, Term currentTerm);
    template <typename Change>
    void update(Job &job, Change change);
    void endJob(Job &job, Offset offset, BatchJobState state);
    void removeExpiredJobs(Offset offset);
    void checkInvariants(const Job &job) const;
    bool isOverEndedLimits(Offset offset) const;

    JobLedgerLimits m_limits;
    std::map<JobId, Job> m_jobs;
    internal::JobIndex m_index;
};

} // namespace firefly
