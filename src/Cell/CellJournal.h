#pragma once

#include "Cell/CellMessages.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace firefly {

/// One keyed record; no value drops the key.
struct KeyedRecord
{
    std::string key;
    std::optional<std::string> value;
};

/// What the store answered to an append.
enum class AppendOutcome {
    Stored,
    Rejected, ///< Surely not done: busy, unavailable or nothing sent.
    Fenced,   ///< A writer with a higher epoch exists.
    Unknown,  ///< No answer; may have been done, or may be done later.
};

/// Records of one append call.
struct JournalBatch
{
    std::uint64_t sequence = 0;
    std::vector<KeyedRecord> records;
};

/// Group commit for one partition: one append in flight, everything that came meanwhile in the
/// next.
///
/// A batch without a known outcome is repeated with its sequence number, which the store answers
/// as it did the first time.  Of several values for one key that wait for the same batch only the
/// newest is written.  put() costs O(1).
class CellJournal
{
public:
    using OnDurable = std::function<void()>;
    /// Called for a record given up: \a isSurelyLost says that it was never stored.
    using OnLost = std::function<void(bool isSurelyLost)>;

    /// Bytes of records in one append.
    static constexpr std::size_t MaxBatchBytes = 512U << 10U;

    void put(KeyedRecord record, OnDurable onDurable = {});
    /// As put(), for a record whose sender rather hears a refusal than waits for a lost store.
    void putRefusable(KeyedRecord record, OnDurable onDurable, OnLost onLost);
    /// Adds callbacks to a refusable record that is not durable yet; false when there is none.
    bool follow(const std::string &key, OnDurable onDurable, OnLost onLost);
    /// Calls back once all that was put so far is durable or refused.
    void whenDurable(OnDurable onDurable, OnLost onLost = {});
    bool isIdle() const { return !m_inFlight && m_waiting.empty(); }
    std::size_t waitingRecords() const { return m_waiting.size(); }

    /// The batch to send now: the one to be repeated, or a new one; none while one is in flight.
    std::optional<JournalBatch> next();
    /// Takes the outcome of the batch that next() returned last.
    void onOutcome(AppendOutcome outcome);
    /// Gives up the refusable records that were surely never stored.
    void refuseNew();
    /// Gives every record up: this process no longer writes the partition.
    void abandon();

private:
    struct Entry
    {
        KeyedRecord record;
        bool isRefusable = false;
        std::vector<OnDurable> onDurable;
        std::vector<OnLost> onLost;
        std::vector<OnDurable> barriers; ///< Wait for this record and all before it.
        std::vector<OnLost> barriersLost;
    };

    Entry &add(KeyedRecord record);
    void moveBarriers(Entry &from, Entry *to);
    static void finish(const Entry &entry);
    static void lose(const Entry &entry, bool isSurelyLost);

    void indexWaiting();
    std::vector<Entry> m_waiting;
    std::unordered_map<std::string, std::size_t> m_waitingByKey;
    std::optional<std::vector<Entry>> m_inFlight;
    bool m_isSent = false;        ///< The batch in flight has not been answered.
    bool m_maybeStored = false;   ///< An earlier try of the batch in flight may have been stored.
    std::uint64_t m_sequence = 0; ///< Of the batch in flight, or of the last one.
};

} // namespace firefly
