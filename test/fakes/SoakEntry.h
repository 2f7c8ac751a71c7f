#pragma once

#include "Calls.h"
#include "fakes/FakeLog.h"
#include "fakes/FakeNetwork.h"
#include "fakes/FakeShardTerms.h"
#include "fakes/FakeWorker.h"
#include "fakes/SoakAudit.h"
#include "Jobs.h"
#include "Recovery.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace firefly::fakes {

/// Simulated behaviour of the log service.
enum class LogMode { Up, Down, LosesReplies, Slow };

/// Log, network, workers and checks that the entries of one soak run share.
struct SoakEnvironment
{
    FakeLog log;
    LogMode logMode = LogMode::Up;
    FakeNetwork network;
    SoakAudit audit;
    std::vector<FakeWorker> workers;
    std::mt19937 random; ///< Reseeded at each step.
};

/// A job ledger whose limits are small enough for a short schedule to reach them.
inline JobLedger smallJobLedger()
{
    return JobLedger({.maxLive = 30, .maxEnded = 3, .endedRetention = 200});
}

using SoakState = CompositeFold<FakeShardTerms, JobLedger, IntentLedger>;

inline SoakState initialState()
{
    return SoakState(FakeShardTerms(), smallJobLedger(), IntentLedger());
}

/// Minimal entry that exercises the ledgers, the call trackers, and reading and appending to the
/// log.
class SoakEntry : public std::enable_shared_from_this<SoakEntry>
{
public:
    SoakEntry(EntryId id, std::uint64_t incarnation, SoakEnvironment &environment)
        : m_id(std::move(id))
        , m_writer(m_id.value() + "." + std::to_string(incarnation))
        , m_environment(environment)
        , m_appends(m_writer)
        , m_planner({.everyRecords = 60, .retention = std::chrono::seconds(60), .partBytes = 512},
                    Clock::now())
    {}

    const SoakState &state() const { return m_state; }
    /// True when every queued record was read back and every call has ended.
    bool isIdle() const
    {
        return m_appends.lastReadBackSequence() == m_appends.lastSequence() && m_calls.empty();
    }
    bool isCurrent() const { return m_catchUp.isCurrent(); }

    void flush()
    {
        auto append = m_appends.poll(Clock::now());
        if (!append) {
            return;
        }
        switch (m_environment.logMode) {
        case LogMode::Up:
            m_environment.log.append(append->envelopes);
            m_appends.onReply(Clock::now(), AppendResult::Done);
            return;
        case LogMode::Down:
            m_appends.onReply(Clock::now(),
                              chance(2) ? AppendResult::NotSent : AppendResult::Uncertain);
            return;
        case LogMode::LosesReplies:
            m_environment.log.append(append->envelopes);
            break;
        case LogMode::Slow:
            m_environment.network.send({[&log = m_environment.log, envelopes = append->envelopes] {
                log.append(envelopes);
            }});
            break;
        }
        m_appends.onReply(Clock::now(), AppendResult::Uncertain);
    }

    void read(std::size_t limit)
    {
        if (m_environment.logMode == LogMode::Down) {
            return;
        }
        const auto restores = m_catchUp.restores();
        const LogRead reading = m_environment.log.read(m_catchUp.next(), limit);
        m_head = reading.head;
        m_catchUp.apply(reading, m_state, [this](const LoggedEnvelope &it, FoldResult verdict) {
            onFolded(it, verdict);
        });
        if (m_catchUp.restores() != restores) {
            onRestored();
        }
        m_environment.audit.onState(m_state.applied(), m_state.snapshot());
    }

    void submit(const JobId &job)
    {
        BatchJobSpec spec;
        spec.runtimeMs = 100;
        m_appends.push(JobSubmitted{job, spec}, AppendPriority::NewWork);
    }
    void cancel(const JobId &job) { m_appends.push(JobCancelled{job}, AppendPriority::Fact); }

