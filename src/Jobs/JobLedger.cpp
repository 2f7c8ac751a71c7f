#include "Jobs/JobLedger.h"

#include "Core/Assert.h"
#include "Jobs/JobJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace firefly {

FoldResult JobLedger::apply(Offset offset, const JobSubmitted &record)
{
    if (const Job *existing = find(record.job)) {
        return existing->spec == record.spec ? FoldResult::Duplicate : FoldResult::Conflict;
    }
    const std::size_t live = m_jobs.size() - m_index.ended().size();
    if (record.job.isEmpty() || live >= m_limits.maxLive) {
        return FoldResult::Invalid;
    }
    Job job;
    job.id = record.job;
    job.spec = record.spec;
    job.submittedAt = offset;
    m_index.add(job);
    m_jobs.emplace(record.job, std::move(job));
    removeExpiredJobs(offset);
    return FoldResult::Accepted;
}

FoldResult JobLedger::place(Offset /*offset*/, const JobPlaced &record, Term currentTerm)
{
    const auto it = m_jobs.find(record.job);
    if (it == m_jobs.end()) {
        return FoldResult::Invalid;
    }
    Job &job = it->second;
    if (job.state != BatchJobState::Pending || record.attempt != job.attempt + 1) {
        return FoldResult::Stale;
    }
    if (currentTerm == 0 || record.term != currentTerm) {
        return FoldResult::Stale;
    }
    update(job, [&](Job &changed) {
        changed.state = BatchJobState::Placed;
        changed.attempt = record.attempt;
        changed.placement = JobPlacement{record.worker, record.shard, record.term};
    });
    return FoldResult::Accepted;
}

FoldResult JobLedger::apply(Offset /*offset*/, const JobCheckpointed &record)
{
    const auto it = m_jobs.find(record.job);
    if (it == m_jobs.end()) {
        return FoldResult::Invalid;
    }
    Job &job = it->second;
    if (!job.mayBeRunning() || record.attempt != job.attempt) {
        return FoldResult::Stale;
    }
    if (record.progressMs <= job.progressMs) {
        return FoldResult::Duplicate;
    }
    job.progressMs = record.progressMs;
    return FoldResult::Accepted;
}

FoldResult JobLedger::evict(Offset offset, const JobEvicted &record, Term currentTerm)
{
    const auto it = m_jobs.find(record.job);
    if (it == m_jobs.end()) {
        return FoldResult::Invalid;
    }
    Job &job = it->second;
    if (!job.mayBeRunning() || record.attempt != job.attempt) {
        return FoldResult::Stale;
    }
    if (currentTerm == 0 || record.term != currentTerm) {
        return FoldResult::Stale;
    }
    const bool wasCancelled = job.state == BatchJobState::Cancelling;
    update(job, [&](Job &changed) {
        changed.state = BatchJobState::Pending;
        changed.placement.reset();
        changed.progressMs = std::max(changed.progressMs, record.progressMs);
        ++changed.evictions;
        changed.failures += record.reason == EvictionReason::TaskFailed ? 1 : 0;
    });
    if (wasCancelled) {
        endJob(job, offset, BatchJobState::Cancelled);
        removeExpiredJobs(offset);
    }
    return FoldResult::Accepted;
}

FoldResult JobLedger::apply(Offset offset, const JobFinished &record)
{
    const auto it = m_jobs.find(record.job);
    if (it == m_jobs.end()) {
        return FoldResult::Invalid;
    }
    Job &job = it->second;
    if (job.state == BatchJobState::Finished && record.attempt == job.attempt) {
        return FoldResult::Duplicate;
    }
    if (!job.mayBeRunning() || record.attempt != job.attempt) {
        return FoldResult::Stale;
    }
    job.succeeded = record.succeeded;
    job.result = record.result;
    endJob(job, offset, BatchJobState::Finished);
    removeExpiredJobs(offset);
    return FoldResult::Accepted;
}

