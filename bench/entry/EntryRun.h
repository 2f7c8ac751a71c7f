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

/// Runs one entry that owns all shards of a Platform; only step() advances its time.
class EntryRun
{
public:
    explicit EntryRun(std::size_t workers);

    /// Advances the time by one tick and answers the messages of the entry.
    ///
    /// Answers at most \a maxSyncs syncs; the others wait for the next step.
    void step(std::size_t maxSyncs);
    /// Answers the pending syncs of all workers on which a task was started.
    void answerSyncsOfStartedWorkers();
    /// Appends \a n records of another writer: half are submissions, half their cancellations.
    void appendRecordsOfOtherWriter(std::size_t n);
    /// Runs one call from the caller's request to the reply; true if it was answered.
    bool call(std::size_t bodyBytes);
    /// Begins a call that the worker does not answer.
    void beginCall(std::size_t bodyBytes);
    void submitJob(std::size_t n, std::int64_t runtimeMs);
    /// Brings lists with one unlimited plan into force; true if both were accepted.
    bool bringListsIntoForce();
    /// Adds the peer of handleHeartbeat() to the VM list; it answers this entry's heartbeats.
    void addPeer();
    /// Passes the entry a heartbeat of a peer that owns as many shards as this entry.
    void handleHeartbeat();

    std::size_t openWorkers() const { return m_core.workers().dispatchableWorkers().size(); }
    std::size_t activeCalls() const { return m_core.calls().active(); }
    /// Heartbeat that the entry sends back to its peer.
    Heartbeat heartbeat();
    /// Number of the jobs \a from up to, but not including, \a to whose status is \a state.
    std::size_t countJobs(std::string_view state, std::size_t from, std::size_t to) const;
    Meter &meter() { return m_meter; }
    Platform &platform() { return m_platform; }
    TimePoint now() const { return m_now; }

private:
    void performActions();
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
    std::set<WorkerId> m_startedWorkers;
    Heartbeat m_peerHeartbeat;
};

} // namespace firefly::bench
