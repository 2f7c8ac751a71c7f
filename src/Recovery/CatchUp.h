#pragma once

#include "Core/Assert.h"
#include "Core/Id.h"
#include "Platform/LogMessages.h"
#include "Records/Fold.h"
#include "Recovery/SnapshotAssembly.h"
#include "Recovery/SnapshotCodec.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <utility>

namespace firefly {

/// Progress of a log reader.
enum class CatchUpState {
    Reading,       ///< Reads consecutive records; has not reached the tail.
    Current,       ///< Has applied every record up to the tail of the last read.
    NeedsSnapshot, ///< Required records were trimmed; searches the log for a snapshot.
};

/// Applies the log to a fold, and restores a snapshot when required records were trimmed.
///
/// A reader whose next record was trimmed scans the log from its head to its tail, restores the
/// newest complete snapshot that leaves no gap, and continues after the offset it covers.  While
/// there is no such snapshot it stays in NeedsSnapshot and applies no record.
class CatchUp
{
public:
    /// Offset of the next record to read.
    Offset next() const { return m_next; }
    CatchUpState state() const { return m_state; }
    bool isCurrent() const { return m_state == CatchUpState::Current; }
    /// Number of snapshots restored.
    std::uint64_t restores() const { return m_restores; }

    /// Applies the records of \a read, which started at next(), to \a fold.
    ///
    /// Calls visit(const LoggedEnvelope &, FoldResult) after each record applied.
    template <typename Fold, typename Visitor>
    void apply(const LogRead &read, Fold &fold, Visitor &&visit)
    {
        if (isBehindReader(read)) {
            m_state = CatchUpState::Reading;
            return;
        }
        detectTrimmedRecords(read.head);
        if (m_state == CatchUpState::NeedsSnapshot) {
            searchSnapshot(read, fold);
            return;
        }
        for (const LoggedEnvelope &it : read.envelopes) {
            if (it.offset < m_next) {
                continue;
            }
            FIREFLY_ASSERT(it.offset == m_next, "a log read must not skip offsets");
            const FoldResult result = fold.apply(it);
            m_next = it.offset + 1;
            visit(it, result);
        }
        m_state = m_next > read.tail ? CatchUpState::Current : CatchUpState::Reading;
    }

    nlohmann::json dump() const;

private:
    /// True when the log returned a tail older than the records already read.
    bool isBehindReader(const LogRead &read) const;
    /// Starts the search for a snapshot when the next record is before \a head, so was trimmed.
    void detectTrimmedRecords(Offset head);
    /// Collects snapshot parts; true when the scan is at the tail and found a usable snapshot.
    bool collectParts(const LogRead &read);

    template <typename Fold>
    void searchSnapshot(const LogRead &read, Fold &fold)
    {
        if (!collectParts(read)) {
            return;
        }
        const CompleteSnapshot &snapshot = *m_assembly.newest();
        FIREFLY_ASSERT(snapshot.covers > fold.applied(),
                       "a restored snapshot must cover more records than were applied");
        try {
            fold.restore(snapshot.text);
        } catch (const SnapshotError &) {
            rejectSnapshot(read.head);
            return;
        }
        FIREFLY_ASSERT(snapshot.covers == fold.applied(),
                       "a restored state must end at the offset that the snapshot covers");
        finishRestore();
    }

    /// Restarts the search from \a head, ignoring the snapshot that could not be read.
    void rejectSnapshot(Offset head);
    void finishRestore();

    CatchUpState m_state = CatchUpState::Reading;
    Offset m_next = 1;
    std::uint64_t m_restores = 0;
    SnapshotAssembly m_assembly;
};

} // namespace firefly
