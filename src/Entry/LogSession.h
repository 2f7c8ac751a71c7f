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

/// Reads the log into the cluster state, and appends this entry's records and snapshots.
class LogSession
{
public:
    /// Upper bound on the records of one read.
    static constexpr std::size_t MaxRecordsPerRead = 2000;
    /// Back-off after a failed read.
    static constexpr Duration RetryDelay = std::chrono::milliseconds(200);

    LogSession(WriterId writer, const SnapshotSettings &settings, TimePoint start);

    /// Sends the log read and the append that are due.
    void tick(TimePoint now, EntryActions &actions);
    /// Queues a snapshot when one is due.  \a isDesignated should be true on one entry at a time,
    /// so that entries don't write the same snapshot.
    void writeSnapshotIfDue(TimePoint now, bool isDesignated);

    /// Folds the result of the read in flight; visit(const LoggedEnvelope &, FoldResult) is called
    /// after each record.  \returns true when a snapshot replaced the state.
    template <typename Visitor>
    bool onRead(TimePoint now, const LogRead &read, Visitor &&visit)
    {
        const std::uint64_t restores = m_catchUp.restores();
        applyReadStatus(now, read);
        m_catchUp.apply(read, m_state, [&](const LoggedEnvelope &logged, FoldResult verdict) {
            observeRecord(now, logged);
            visit(logged, verdict);
        });
        if (m_catchUp.restores() == restores) {
            return false;
        }
        resetAfterRestore(now);
        return true;
    }
    void onReadFailed(TimePoint now);
    void onAppendReply(TimePoint now, AppendResult result);

    /// Queues a record and returns its sequence number, or nothing when the queue is full.
    std::optional<std::uint64_t> push(Record record, AppendPriority priority);
    bool hasRoom() const { return m_appends.hasRoom(AppendPriority::NewWork); }

    /// True when the last completed read succeeded.
    bool isReachable() const { return m_isReachable; }
    /// True when every record up to the tail that the last read reported is folded.
    bool isCurrent() const { return m_catchUp.isCurrent(); }
    /// True while records that this entry needs were trimmed and no snapshot was found.
    bool needsSnapshot() const { return m_catchUp.state() == CatchUpState::NeedsSnapshot; }
    bool hasPendingAppends() const { return m_appends.pending() > 0; }
    Offset tail() const { return m_tail; }
    /// When the last successful read was sent; none before the first.
    std::optional<TimePoint> lastReadSentAt() const { return m_lastReadSentAt; }
    const WriterId &writer() const { return m_appends.writer(); }

    const ClusterState &state() const { return m_state; }
    /// Adopts the plans and limits in force on a peer.  \returns true when they were newer.
    bool adoptLists(const OperatorLists &lists);

    nlohmann::json dump() const;

private:
    void applyReadStatus(TimePoint now, const LogRead &read);
    void observeRecord(TimePoint now, const LoggedEnvelope &logged);
    void resetAfterRestore(TimePoint now);

    ClusterState m_state;
    CatchUp m_catchUp;
    AppendQueue m_appends;
    SnapshotPlanner m_snapshots;
    bool m_isReadInFlight = false;
    bool m_isReachable = false;
    TimePoint m_readSentAt;
    TimePoint m_nextReadAt;
    std::optional<TimePoint> m_lastReadSentAt;
    Offset m_head = 1;
    Offset m_tail = 0;
};

} // namespace firefly
