#pragma once

#include "Entry.h"
#include "StandinWorker.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace firefly::fakes {

/// Checks the outcomes reported to callers and operators against what the workers executed.
class ClusterAudit
{
public:
    using Workers = std::vector<std::unique_ptr<standins::StandinWorker>>;

    std::uint64_t beginCall(const EntryId &entry, std::uint64_t incarnation)
    {
        m_calls[++m_lastCall] = {entry, incarnation, std::nullopt, false};
        return m_lastCall;
    }

    void endCall(std::uint64_t id, const CallReply &reply, const std::string &body)
    {
        Call &call = m_calls.at(id);
        FIREFLY_ASSERT(!call.outcome, "each request must get exactly one outcome");
        call.outcome = reply.outcome;
        if (reply.outcome == Outcome::Answer) {
            FIREFLY_ASSERT(reply.body == body,
                           "each caller must get the complete answer to its own request");
        }
        if (reply.outcome == Outcome::NotRun) {
            m_reportedNotRun.insert(reply.request.value());
        }
    }

    /// Marks the calls of an entry that was killed: their callers get no outcome.
    void abandonCalls(const EntryId &entry, std::uint64_t incarnation)
    {
        for (auto &[id, call] : m_calls) {
            if (call.entry == entry && call.incarnation == incarnation) {
                call.isAbandoned = true;
            }
        }
    }

    std::map<std::string, std::uint64_t> outcomes() const
    {
        std::map<std::string, std::uint64_t> counts;
        for (const auto &[id, call] : m_calls) {
            counts[call.outcome ? std::string(toString(*call.outcome)) : "entry died"] += 1;
        }
        return counts;
    }

    std::size_t openCalls() const
    {
        std::size_t n = 0;
        for (const auto &[id, call] : m_calls) {
            n += !call.outcome && !call.isAbandoned ? 1 : 0;
        }
        return n;
    }

    void forgetVersions(const EntryId &entry) { m_versions.erase(entry); }

    void recordVersion(const EntryId &entry, const OperatorLists &lists)
    {
        Offset &seen = m_versions[entry];
        FIREFLY_ASSERT(lists.limits.version >= seen,
                       "the version of a list in force must never decrease");
        seen = lists.limits.version;
    }

    void recordAcceptedVersion(Offset version)
    {
        m_newestAcceptedVersion = std::max(m_newestAcceptedVersion, version);
    }
    Offset newestAcceptedVersion() const { return m_newestAcceptedVersion; }

    /// Checks what must hold at any time: no worker is overcommitted and no job runs on two
    /// workers at once.
    void checkExecutions(const Workers &workers, TimePoint now)
    {
        std::map<std::string, std::vector<std::pair<std::int64_t, std::int64_t>>> executionsOfJob;
        for (const auto &worker : workers) {
            worker->advanceTo(now);
            const auto &records = worker->records();
            FIREFLY_ASSERT(records.maxUse.fitsIn(worker->capacity()),
                           "a worker must not be given more than its capacity");
            for (const auto &task : records.tasks) {
                const auto end = task.endUs == 0 ? now.time_since_epoch().count() : task.endUs;
                executionsOfJob[task.job].emplace_back(task.beginUs, end);
            }
        }
        for (auto &[job, executions] : executionsOfJob) {
            std::sort(executions.begin(), executions.end());
            for (std::size_t i = 1; i < executions.size(); ++i) {
                FIREFLY_ASSERT(executions[i - 1].second <= executions[i].first,
                               "a job must not execute on two workers at once");
            }
        }
    }

    /// Checks what must hold once no message is in flight: every call has an outcome that agrees
    /// with the executions, and no key ran twice.
    void checkOutcomes(const Workers &workers) const
    {
        FIREFLY_ASSERT(openCalls() == 0, "each request must have an outcome");
        std::map<std::string, int> executionsOfKey;
        for (const auto &worker : workers) {
            for (const auto &call : worker->records().calls) {
                FIREFLY_ASSERT(!m_reportedNotRun.contains(call.request),
                               "a call reported as not run must not have been executed");
                if (!call.key.empty()) {
                    FIREFLY_ASSERT(++executionsOfKey[call.key] == 1,
                                   "an idempotency key must be executed at most once");
                }
            }
        }
    }

private:
    struct Call
    {
        EntryId entry;
        std::uint64_t incarnation = 0;
        std::optional<Outcome> outcome;
        bool isAbandoned = false;
    };

    std::map<std::uint64_t, Call> m_calls;
    std::uint64_t m_lastCall = 0;
    std::set<std::string> m_reportedNotRun;
    std::map<EntryId, Offset> m_versions;
    Offset m_newestAcceptedVersion = 0;
};

} // namespace firefly::fakes
