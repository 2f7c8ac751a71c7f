#pragma once

#include "fakes/SoakEntry.h"
#include "fakes/SoakRunner.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace firefly::fakes {

/// Simulation of several entries, the log and the workers, with random faults between them.
class LedgerWorld
{
public:
    static constexpr std::size_t Entries = 3;
    static constexpr std::size_t Workers = 4;
    static constexpr int MaxSettleRounds = 400;

    LedgerWorld()
    {
        Clock::pause(TimePoint(std::chrono::hours(1)));
        for (std::size_t i = 0; i < Workers; ++i) {
            m_shared.workers.emplace_back(WorkerId("w" + std::to_string(i + 1)), shard(i),
                                          m_shared.audit);
        }
        for (std::size_t i = 0; i < Entries; ++i) {
            m_entries.push_back(makeEntry(i));
        }
        for (std::size_t i = 0; i < 2; ++i) {
            m_entries[i]->claim(shard(i));
        }
    }

    static std::vector<double> weights()
    {
        std::vector<double> weights;
        weights.reserve(Actions.size());
        for (const Action &it : Actions) {
            weights.push_back(it.weight);
        }
        return weights;
    }

    void step(const SoakStep &step)
    {
        const Action &action = Actions.at(step.kind);
        m_trace.push_back(std::string(action.name) + " " + std::to_string(step.value));
        m_shared.random.seed(step.value);
        m_stepValue = step.value;
        (this->*action.run)();
        updateReference();
    }

    /// Ends all faults and runs until no job, call or message is pending.
    void settle()
    {
        m_trace.emplace_back("settle");
        m_shared.logMode = LogMode::Up;
        m_shared.random.seed(1);
        for (int i = 0; i < MaxSettleRounds; ++i) {
            settleRound(i);
            if (isSettled()) {
                return;
            }
        }
        FIREFLY_ASSERT(false, "every job and call must end once the faults have ended");
    }

    const std::vector<std::string> &trace() const { return m_trace; }
    const std::map<std::string, std::uint64_t> &counts() const { return m_shared.audit.counts(); }

private:
    struct Action
    {
        const char *name;
        double weight;
        void (LedgerWorld::*run)();
    };

    static ShardId shard(std::size_t i) { return ShardId("zone/r" + std::to_string(i % 2)); }

    std::shared_ptr<SoakEntry> makeEntry(std::size_t i)
    {
        return std::make_shared<SoakEntry>(EntryId("e" + std::to_string(i + 1)), ++m_incarnations,
                                           m_shared);
    }
    std::size_t randomBelow(std::size_t n) { return m_shared.random() % n; }
    SoakEntry &randomEntry() { return *m_entries[randomBelow(Entries)]; }
    FakeWorker &randomWorker() { return m_shared.workers[randomBelow(Workers)]; }
    JobId randomJobId() { return JobId("j" + std::to_string(1 + randomBelow(m_jobs + 1))); }