    void claim(const ShardId &shard)
    {
        const Term term = m_state.currentTerm(shard);
        m_appends.push(ShardClaimed{m_id, shard, term}, AppendPriority::Fact);
    }

    /// Places the \a index-th pending job on \a worker.
    void place(std::size_t index, const FakeWorker &worker)
    {
        const auto &pending = jobs().pending();
        if (!owns(worker.shard()) || !m_boots.contains(worker.id()) || pending.empty()) {
            return;
        }
        const auto it =
            std::next(pending.begin(), static_cast<std::ptrdiff_t>(index % pending.size()));
        const Job &job = *jobs().find(it->second);
        m_appends.push(JobPlaced{job.id, job.attempt + 1, worker.id(), worker.shard(),
                                 m_state.currentTerm(worker.shard())},
                       AppendPriority::Fact);
    }
    void placeAll(const FakeWorker &worker)
    {
        for (std::size_t i = 0; i < jobs().pending().size(); ++i) {
            place(i, worker);
        }
    }

    void evictRandom(const ShardId &shard)
    {
        const auto placed = jobs().placedIn(shard);
        if (owns(shard) && !placed.empty()) {
            sendStop(placed[m_environment.random() % placed.size()]);
        }
    }

    void sync(FakeWorker &worker)
    {
        if (!owns(worker.shard())) {
            return;
        }
        const Term term = m_state.currentTerm(worker.shard());
        m_environment.network.send({[this, self = weak_from_this(), &worker, term] {
            const WorkerSyncReply reply = worker.sync(term);
            sendReply(self, [this, &worker, reply] { onSync(worker, reply); });
        }});
    }

    void call(CallRequest request)
    {
        const RequestId id = request.request;
        CallTracker tracker(std::move(request), m_id, m_writer);
        CallTracker &added = m_calls.emplace(id, std::move(tracker)).first->second;
        perform(id, added.start(Clock::now(), *this));
    }
    void hedgeAll()
    {
        for (const RequestId &it : callIds()) {
            perform(it, m_calls.at(it).hedge(Clock::now(), *this));
        }
    }
    void onTime()
    {
        for (const RequestId &it : callIds()) {
            perform(it, m_calls.at(it).onDeadline(Clock::now(), *this));
        }
    }

    void writeSnapshotIfDue(bool isForced)
    {
        const Offset applied = m_state.applied();
        const bool isDue = m_planner.isDue(Clock::now(), applied, m_head, m_id.value() == "e1");
        if (!isCurrent() || applied == 0 || !(isDue || isForced)) {
            return;
        }
        for (auto &it : m_planner.split(Clock::now(), m_writer, applied, m_state.snapshot())) {
            m_appends.push(std::move(it), AppendPriority::Fact);
        }
    }

    // Interface of CallContext.
    bool canAppend() const
    {
        return m_environment.logMode != LogMode::Down && m_appends.hasRoom(AppendPriority::NewWork);
    }
    const IntentLedger &intents() const { return m_state.get<IntentLedger>(); }
    std::optional<WorkerId> chooseWorker(const CallRequest & /*request*/,
                                         std::span<const WorkerId> /*tried*/)
    {
        if (chance(16)) {
            return std::nullopt;
        }
        return m_environment.workers[m_environment.random() % m_environment.workers.size()].id();
    }
    bool spendRetry() { return !chance(8); }
    Duration retryAfter() const { return std::chrono::seconds(1); }

private:
    const JobLedger &jobs() const { return m_state.get<JobLedger>(); }
    bool owns(const ShardId &shard) const
    {
        return m_state.get<FakeShardTerms>().isOwner(m_id, shard);
    }
    bool chance(unsigned oneIn) { return m_environment.random() % oneIn == 0; }

    std::vector<RequestId> callIds() const
    {
        std::vector<RequestId> ids;
        for (const auto &[id, tracker] : m_calls) {
            ids.push_back(id);
        }
        return ids;
    }

