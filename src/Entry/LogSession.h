#pragma once

#include "Config/Settings.h"
#include "Core/Clock.h"
#include "Entry/ClusterState.h"
#include "Entry/EntryActions.h"
#include "Recovery/AppendQueue.h"
#include "Recovery/CatchUp.h"
#include "Recovery/SnapshotPlanner.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <utility>

namespace firefly {

/// This entry's reading and writing of the log, and the state folded from it.
class LogSession
{
public:
    /// Records asked for in one read.
    static constexpr std::size_t MaxRecordsPerRead = 2000;
    /// Pause after a read that failed.
    static constexpr Duration RetryDelay = std::chrono::milliseconds(200);

    LogSession(WriterId writer, const SnapshotSettings &settings, TimePoint start);

    /// Sends the read and the append that are due.
    void tick(TimePoint now, EntryActions &actions);
    /// Writes a snapshot when one is due; ask it for one entry at a time by \a isDesignated.
    void writeSnapshotIfDue(TimePoint now, bool isDesignated);

    /// Folds a reading that was sent at \a sentAt; visit(const LoggedEnvelope &, FoldVerdict)
    /// follows each record.  \returns true when a snapshot replaced the state.
    template <typename Visitor>
    bool onRead(TimePoint now, const LogRead &read, Visitor &&visit)
    {
        const std::uint64_t restores = m_catchUp.restores();
        noteRead(now, read);
        m_catchUp.absorb(read, m_state, [&](const LoggedEnvelope &logged, FoldVerdict verdict) {
            noteRecord(now, logged);
            visit(logged, verdict);
        });
        if (m_catchUp.restores() == restores) {
            return false;
        }
        noteRestored(now);
        return true;
    }
    void onReadFailed(TimePoint now);
    void onAppendReply(TimePoint now, AppendResult result);

    /// Queues a record and returns its sequence number; nothing when the queue is full.
    std::optional<std::uint64_t> push(Record record, AppendPriority priority);
    bool hasRoom() const { return m_appends.hasRoom(AppendPriority::NewWork); }

    /// True when the last read was answered.
    bool isReachable() const { return m_reachable; }
    /// True when every record up to the tail of the last read is folded.
    bool isCurrent() const { return m_catchUp.isCurrent(); }
    /// True while records that this entry needs are trimmed and no snapshot was found.
    bool needsSnapshot() const { return m_catchUp.state() == CatchUpState::NeedsSnapshot; }
    bool hasPendingAppends() const { return m_appends.pending() > 0; }
    Offset tail() const { return m_tail; }
    /// When the last read that succeeded was sent; none before the first.
    std::optional<TimePoint> lastReadSentAt() const { return m_lastReadSentAt; }
    const WriterId &writer() const { return m_appends.writer(); }

    const ClusterState &state() const { return m_state; }
    /// Takes the pair of lists that a peer has in force; true when it was newer.
    bool adoptLists(const ListsVersion &lists);

    nlohmann::json dump() const;

private:
    void noteRead(TimePoint now, const LogRead &read);
    void noteRecord(TimePoint now, const LoggedEnvelope &logged);
    void noteRestored(TimePoint now);

    ClusterState m_state;
    CatchUp m_catchUp;
    AppendQueue m_appends;
    SnapshotPlanner m_snapshots;
    bool m_readInFlight = false;
    bool m_reachable = false;
    TimePoint m_readSentAt;
    TimePoint m_nextReadAt;
    std::optional<TimePoint> m_lastReadSentAt;
    Offset m_head = 1;
    Offset m_tail = 0;
};

} // namespace firefly