FoldResult JobLedger::apply(Offset offset, const JobCancelled &record)
{
    const auto it = m_jobs.find(record.job);
    if (it == m_jobs.end()) {
        return FoldResult::Invalid;
    }
    Job &job = it->second;
    switch (job.state) {
    case BatchJobState::Pending:
        endJob(job, offset, BatchJobState::Cancelled);
        removeExpiredJobs(offset);
        return FoldResult::Accepted;
    case BatchJobState::Placed:
        update(job, [](Job &changed) { changed.state = BatchJobState::Cancelling; });
        return FoldResult::Accepted;
    case BatchJobState::Finished:
        return FoldResult::Stale;
    case BatchJobState::Cancelling:
    case BatchJobState::Cancelled:
        break;
    }
    return FoldResult::Duplicate;
}

const Job *JobLedger::find(const JobId &id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second;
}

/// Changes a job and updates the index.
template <typename Change>
void JobLedger::update(Job &job, Change change)
{
    m_index.remove(job);
    change(job);
    m_index.add(job);
    checkInvariants(job);
}

void JobLedger::endJob(Job &job, Offset offset, BatchJobState state)
{
    FIREFLY_ASSERT(!job.isEnded(), "a job that has ended cannot end again");
    update(job, [&](Job &changed) {
        changed.state = state;
        changed.placement.reset();
        changed.endedAt = offset;
    });
}

void JobLedger::removeExpiredJobs(Offset offset)
{
    while (isOverEndedLimits(offset)) {
        const auto it = m_jobs.find(m_index.ended().begin()->second);
        m_index.remove(it->second);
        m_jobs.erase(it);
    }
}

bool JobLedger::isOverEndedLimits(Offset offset) const
{
    const auto &ended = m_index.ended();
    if (ended.empty()) {
        return false;
    }
    return ended.size() > m_limits.maxEnded || m_index.endedBytes() > m_limits.maxEndedBytes
           || ended.begin()->first + m_limits.endedRetention < offset;
}

void JobLedger::checkInvariants(const Job &job) const
{
    FIREFLY_ASSERT(job.placement.has_value() == job.mayBeRunning(),
                   "a job must have a placement exactly while it may be running");
    FIREFLY_ASSERT(!job.mayBeRunning() || job.attempt > 0, "a placed job must have an attempt");
    FIREFLY_ASSERT(job.evictions <= job.attempt, "an attempt must be evicted at most once");
    const std::size_t indexed =
        m_index.pending().size() + m_index.placedCount() + m_index.ended().size();
    FIREFLY_ASSERT(indexed == m_jobs.size(), "every job must be in exactly one list of the index");
}

std::string JobLedger::explain(const JobId &id) const
{
    const Job *job = find(id);
    if (job == nullptr) {
        return "job " + id.value() + ": unknown, or removed after it ended";
    }
    std::string text = "job " + id.value() + ": " + std::string(toString(job->state));
    if (job->placement) {
        text += ", attempt " + std::to_string(job->attempt) + " on worker "
                + job->placement->worker.value() + " (shard " + job->placement->shard.value()
                + ", term " + std::to_string(job->placement->term) + ")";
    }
    if (job->state == BatchJobState::Pending) {
        text += ", resumes at " + std::to_string(job->progressMs) + " ms of "
                + std::to_string(job->spec.runtimeMs) + " ms declared";
    }
    if (job->state == BatchJobState::Finished) {
        text += job->succeeded ? " successfully" : " with a failure";
    }
    text += ", " + std::to_string(job->evictions) + " evictions, submitted at offset "
            + std::to_string(job->submittedAt);
    return text;
}

nlohmann::json JobLedger::dump() const
{
    std::size_t cancelling = 0;
    for (const auto &[id, job] : m_jobs) {
        cancelling += job.state == BatchJobState::Cancelling ? 1 : 0;
    }
    return {{"jobs", m_jobs.size()},
            {"pending", m_index.pending().size()},
            {"placed", m_index.placedCount() - cancelling},
            {"cancelling", cancelling},
            {"ended", m_index.ended().size()},
            {"endedBytes", m_index.endedBytes()}};
}

nlohmann::json JobLedger::save() const
{
    nlohmann::json jobs = nlohmann::json::array();
    for (const auto &[id, job] : m_jobs) {
        jobs.emplace_back(job);
    }
    return {{"jobs", std::move(jobs)}};
}

void JobLedger::load(const nlohmann::json &json)
{
    m_jobs.clear();
    m_index = {};
    for (const auto &it : json.at("jobs")) {
        auto job = it.get<Job>();
        m_index.add(job);
        m_jobs.emplace(job.id, std::move(job));
    }
}

} // namespace firefly
