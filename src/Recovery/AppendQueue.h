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

/// Whether a record may be refused when the queue is nearly full.
enum class AppendPriority {
    NewWork, ///< Takes on new work; refused first.
    Fact,    ///< Tells what has already happened.
};

/// Bounds and pace of an AppendQueue.
struct AppendQueueLimits
{
    std::size_t maxPending = 20'000; ///< Records not yet in the log.
    std::size_t maxPendingBytes =
        std::size_t{64} * 1024 * 1024; ///< Encoded size of those records, in bytes.
    double newWorkShare = 0.75;        ///< Part of the bounds that new work may fill.
    std::size_t maxBatch = 1000;       ///< Records in one append.
    std::size_t maxBatchBytes = std::size_t{512} * 1024; ///< Encoded size of one append, in bytes.
    Duration flushInterval = std::chrono::milliseconds(20);
    Duration retryDelay = std::chrono::milliseconds(500); ///< After an append that failed.
};

/// Writer's side of the log: numbers records and gets each into the log in order.
///
/// One append is in flight at a time.  Records stay queued until the log confirmed them, by its
/// reply or by being read back; after an uncertain reply the same envelopes are sent again, and
/// readers drop what they have seen.  Nothing is dropped: a full queue refuses instead.
class AppendQueue
{
public:
    explicit AppendQueue(WriterId writer, AppendQueueLimits limits = {});

    /// Queues \a record and returns its sequence number; nothing when the queue is full.
    std::optional<std::uint64_t> push(Record record, AppendPriority priority);
    /// The append to send now, if any; onReply() must follow before the next one.
    std::optional<LogAppend> poll(TimePoint now);
    /// The result of the append that poll() gave.
    void onReply(TimePoint now, AppendResult result);
    /// Notes a record that was read back; true when it is one of this writer's for the first time.
    /// It confirms every record before it too, also those that a restored snapshot skipped.
    bool onRead(const LoggedEnvelope &logged);
    /// Notes that a snapshot was restored which contains records up to \a sequence of this writer.
    void onRestored(std::uint64_t sequence);

    const WriterId &writer() const { return m_writer; }
    /// Sequence number up to which every record was read back from the log.
    std::uint64_t readBack() const { return m_readBack; }
    /// Sequence number of the last record that was queued.
    std::uint64_t lastSequence() const { return m_lastSequence; }
    /// Records that are not known to be in the log.
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
    void dropUpTo(std::uint64_t sequence);

    WriterId m_writer;
    AppendQueueLimits m_limits;
    std::deque<Pending> m_pending; ///< In order of sequence numbers, without a gap.
    std::size_t m_pendingBytes = 0;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_inFlight = 0; ///< Last sequence number of the append in flight; 0 when none.
    std::uint64_t m_readBack = 0;
    std::uint64_t m_repeats = 0; ///< Appends that failed and were or will be sent again.
    TimePoint m_notBefore{};
};

} // namespace firefly