    void tick()
    {
        Clock::advance(std::chrono::milliseconds(20 + randomBelow(1500)));
        for (const auto &it : m_entries) {
            it->onTime();
        }
    }
    void flush()
    {
        for (const auto &it : m_entries) {
            if (randomBelow(2) == 0) {
                it->flush();
            }
        }
    }
    void read()
    {
        for (const auto &it : m_entries) {
            if (randomBelow(2) == 0) {
                it->read(1 + randomBelow(40));
            }
        }
    }
    /// Usually delivers the newest message, so that an old one may be in flight for long.
    void deliver()
    {
        if (m_shared.network.isEmpty()) {
            return;
        }
        if (randomBelow(3) == 0) {
            m_shared.network.deliver(m_stepValue);
        } else {
            m_shared.network.deliverNewest();
        }
    }
    void lose()
    {
        if (!m_shared.network.isEmpty()) {
            m_shared.network.lose(m_stepValue);
        }
    }
    void timeOut()
    {
        if (!m_shared.network.isEmpty()) {
            m_shared.network.timeOut(m_stepValue);
        }
    }
    void repeat()
    {
        if (!m_shared.network.isEmpty()) {
            m_shared.network.repeat(m_stepValue);
        }
    }
    void submit() { randomEntry().submit(JobId("j" + std::to_string(++m_jobs))); }
    void cancel() { randomEntry().cancel(randomJobId()); }
    void cancelBurst()
    {
        SoakEntry &entry = randomEntry();
        for (std::size_t i = m_jobs > 5 ? m_jobs - 5 : 1; i <= m_jobs; ++i) {
            entry.cancel(JobId("j" + std::to_string(i)));
        }
    }
    void place()
    {
        SoakEntry &entry = randomEntry();
        for (FakeWorker &it : m_shared.workers) {
            entry.place(randomBelow(16), it);
        }
    }
    void evict() { randomEntry().evictRandom(shard(randomBelow(2))); }
    void claim() { randomEntry().claim(shard(randomBelow(2))); }
    void sync()
    {
        SoakEntry &entry = randomEntry();
        for (FakeWorker &it : m_shared.workers) {
            if (randomBelow(2) == 0) {
                entry.sync(it);
            }
        }
    }
    void work()
    {
        for (FakeWorker &it : m_shared.workers) {
            it.advance(static_cast<std::int64_t>(randomBelow(40)));
        }
    }
    void reboot() { randomWorker().reboot(); }
    void call()
    {
        CallRequest request;
        request.request = RequestId("r" + std::to_string(++m_requests));
        request.customer = CustomerId("kayal");
        request.isIdempotent = randomBelow(3) == 0;
        request.bodyHash = randomBelow(12) == 0 ? 8 : 7;
        request.deadline = Clock::now() + std::chrono::seconds(1 + randomBelow(10));
        if (!request.isIdempotent) {
            request.key = "k" + std::to_string(randomBelow(1 + m_requests / 2));
        }
        randomEntry().call(std::move(request));
    }
    void hedge() { randomEntry().hedgeAll(); }
    void switchLog()
    {
        constexpr std::array Modes = {LogMode::Up,           LogMode::Up,   LogMode::Up,
                                      LogMode::LosesReplies, LogMode::Slow, LogMode::Down};
        m_shared.logMode = Modes.at(randomBelow(Modes.size()));
    }
    /// Trims the log, but never beyond the records that the newest complete snapshot covers.
    void trim()
    {
        if (m_snapshots.newest()) {
            const Offset maxTrim = m_snapshots.newest()->covers + 1 - m_shared.log.head();
            m_shared.log.trim(m_shared.log.head()
                              + (randomBelow(2) == 0 ? maxTrim : randomBelow(maxTrim + 1)));
        }
    }
    void crash()
    {
        const std::size_t i = randomBelow(Entries);
        m_entries[i] = makeEntry(i);
    }
    void crashAll()
    {
        for (std::size_t i = 0; i < Entries; ++i) {
            m_entries[i] = makeEntry(i);
        }
    }
    void snapshot() { randomEntry().writeSnapshotIfDue(randomBelow(3) == 0); }

    /// Applies new records to the reference reader, which never restarts.
    void updateReference()
    {
        if (m_reference.applied() == m_shared.log.tail()) {
            return;
        }
        for (const LoggedEnvelope &it :
             m_shared.log.read(m_reference.applied() + 1, m_shared.log.tail()).envelopes) {
            m_shared.audit.onFolded(it, m_reference.apply(it));
            auditCancellation(it.envelope.record);
            if (const auto *part = std::get_if<SnapshotPart>(&it.envelope.record)) {
                m_snapshots.add(*part);
            }
        }
        m_shared.audit.onState(m_reference.applied(), m_reference.snapshot());
    }