    /// Sends a reply to this incarnation; it is discarded if the entry has crashed meanwhile.
    template <typename Handler, typename Loss>
    void sendReply(const std::weak_ptr<SoakEntry> &self, Handler handler, Loss loss)
    {
        FakeMessage message;
        message.deliver = [self, handler] {
            if (!self.expired()) {
                handler();
            }
        };
        message.lose = [self, loss] {
            if (!self.expired()) {
                loss();
            }
        };
        message.mayRepeat = true;
        m_environment.network.send(std::move(message));
    }
    template <typename Handler>
    void sendReply(const std::weak_ptr<SoakEntry> &self, Handler handler)
    {
        sendReply(self, handler, [] {});
    }

    void onFolded(const LoggedEnvelope &logged, FoldResult verdict)
    {
        const bool isOwn = m_appends.onRead(logged);
        const Record &record = logged.envelope.record;
        if (const auto *part = std::get_if<SnapshotPart>(&record)) {
            m_planner.onRead(Clock::now(), *part);
        } else if (const auto *placed = std::get_if<JobPlaced>(&record)) {
            if (isOwn && verdict == FoldResult::Accepted) {
                sendStart(*placed);
            }
        } else if (const auto *intended = std::get_if<CallIntended>(&record)) {
            forEachCallOfKey({intended->customer, intended->key}, [&](CallTracker &it) {
                return it.onIntended(Clock::now(), *intended, *this);
            });
        } else if (const auto *concluded = std::get_if<CallConcluded>(&record)) {
            forEachCallOfKey({concluded->customer, concluded->key},
                             [&](CallTracker &it) { return it.onConcluded(Clock::now(), *this); });
        }
    }

    void onRestored()
    {
        m_environment.audit.onRestored();
        m_appends.onRestored(m_state.writers().last(m_writer));
        m_planner.onRestored(Clock::now(), m_state.applied());
        for (const RequestId &it : callIds()) {
            perform(it, m_calls.at(it).onConcluded(Clock::now(), *this));
        }
    }

    template <typename Step>
    void forEachCallOfKey(const CallKey &key, Step step)
    {
        for (const RequestId &it : callIds()) {
            CallTracker &tracker = m_calls.at(it);
            if (!tracker.request().isIdempotent && tracker.key() == key) {
                perform(it, step(tracker));
            }
        }
    }

    void perform(const RequestId &id, const CallActions &actions)
    {
        for (const CallAction &action : actions) {
            if (const auto *intent = std::get_if<AppendIntent>(&action)) {
                m_appends.push(intent->record, AppendPriority::NewWork);
            } else if (const auto *conclusion = std::get_if<AppendConclusion>(&action)) {
                m_appends.push(conclusion->record, AppendPriority::Fact);
            } else if (const auto *dispatch = std::get_if<DispatchCall>(&action)) {
                sendCall(m_calls.at(id).request(), dispatch->number);
            } else {
                m_environment.audit.onOutcomeReported(m_calls.at(id).request(),
                                                      std::get<ReplyToCaller>(action).reply);
            }
        }
        if (m_calls.at(id).isOver()) {
            m_calls.erase(id);
        }
    }

    void sendCall(const CallRequest &request, std::uint64_t number)
    {
        const auto answer = [this, self = weak_from_this(), id = request.request,
                             number](WorkerResult result, const std::string &body) {
            const WorkerCallReply reply{id, result, body};
            const WorkerCallReply uncertain{id, WorkerResult::Uncertain, {}};
            sendReply(
                self, [this, id, number, reply] { onCallReply(id, number, reply); },
                [this, id, number, uncertain] { onCallReply(id, number, uncertain); });
        };
        FakeMessage message;
        message.deliver = [this, answer, request] {
            const auto kind = m_environment.random() % 8;
            if (kind == 0) {
                answer(WorkerResult::Refused, {});
                return;
            }
            const std::string body = m_environment.audit.onCallExecuted(request);
            answer(kind == 1   ? WorkerResult::ServiceError
                   : kind == 2 ? WorkerResult::Uncertain
                               : WorkerResult::Done,
                   body);
        };
        message.lose = [this, answer] {
            answer(chance(2) ? WorkerResult::NotSent : WorkerResult::Uncertain, {});
        };
        message.timeOut = [answer] { answer(WorkerResult::Uncertain, {}); };
        m_environment.network.send(std::move(message));
    }

