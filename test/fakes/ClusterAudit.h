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

/// Compares what callers and operators were told with what the workers really executed.
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
        FIREFLY_ASSERT(!call.outcome, "each request gets exactly one outcome");
        call.outcome = reply.outcome;
        if (reply.outcome == Outcome::Answer) {
            FIREFLY_ASSERT(reply.body == body, "each caller gets the whole answer to its request");
        }
        if (reply.outcome == Outcome::NotRun) {
            m_notRun.insert(reply.request.value());
        }
    }

    /// The entry died; its callers hear nothing any more.
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

    void noteVersion(const EntryId &entry, const ListsVersion &lists)
    {
        Offset &seen = m_versions[entry];
        FIREFLY_ASSERT(lists.limits.version >= seen, "a list in force never goes back");
        seen = lists.limits.version;
    }

    void noteAccepted(Offset version) { m_accepted = std::max(m_accepted, version); }
    Offset newestAccepted() const { return m_accepted; }

    /// What must hold at every moment.
    void checkRunning(const Workers &workers, TimePoint now)
    {
        std::map<std::string, std::vector<std::pair<std::int64_t, std::int64_t>>> spans;
        for (const auto &worker : workers) {
            worker->settle(now);
            const auto &records = worker->records();
            FIREFLY_ASSERT(records.maxUse.fitsIn(worker->capacity()),
                           "no worker is given more than it holds");
            for (const auto &task : records.tasks) {
                const auto end = task.endUs == 0 ? now.time_since_epoch().count() : task.endUs;
                spans[task.job].emplace_back(task.beginUs, end);
            }
        }
        for (auto &[job, runs] : spans) {
            std::sort(runs.begin(), runs.end());
            for (std::size_t i = 1; i < runs.size(); ++i) {
                FIREFLY_ASSERT(runs[i - 1].second <= runs[i].first,
                               "a job never executes in two places");
            }
        }
    }

    /// What must hold once every message has arrived or is lost.
    void checkCalls(const Workers &workers) const
    {
        FIREFLY_ASSERT(openCalls() == 0, "each request gets an outcome");
        std::map<std::string, int> runsOfKey;
        for (const auto &worker : workers) {
            for (const auto &call : worker->records().calls) {
                FIREFLY_ASSERT(!m_notRun.contains(call.request), "what was not run did not run");
                if (!call.key.empty()) {
                    FIREFLY_ASSERT(++runsOfKey[call.key] == 1, "a key runs at most once");
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
    std::set<std::string> m_notRun;
    std::map<EntryId, Offset> m_versions;
    Offset m_accepted = 0;
};

} // namespace firefly::fakes
