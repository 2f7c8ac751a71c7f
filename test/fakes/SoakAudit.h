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

/// Records what the workers executed and which outcomes callers got; asserts that they agree.
class SoakAudit
{
public:
    /// Records that a worker started an attempt.
    void onTaskStarted(const JobId &job, std::uint64_t attempt)
    {
        FIREFLY_ASSERT(m_running.insert(job).second,
                       "a job must not execute on two workers at once");
        FIREFLY_ASSERT(m_started.emplace(job, attempt).second, "an attempt must start only once");
        FIREFLY_ASSERT(!m_finished.contains(job), "a finished job must not start again");
        FIREFLY_ASSERT(!m_shownCancelled.contains(job), "a cancelled job must not start again");
        ++m_counts["attempts started"];
    }
    /// Records that an attempt ended or that its worker was lost.
    void onTaskEnded(const JobId &job) { m_running.erase(job); }

    /// Records that a worker executed a call.  \returns the answer.
    std::string onCallExecuted(const CallRequest &request)
    {
        FIREFLY_ASSERT(!m_reportedNotRun.contains(request.request),
                       "a call reported as not run must not be executed later");
        m_executed.insert(request.request);
        ++m_counts["calls executed"];
        std::string answer = "answer to " + request.request.value();
        if (!request.isIdempotent) {
            const bool isFirst = m_answerOfKey.emplace(request.key, answer).second;
            FIREFLY_ASSERT(isFirst, "an idempotency key must be executed only once");
        }
        return answer;
    }
    /// Records the outcome reported to the caller of \a request.
    void onOutcomeReported(const CallRequest &request, const CallReply &reply)
    {
        FIREFLY_ASSERT(m_reported.insert(request.request).second,
                       "a request must get only one outcome");
        ++m_counts["told " + std::string(toString(reply.outcome))];
        if (reply.outcome == Outcome::NotRun) {
            FIREFLY_ASSERT(!m_executed.contains(request.request),
                           "a call reported as not run must not have been executed");
            m_reportedNotRun.insert(request.request);
        }
        if (reply.outcome == Outcome::Answer) {
            FIREFLY_ASSERT(reply.body == answerTo(request), "an answer must belong to its request");
        }
    }

    /// Records that the reference reader folded a record with \a verdict.
    void onFolded(const LoggedEnvelope &logged, FoldResult verdict)
    {
        ++m_counts[std::string(typeName(logged.envelope.record)) + verdictSuffix(verdict)];
        if (verdict != FoldResult::Accepted) {
            return;
        }
        if (const auto *finished = std::get_if<JobFinished>(&logged.envelope.record)) {
            FIREFLY_ASSERT(m_finished.insert(finished->job).second, "a job must finish only once");
        }
        if (const auto *cancelled = std::get_if<JobCancelled>(&logged.envelope.record)) {
            m_cancelled.insert(cancelled->job);
        }
        if (const auto *placed = std::get_if<JobPlaced>(&logged.envelope.record)) {
            FIREFLY_ASSERT(!m_cancelled.contains(placed->job),
                           "a cancelled job must not be placed");
        }
        if (const auto *submitted = std::get_if<JobSubmitted>(&logged.envelope.record)) {
            FIREFLY_ASSERT(m_submitted.insert(submitted->job).second,
                           "a job must be accepted only once");
        }
    }
    /// Records that a reader folded every record up to \a applied into the state \a text.
    void onState(Offset applied, const std::string &text)
    {
        const auto [it, isNew] = m_states.try_emplace(applied, text);
        FIREFLY_ASSERT(isNew || it->second == text,
                       "readers at the same offset must have the same state");
    }
    /// Records that the ledger shows \a job as cancelled.
    void onCancelled(const JobId &job)
    {
        FIREFLY_ASSERT(!m_running.contains(job), "a job shown as cancelled must not be running");
        m_shownCancelled.insert(job);
    }
    /// Records that a reader replaced its state by a snapshot.
    void onRestored() { ++m_counts["restores"]; }

    /// Number of events by name.
    const std::map<std::string, std::uint64_t> &counts() const { return m_counts; }

private:
    static const char *verdictSuffix(FoldResult verdict)
    {
        return verdict == FoldResult::Accepted ? " accepted" : " refused";
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
    std::set<JobId> m_shownCancelled; ///< Shown as cancelled by the ledger.
    std::set<JobId> m_finished;
    std::set<RequestId> m_executed;
    std::set<RequestId> m_reported;
    std::set<RequestId> m_reportedNotRun;
    std::map<std::string, std::string> m_answerOfKey;
    std::map<Offset, std::string> m_states;
};

} // namespace firefly::fakes
