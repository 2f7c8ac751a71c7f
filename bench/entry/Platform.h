#pragma once

#include "Core/VmInfo.h"
#include "Entry/EntryActions.h"
#include "fakes/FakeLog.h"
#include "StandinWorker.h"

#include <cstdint>
#include <map>
#include <span>
#include <utility>
#include <vector>

namespace firefly::bench {

/// Numbers and encoded sizes of the messages that passed through a Platform.
struct WireTraffic
{
    std::int64_t syncs = 0;
    std::int64_t syncBytes = 0;       ///< Of the request and reply bodies.
    std::int64_t syncNanoseconds = 0; ///< Worker time, including the encoding of request and reply.
    std::int64_t reports = 0;         ///< Tasks reported in the replies.
    std::int64_t starts = 0;
    std::int64_t startBytes = 0;
    std::int64_t records = 0;
    std::int64_t recordBytes = 0;
};

/// In-process platform for one entry: a log, a VM list and workers, without sockets.
class Platform
{
public:
    /// Creates \a workers workers in racks of eight, and lists the entry \a self.
    Platform(std::size_t workers, const EntryId &self);

    WorkerSyncReply sync(const SendSync &send, TimePoint now);
    WorkerResult start(const SendStart &send, TimePoint now);
    void stop(const SendStop &send, TimePoint now);
    void throttle(const SendThrottle &send, TimePoint now);
    WorkerCallReply call(const SendCall &send, TimePoint now);
    void append(std::span<const Envelope> envelopes);
    LogRead read(const SendLogRead &send) const;

    void addEntry(EntryInfo entry) { m_list.entries.push_back(std::move(entry)); }
    const VmList &vmList() const { return m_list; }
    /// Traffic so far; may be reset by assignment.
    WireTraffic &wire() { return m_wire; }
    /// Number of shards: one per rack.
    std::size_t shards() const { return m_shards; }

private:
    standins::WorkerProfile m_profile;
    VmList m_list;
    std::size_t m_shards = 0;
    std::map<WorkerId, standins::StandinWorker> m_workers;
    fakes::FakeLog m_log;
    WireTraffic m_wire;
};

} // namespace firefly::bench
