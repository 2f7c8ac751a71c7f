#pragma once

#include "Calls.h"
#include "Core.h"
#include "Records.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace firefly::fakes {

/// What really happened on the workers and what callers were told; asserts that they agree.
class SoakAudit
{
public:
    /// A worker begins an attempt.
    void onTaskStarted(const JobId &job, std::uint64_t attempt)
    {
        FIREFLY_ASSERT(m_running.insert(job).second, "a job executes in one place at a time");
        FIREFLY_ASSERT(m_started.emplace(job, attempt).second, "an attempt starts once");
        FIREFLY_ASSERT(!m_finished.contains(job), "a finished job does not start again");
        FIREFLY_ASSERT(!m_ended.contains(job), "a cancelled job does not start again");
        ++m_counts["attempts started"];
    }
    /// A worker ends an attempt, or is lost with it.
    void onTaskEnded(const JobId &job) { m_running.erase(job); }

    /// A worker executes a call; returns the answer.
    std::string onCallExecuted(const CallRequest &request)
    {
        FIREFLY_ASSERT(!m_toldNotRun.contains(request.request), "what was not run never runs");
        m_executed.insert(request.request);
        ++m_counts["calls executed"];
        std::string answer = "answer to " + request.request.value();
        if (!request.isIdempotent) {
            const bool isFirst = m_answerOfKey.emplace(request.key, answer).second;
            FIREFLY_ASSERT(isFirst, "a key is executed once");
        }
        return answer;
    }
    /// A caller is told the outcome of \a request.
    void onTold(const CallRequest &request, const CallReply &reply)
    {
        FIREFLY_ASSERT(m_told.insert(request.request).second, "a request has one outcome");
        ++m_counts["told " + std::string(toString(reply.outcome))];
        if (reply.outcome == Outcome::NotRun) {
            FIREFLY_ASSERT(!m_executed.contains(request.request), "not-run truly did not run");
            m_toldNotRun.insert(request.request);
        }
        if (reply.outcome == Outcome::Answer) {
            FIREFLY_ASSERT(reply.body == answerTo(request), "an answer belongs to its request");
        }
    }

    /// The reference reader folded a record.
    void onFolded(const LoggedEnvelope &logged, FoldVerdict verdict)
    {
        ++m_counts[std::string(typeName(logged.envelope.record)) + nameOf(verdict)];
        if (verdict != FoldVerdict::Accepted) {
            return;
        }
        if (const auto *finished = std::get_if<JobFinished>(&logged.envelope.record)) {
            FIREFLY_ASSERT(m_finished.insert(finished->job).second, "a job finishes once");
        }
        if (const auto *cancelled = std::get_if<JobCancelled>(&logged.envelope.record)) {
            m_cancelled.insert(cancelled->job);
        }
        if (const auto *placed = std::get_if<JobPlaced>(&logged.envelope.record)) {
            FIREFLY_ASSERT(!m_cancelled.contains(placed->job), "a cancelled job is not placed");
        }
        if (const auto *submitted = std::get_if<JobSubmitted>(&logged.envelope.record)) {
            FIREFLY_ASSERT(m_submitted.insert(submitted->job).second, "a job is submitted once");
        }
    }
    /// A reader folded every record up to \a applied and reached the state \a text.
    void onState(Offset applied, const std::string &text)
    {
        const auto [it, isNew] = m_states.try_emplace(applied, text);
        FIREFLY_ASSERT(isNew || it->second == text, "readers at one offset have one state");
    }
    /// The ledger shows a job as cancelled.
    void onCancelled(const JobId &job)
    {
        FIREFLY_ASSERT(!m_running.contains(job), "a cancelled job does not execute");
        m_ended.insert(job);
    }
    /// A reader replaced its state by a snapshot.
    void onRestored() { ++m_counts["restores"]; }

    /// How often each thing happened.
    const std::map<std::string, std::uint64_t> &counts() const { return m_counts; }

private:
    static const char *nameOf(FoldVerdict verdict)
    {
        return verdict == FoldVerdict::Accepted ? " accepted" : " refused";
    }
    std::string answerTo(const CallRequest &request) const
    {
        if (request.isIdempotent) {
            return "answer to " + request.request.value();
        }
        const auto it = m_answerOfKey.find(request.key);
        return it == m_answerOfKey.end() ? "never executed" : it->second;
    }

    std::map<std::string, std::uint64_t> m_counts;
    std::set<JobId> m_running;
    std::set<std::pair<JobId, std::uint64_t>> m_started;
    std::set<JobId> m_submitted;
    std::set<JobId> m_cancelled;
    std::set<JobId> m_ended; ///< Cancelled and shown as such.
    std::set<JobId> m_finished;
    std::set<RequestId> m_executed;
    std::set<RequestId> m_told;
    std::set<RequestId> m_toldNotRun;
    std::map<std::string, std::string> m_answerOfKey;
    std::map<Offset, std::string> m_states;
};

} // namespace firefly::fakes
