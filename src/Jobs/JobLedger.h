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

/// Knows the current term of a shard; 0 when the shard has no owner.
template <typename T>
concept TermSource = requires(const T &terms, const ShardId &shard)
{
    {
        terms.currentTerm(shard)
        } -> std::convertible_to<Term>;
};

/// Bounds of a JobLedger.  Every reader of one log must use the same ones.
struct JobLedgerLimits
{
    std::size_t maxLive = 100'000; ///< Jobs not ended; further submissions are Invalid.
    std::size_t maxEnded = 20'000; ///< Ended jobs kept for their status and result.
    std::size_t maxEndedBytes =
        std::size_t{64} * 1024 * 1024; ///< Payloads and results of ended jobs, in bytes.
    Offset endedRetention = 2'000'000; ///< Offsets after which an ended job is forgotten.
};

/// Fold of the batch records: which job is where, and what became of it.
///
/// - A submission is idempotent by job id.
/// - A placement needs a pending job, the next attempt number and the current term of its shard;
///   so a job has at most one attempt that may be executing.
/// - An eviction needs the current attempt and the current term of the attempt's shard.
/// - Checkpoints and finishes report facts of the current attempt; they count under any term.
/// - A job cancelled while placed stays Cancelling until an eviction or a finish shows that the
///   attempt has ended.
/// - Ended jobs are forgotten oldest first, by offsets and counts alone.
///
/// The rules use the state and the record only, so every reader reaches the same state.
class JobLedger
{
public:
    JobLedger() = default;
    explicit JobLedger(JobLedgerLimits limits)
        : m_limits(limits)
    {}

    FoldVerdict apply(Offset offset, const JobSubmitted &record);
    FoldVerdict apply(Offset offset, const JobCheckpointed &record);
    FoldVerdict apply(Offset offset, const JobFinished &record);
    FoldVerdict apply(Offset offset, const JobCancelled &record);

    /// Folds a placement; \a terms tells the current term of its shard at this offset.
    template <TermSource Terms>
    FoldVerdict apply(Offset offset, const JobPlaced &record, const Terms &terms)
    {
        return place(offset, record, terms.currentTerm(record.shard));
    }

    /// Folds an eviction; \a terms tells the current term of the attempt's shard at this offset.
    template <TermSource Terms>
    FoldVerdict apply(Offset offset, const JobEvicted &record, const Terms &terms)
    {
        const Job *job = find(record.job);
        const bool placed = job != nullptr && job->placement.has_value();
        return evict(offset, record, placed ? terms.currentTerm(job->placement->shard) : 0);
    }

    /// The job named \a id; nullptr when it is unknown or forgotten.
    const Job *find(const JobId &id) const;
    /// Pending jobs by offset of submission; an evicted job keeps its place.
    const std::map<Offset, JobId> &pending() const { return m_index.pending(); }
    /// Jobs whose current attempt was placed on \a worker, by id.
    std::vector<JobId> placedOn(const WorkerId &worker) const { return m_index.placedOn(worker); }
    /// Jobs whose current attempt was placed in \a shard, by id.
    std::vector<JobId> placedIn(const ShardId &shard) const { return m_index.placedIn(shard); }
    std::size_t size() const { return m_jobs.size(); }

    /// One line that tells a person where job \a id stands.
    std::string explain(const JobId &id) const;
    /// Counts by state, for the state dump.
    nlohmann::json dump() const;
    /// The whole state, for a snapshot.
    nlohmann::json save() const;
    /// Replaces the state by one that save() gave.
    void load(const nlohmann::json &json);

private:
    FoldVerdict place(Offset offset, const JobPlaced &record, Term currentTerm);
    FoldVerdict evict(Offset offset, const JobEvicted &record, Term currentTerm);
    template <typename Change>
    void update(Job &job, Change change);
    void end(Job &job, Offset offset, JobState state);
    void forgetOldest(Offset offset);
    void check(const Job &job) const;
    bool isOverEndedLimits(Offset offset) const;

    JobLedgerLimits m_limits;
    std::map<JobId, Job> m_jobs;
    internal::JobIndex m_index;
};

} // namespace firefly
