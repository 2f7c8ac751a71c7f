#pragma once

#include "Cell/CellMessages.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace firefly {

/// A keyed record; without a value it deletes the key.
struct KeyedRecord
{
    std::string key;
    std::optional<std::string> value;
};

/// Result of an append to the store.
enum class AppendOutcome {
    Stored,
    Rejected, ///< Not stored: the store is busy, unavailable, or nothing was sent.
    Fenced,   ///< Refused: a writer with a higher epoch exists.
    Unknown,  ///< No answer; may have been stored or may still be.
};

/// The records of one append call.
struct JournalBatch
{
    std::uint64_t sequence = 0;
    std::vector<KeyedRecord> records;
};

/// Group commit for one partition: at most one append is in flight, and the records put meanwhile
/// form the next batch.
///
/// A batch of unknown outcome is retried under its sequence number; the store deduplicates by that
/// number and repeats its first answer.  Of several waiting values for one key only the newest is
/// written.  put() is O(1).
class CellJournal
{
public:
    using OnDurable = std::function<void()>;
    /// Called when a record is given up; \a isDefinitelyLost if it was never stored, false if it
    /// may have been.
    using OnLost = std::function<void(bool isDefinitelyLost)>;

    /// Size of a batch in bytes from which on it takes no further record.
    static constexpr std::size_t MaxBatchBytes = 512U << 10U;

    /// Queues \a record and calls \a onDurable once it, or a newer record under its key, is stored.
    void put(KeyedRecord record, OnDurable onDurable = {});
    /// As put(), for a record that refusePending() may give up while the store is unavailable.
    void putRefusable(KeyedRecord record, OnDurable onDurable, OnLost onLost);
    /// Adds callbacks to the record under \a key that is not durable yet; false if there is none.
    bool addCallbacks(const std::string &key, OnDurable onDurable, OnLost onLost);
    /// Barrier: calls \a onDurable once every record put so far is durable or refused.
    void whenDurable(OnDurable onDurable, OnLost onLost = {});
    bool isIdle() const { return !m_inFlight && m_waiting.empty(); }
    /// False from an append that wasn't stored, as far as known, until the next one that was.
    bool isStoring() const { return m_isStoring; }
    std::size_t waitingRecords() const { return m_waiting.size(); }

    /// The batch to send now, a retry or a new one; none while an append awaits its answer.
    std::optional<JournalBatch> next();
    /// Applies the outcome of the batch that next() returned last.
    void onOutcome(AppendOutcome outcome);
    /// Gives up the refusable records that were definitely never stored.  Does nothing while
    /// an append awaits its answer.
    void refusePending();
    /// Gives up all records, since this process no longer writes the partition.
    void abandon();

private:
    struct Entry
    {
        KeyedRecord record;
        bool isRefusable = false;
        std::vector<OnDurable> onDurable;
        std::vector<OnLost> onLost;
        std::vector<OnDurable> barriers; ///< Called once this and all earlier records are durable.
        std::vector<OnLost> barriersLost;
    };

    Entry &add(KeyedRecord record);
    /// Moves the barriers of a refused record to \a to, or runs them if there is none.
    void moveBarriers(Entry &from, Entry *to);
    static void notifyDurable(const Entry &entry);
    static void notifyLost(const Entry &entry, bool isDefinitelyLost);

    void indexWaiting();
    std::vector<Entry> m_waiting;
    std::unordered_map<std::string, std::size_t> m_waitingByKey;
    std::optional<std::vector<Entry>> m_inFlight;
    bool m_isSent = false; ///< The batch in flight awaits its answer.
    bool m_isStoring = true;
    bool m_mayBeStored = false;   ///< An earlier attempt of the batch in flight may be stored.
    std::uint64_t m_sequence = 0; ///< Of the batch in flight, else of the latest one.
};

} // namespace firefly
