#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"
#include "Platform/LogMessages.h"
#include "Records/Record.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace firefly {

/// Priority of a record when the queue is nearly full.
enum class AppendPriority {
    NewWork, ///< Accepts new work; refused first.
    Fact,    ///< Records what has already happened; refused only by a full queue.
};

/// Bounds and timing of an AppendQueue.
struct AppendQueueLimits
{
    std::size_t maxPending = 20'000; ///< Records not confirmed to be in the log.
    std::size_t maxPendingBytes =
        std::size_t{64} * 1024 * 1024; ///< Encoded size of those records, in bytes.
    double newWorkShare = 0.75;        ///< Fraction of these two bounds that new work may use.
    std::size_t maxBatch = 1000;       ///< Records in one append.
    std::size_t maxBatchBytes = std::size_t{512} * 1024; ///< Encoded size of one append, in bytes.
    Duration flushInterval = std::chrono::milliseconds(20); ///< Minimum time between appends.
    Duration retryDelay = std::chrono::milliseconds(500);   ///< Back-off after a failed append.
};

/// Numbers a writer's records and appends them to the log in order.
///
/// One append is in flight at a time.  Records stay queued until they are confirmed, by the reply
/// of the log or by being read back.  After an uncertain reply the same envelopes are sent again;
/// readers ignore the duplicates.  A queued record is never dropped: a full queue refuses new ones.
class AppendQueue
{
public:
    explicit AppendQueue(WriterId writer, AppendQueueLimits limits = {});

    /// Queues \a record and returns its sequence number; nullopt when the queue is full for it.
    std::optional<std::uint64_t> push(Record record, AppendPriority priority);
    /// The append to send now, if any; the next one is given only after onReply().
    std::optional<LogAppend> poll(TimePoint now);
    /// Handles the result of the append that poll() returned.
    void onReply(TimePoint now, AppendResult result);
    /// Handles a record read from the log; true when it is this writer's and was not read before.
    /// Confirms it and all earlier records of this writer, including those that were not read
    /// because a snapshot was restored.
    bool onRead(const LoggedEnvelope &logged);
    /// Handles the restore of a snapshot that includes this writer's records up to \a sequence.
    void onRestored(std::uint64_t sequence);

    const WriterId &writer() const { return m_writer; }
    /// Sequence number up to which this writer's records were read back from the log.
    std::uint64_t lastReadBackSequence() const { return m_readBack; }
    /// Sequence number of the last queued record; 0 when there was none.
    std::uint64_t lastSequence() const { return m_lastSequence; }
    /// Number of records not confirmed to be in the log.
    std::size_t pending() const { return m_pending.size(); }
    bool isInFlight() const { return m_inFlight > 0; }
    bool hasRoom(AppendPriority priority) const;

    nlohmann::json dump() const;

private:
    struct Pending
    {
        Envelope envelope;
        std::size_t bytes = 0;
    };

    std::size_t batchSize() const;
    void removeConfirmed(std::uint64_t sequence);

    WriterId m_writer;
    AppendQueueLimits m_limits;
    std::deque<Pending> m_pending; ///< By sequence number, without gaps.
    std::size_t m_pendingBytes = 0;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_inFlight = 0; ///< Last sequence number of the append in flight; 0 if none.
    std::uint64_t m_readBack = 0;
    std::uint64_t m_retries = 0; ///< Failed appends, each of which is sent again.
    TimePoint m_notBefore{};
};

} // namespace firefly
