#include "Jobs/JobLedger.h"

#include "Core/Assert.h"
#include "Jobs/JobJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace firefly {

FoldVerdict JobLedger::apply(Offset offset, const JobSubmitted &record)
{
    if (const Job *known = find(record.job)) {
        return known->spec == record.spec ? FoldVerdict::Duplicate : FoldVerdict::Conflict;
    }
    const std::size_t live = m_jobs.size() - m_index.ended().size();
    if (record.job.isEmpty() || live >= m_limits.maxLive) {
        return FoldVerdict::Invalid;
    }
    Job job;
    job.id = record.job;
    job.spec = record.spec;
    job.submittedAt = offset;
    m_index.add(job);
    m_jobs.emplace(record.job, std::move(job));
    forgetOldest(offset);
    return FoldVerdict::Accepted;
}

FoldVerdict JobLedger::place(Offset /*offset*/, const JobPlaced &record, Term currentTerm)
{
    const auto it = m_jobs.find(record.job);
    if (it == m_jobs.end()) {
        return FoldVerdict::Invalid;
    }
    Job &job = it->second;
    if (job.state != JobState::Pending || record.attempt != job.attempt + 1) {
        return FoldVerdict::Stale;
    }
    if (currentTerm == 0 || record.term != currentTerm) {
        return FoldVerdict::Stale;
    }
    update(job, [&](Job &changed) {
        changed.state = JobState::Placed;
        changed.attempt = record.attempt;
        changed.placement = JobPlacement{record.worker, record.shard, record.term};
    });
    return FoldVerdict::Accepted;
}

FoldVerdict JobLedger::apply(Offset /*offset*/, const JobCheckpointed &record)
{
    const auto it = m_jobs.find(record.job);
    if (it == m_jobs.end()) {
        return FoldVerdict::Invalid;
    }
    Job &job = it->second;
    if (!job.mayBeRunning() || record.attempt != job.attempt) {
        return FoldVerdict::Stale;
    }
    if (record.progressMs <= job.progressMs) {
        return FoldVerdict::Duplicate;
    }
    job.progressMs = record.progressMs;
    return FoldVerdict::Accepted;
}

FoldVerdict JobLedger::evict(Offset offset, const JobEvicted &record, Term currentTerm)
{
    const auto it = m_jobs.find(record.job);
    if (it == m_jobs.end()) {
        return FoldVerdict::Invalid;
    }
    Job &job = it->second;
    if (!job.mayBeRunning() || record.attempt != job.attempt) {
        return FoldVerdict::Stale;
    }
    if (currentTerm == 0 || record.term != currentTerm) {
        return FoldVerdict::Stale;
    }
    const bool wasCancelled = job.state == JobState::Cancelling;
    update(job, [&](Job &changed) {
        changed.state = JobState::Pending;
        changed.placement.reset();
        changed.progressMs = std::max(changed.progressMs, record.progressMs);
        ++changed.evictions;
        changed.failures += record.reason == EvictionReason::TaskFailed ? 1 : 0;
    });
    if (wasCancelled) {
        end(job, offset, JobState::Cancelled);
        forgetOldest(offset);
    }
    return FoldVerdict::Accepted;
}

FoldVerdict JobLedger::apply(Offset offset, const JobFinished &record)
{
    const auto it = m_jobs.find(record.job);
    if (it == m_jobs.end()) {
        return FoldVerdict::Invalid;
    }
    Job &job = it->second;
    if (job.state == JobState::Finished && record.attempt == job.attempt) {
        return FoldVerdict::Duplicate;
    }
    if (!job.mayBeRunning() || record.attempt != job.attempt) {
        return FoldVerdict::Stale;
    }
    job.succeeded = record.succeeded;
    job.result = record.result;
    end(job, offset, JobState::Finished);
    forgetOldest(offset);
    return FoldVerdict::Accepted;
}

FoldVerdict JobLedger::apply(Offset offset, const JobCancelled &record)
{
    const auto it = m_jobs.find(record.job);
    if (it == m_jobs.end()) {
        return FoldVerdict::Invalid;
    }
    Job &job = it->second;
    switch (job.state) {
    case JobState::Pending:
        end(job, offset, JobState::Cancelled);
        forgetOldest(offset);
        return FoldVerdict::Accepted;
    case JobState::Placed:
        update(job, [](Job &changed) { changed.state = JobState::Cancelling; });
        return FoldVerdict::Accepted;
    case JobState::Finished:
        return FoldVerdict::Stale;
    case JobState::Cancelling:
    case JobState::Cancelled:
        break;
    }
    return FoldVerdict::Duplicate;
}

const Job *JobLedger::find(const JobId &id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second;
}

/// Changes a job and keeps the index in step.
template <typename Change>
void JobLedger::update(Job &job, Change change)
{
    m_index.remove(job);
    change(job);
    m_index.add(job);
    check(job);
}

void JobLedger::end(Job &job, Offset offset, JobState state)
{
    FIREFLY_ASSERT(!job.isEnded(), "a job ends once");
    update(job, [&](Job &changed) {
        changed.state = state;
        changed.placement.reset();
        changed.endedAt = offset;
    });
}

void JobLedger::forgetOldest(Offset offset)
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

void JobLedger::check(const Job &job) const
{
    FIREFLY_ASSERT(job.placement.has_value() == job.mayBeRunning(),
                   "a job has a placement exactly while it may be running");
    FIREFLY_ASSERT(!job.mayBeRunning() || job.attempt > 0, "a placed job has an attempt");
    FIREFLY_ASSERT(job.evictions <= job.attempt, "an attempt is evicted at most once");
    const std::size_t indexed =
        m_index.pending().size() + m_index.placedCount() + m_index.ended().size();
    FIREFLY_ASSERT(indexed == m_jobs.size(), "every job is in one order of the index");
}

std::string JobLedger::explain(const JobId &id) const
{
    const Job *job = find(id);
    if (job == nullptr) {
        return "job " + id.value() + ": unknown, or ended and forgotten";
    }
    std::string text = "job " + id.value() + ": " + std::string(toString(job->state));
    if (job->placement) {
        text += ", attempt " + std::to_string(job->attempt) + " on worker "
                + job->placement->worker.value() + " (shard " + job->placement->shard.value()
                + ", term " + std::to_string(job->placement->term) + ")";
    }
    if (job->state == JobState::Pending) {
        text += ", resumes at " + std::to_string(job->progressMs) + " ms of "
                + std::to_string(job->spec.runtimeMs) + " ms declared";
    }
    if (job->state == JobState::Finished) {
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
        cancelling += job.state == JobState::Cancelling ? 1 : 0;
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