    void auditCancellation(const Record &record)
    {
        const auto *evicted = std::get_if<JobEvicted>(&record);
        const auto *cancelled = std::get_if<JobCancelled>(&record);
        if (evicted == nullptr && cancelled == nullptr) {
            return;
        }
        const JobId &id = evicted != nullptr ? evicted->job : cancelled->job;
        const Job *job = m_reference.get<JobLedger>().find(id);
        if (job != nullptr && job->state == BatchJobState::Cancelled) {
            m_shared.audit.onCancelled(id);
        }
    }

    void settleRound(int round)
    {
        Clock::advance(std::chrono::milliseconds(600));
        for (const auto &it : m_entries) {
            it->onTime();
            it->flush();
            updateReference();
            it->read(1000);
        }
        for (std::size_t i = 0; i < Workers; ++i) {
            FakeWorker &worker = m_shared.workers[i];
            if (round % 4 == 0 && !isOwnedInReference(worker.shard())) {
                m_entries.front()->claim(worker.shard());
            }
            m_entries.front()->sync(worker);
            m_shared.network.deliverAll();
            m_entries.front()->placeAll(worker);
            worker.advance(1000);
        }
        m_shared.network.deliverAll();
        updateReference();
    }

    bool isOwnedInReference(const ShardId &shard) const
    {
        return m_reference.get<FakeShardTerms>().isOwner(EntryId("e1"), shard);
    }

    bool isSettled() const
    {
        const auto &jobs = m_reference.get<JobLedger>();
        bool isDone = jobs.pending().empty() && jobs.placedIn(shard(0)).empty()
                      && jobs.placedIn(shard(1)).empty() && m_shared.network.isEmpty();
        for (const auto &it : m_entries) {
            const bool isCaughtUp = it->state().applied() == m_reference.applied();
            isDone = isDone && it->isCurrent() && it->isIdle() && isCaughtUp;
        }
        return isDone;
    }

    static constexpr std::array Actions = {Action{"tick", 8, &LedgerWorld::tick},
                                           Action{"flush", 16, &LedgerWorld::flush},
                                           Action{"read", 20, &LedgerWorld::read},
                                           Action{"deliver", 22, &LedgerWorld::deliver},
                                           Action{"lose", 2, &LedgerWorld::lose},
                                           Action{"timeOut", 1, &LedgerWorld::timeOut},
                                           Action{"repeat", 2, &LedgerWorld::repeat},
                                           Action{"submit", 5, &LedgerWorld::submit},
                                           Action{"cancel", 1, &LedgerWorld::cancel},
                                           Action{"cancelBurst", 0.2, &LedgerWorld::cancelBurst},
                                           Action{"place", 8, &LedgerWorld::place},
                                           Action{"evict", 3, &LedgerWorld::evict},
                                           Action{"claim", 1, &LedgerWorld::claim},
                                           Action{"sync", 10, &LedgerWorld::sync},
                                           Action{"work", 5, &LedgerWorld::work},
                                           Action{"reboot", 0.7, &LedgerWorld::reboot},
                                           Action{"call", 6, &LedgerWorld::call},
                                           Action{"hedge", 1, &LedgerWorld::hedge},
                                           Action{"switchLog", 1.5, &LedgerWorld::switchLog},
                                           Action{"trim", 1.5, &LedgerWorld::trim},
                                           Action{"crash", 1, &LedgerWorld::crash},
                                           Action{"crashAll", 0.2, &LedgerWorld::crashAll},
                                           Action{"snapshot", 2, &LedgerWorld::snapshot}};

    SoakEnvironment m_shared;
    SoakState m_reference = initialState();
    SnapshotAssembly m_snapshots;
    std::uint64_t m_incarnations = 0;
    std::vector<std::shared_ptr<SoakEntry>> m_entries;
    std::vector<std::string> m_trace;
    std::uint32_t m_stepValue = 0;
    std::size_t m_jobs = 0;
    std::size_t m_requests = 0;
};

} // namespace firefly::fakes