    void onCallReply(const RequestId &id, std::uint64_t number, const WorkerCallReply &reply)
    {
        if (m_calls.contains(id)) {
            perform(id, m_calls.at(id).onReply(Clock::now(), number, reply, *this));
        }
    }

    FakeWorker &workerOf(const WorkerId &id)
    {
        for (FakeWorker &it : m_environment.workers) {
            if (it.id() == id) {
                return it;
            }
        }
        FIREFLY_ASSERT(false, "a job must be placed on a known worker");
        return m_environment.workers.front();
    }

    void sendStart(const JobPlaced &placed)
    {
        const Job &job = *jobs().find(placed.job);
        FakeWorker &worker = workerOf(placed.worker);
        StartAttempt start;
        start.worker = placed.worker;
        start.term = placed.term;
        start.job = placed.job;
        start.attempt = placed.attempt;
        start.runtimeMs = job.spec.runtimeMs;
        start.progressMs = job.progressMs;
        const std::string boot = m_boots[placed.worker];
        m_environment.network.send({[&worker, start, boot] { worker.start(start, boot); }});
    }

    void sendStop(const JobId &id)
    {
        const Job &job = *jobs().find(id);
        FakeWorker &worker = workerOf(job.placement->worker);
        const StopAttempt stop{worker.id(), m_state.currentTerm(worker.shard()), id, job.attempt};
        m_environment.network.send({[this, self = weak_from_this(), &worker, stop] {
            if (const auto report = worker.stop(stop)) {
                sendReply(self, [this, &worker, report] { onReport(worker, *report); });
            }
        }});
    }

    void onSync(const FakeWorker &worker, const WorkerSyncReply &reply)
    {
        if (!reply.accepted || !owns(worker.shard())) {
            return;
        }
        m_boots[worker.id()] = reply.boot;
        std::map<JobId, std::uint64_t> reportedAttempts;
        for (const TaskReport &it : reply.tasks) {
            reportedAttempts[it.job] = it.attempt;
            onReport(worker, it);
        }
        for (const JobId &it : jobs().placedOn(worker.id())) {
            const Job &job = *jobs().find(it);
            if (reportedAttempts[it] < job.attempt || job.state == BatchJobState::Cancelling) {
                sendStop(it);
            }
        }
    }

    void onReport(const FakeWorker &worker, const TaskReport &report)
    {
        const Job *job = jobs().find(report.job);
        const Term term = m_state.currentTerm(worker.shard());
        if (job == nullptr || !job->mayBeRunning() || job->attempt != report.attempt) {
            return;
        }
        if (report.state == AttemptState::Finished) {
            m_appends.push(JobFinished{report.job, report.attempt, term, true, "done"},
                           AppendPriority::Fact);
        } else if (report.state == AttemptState::Stopped) {
            m_appends.push(JobEvicted{report.job, report.attempt, term, EvictionReason::Pressure,
                                      report.progressMs},
                           AppendPriority::Fact);
        } else {
            m_appends.push(JobCheckpointed{report.job, report.attempt, term, report.progressMs},
                           AppendPriority::Fact);
        }
    }

    EntryId m_id;
    WriterId m_writer;
    SoakEnvironment &m_environment;
    SoakState m_state = initialState();
    CatchUp m_catchUp;
    AppendQueue m_appends;
    SnapshotPlanner m_planner;
    Offset m_head = 1;
    std::map<RequestId, CallTracker> m_calls;
    std::map<WorkerId, std::string> m_boots;
};

} // namespace firefly::fakes
