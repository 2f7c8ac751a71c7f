#pragma once

#include "bench/entry/Meter.h"
#include "bench/entry/Platform.h"
#include "Entry/EntryCore.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>

namespace firefly::bench {

/// One entry that owns all shards of a Platform, under a time that only step() moves.
class EntryRun
{
public:
    explicit EntryRun(std::size_t workers);

    /// Moves the time by one tick and answers everything the entry sent.
    ///
    /// At most \a maxSyncs syncs are answered; the others wait for the next step.
    void step(std::size_t maxSyncs);
    /// Answers the syncs of workers that were started on.
    void answerSyncsOfStarted();
    /// Appends \a n records of another writer: submissions, then their cancellations.
    void appendForeignRecords(std::size_t n);
    /// Puts one caller's request through; true when it was answered.
    bool call(std::size_t bodyBytes);
    /// Begins a call and leaves it unanswered.
    void beginCall(std::size_t bodyBytes);
    void submitJob(std::size_t n, std::int64_t runtimeMs);
    /// Puts a plan without bounds in force; true once accepted.
    bool putLists();
    /// Lists the peer whose heartbeats handleHeartbeat() gives, and answers this entry's own.
    void addPeer();
    /// Handles a heartbeat of a peer that owns as many shards as this entry.
    void handleHeartbeat();

    std::size_t openWorkers() const { return m_core.workers().dispatchableWorkers().size(); }
    std::size_t activeCalls() const { return m_core.calls().active(); }
    Heartbeat heartbeat();
    std::size_t countJobs(std::string_view state, std::size_t from, std::size_t to) const;
    Meter &meter() { return m_meter; }
    Platform &platform() { return m_platform; }
    TimePoint now() const { return m_now; }

private:
    void settle();
    void perform(const EntryAction &action);
    void answerReads();
    void answerSync(const WorkerId &worker);

    static Settings makeSettings();

    TimePoint m_now{std::chrono::seconds(1)};
    Meter m_meter;
    Platform m_platform;
    EntryCore m_core;
    std::optional<SendLogRead> m_read;
    bool m_answersCalls = true;
    std::map<WorkerId, SendSync> m_syncs;
    std::deque<WorkerId> m_syncOrder; ///< Workers of m_syncs, the longest waiting first.
    std::set<WorkerId> m_started;
    Heartbeat m_peerHeartbeat;
};

} // namespace firefly::bench
