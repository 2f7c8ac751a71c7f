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

/// Where a reader stands.
enum class CatchUpState {
    Reading,       ///< Records follow without a gap; not yet at the tail.
    Current,       ///< At the tail of the last read.
    NeedsSnapshot, ///< Records that this reader needs were trimmed; it searches for a snapshot.
};

/// Reader's side of the log: what to read next, gaps, and the snapshot that bridges one.
///
/// A reader whose next record was trimmed scans the log from its head to its tail, restores the
/// newest complete snapshot that leaves no gap, and goes on behind it.  While there is none it
/// stays in NeedsSnapshot and folds nothing.
class CatchUp
{
public:
    /// Offset to read from.
    Offset next() const { return m_next; }
    CatchUpState state() const { return m_state; }
    bool isCurrent() const { return m_state == CatchUpState::Current; }
    /// Times a snapshot was restored.
    std::uint64_t restores() const { return m_restores; }

    /// Takes a reading from next() on and folds what it can.
    ///
    /// \a visit is called as visit(const LoggedEnvelope &, FoldVerdict) after each record folded.
    template <typename Fold, typename Visitor>
    void absorb(const LogRead &read, Fold &fold, Visitor &&visit)
    {
        if (isBehindReader(read)) {
            m_state = CatchUpState::Reading;
            return;
        }
        noteHead(read.head);
        if (m_state == CatchUpState::NeedsSnapshot) {
            scan(read, fold);
            return;
        }
        for (const LoggedEnvelope &it : read.envelopes) {
            if (it.offset < m_next) {
                continue;
            }
            FIREFLY_ASSERT(it.offset == m_next, "a reading has no gap");
            const FoldVerdict verdict = fold.apply(it);
            m_next = it.offset + 1;
            visit(it, verdict);
        }
        m_state = m_next > read.tail ? CatchUpState::Current : CatchUpState::Reading;
    }

    nlohmann::json dump() const;

private:
    /// True when the log answered with a state older than what was read before.
    bool isBehindReader(const LogRead &read) const;
    /// Starts a search for a snapshot when \a head is past the next record.
    void noteHead(Offset head);
    /// Collects snapshot parts; true once the scan reached the tail with a usable snapshot.
    bool collect(const LogRead &read);

    template <typename Fold>
    void scan(const LogRead &read, Fold &fold)
    {
        if (!collect(read)) {
            return;
        }
        const CompleteSnapshot &snapshot = *m_assembly.newest();
        FIREFLY_ASSERT(snapshot.covers > fold.applied(), "a restore never goes back");
        try {
            fold.restore(snapshot.text);
        } catch (const SnapshotError &) {
            rejectSnapshot(read.head);
            return;
        }
        FIREFLY_ASSERT(snapshot.covers == fold.applied(), "a snapshot covers what it says");
        finishRestore();
    }

    /// Goes on searching from \a head without the snapshot that could not be read.
    void rejectSnapshot(Offset head);
    void finishRestore();

    CatchUpState m_state = CatchUpState::Reading;
    Offset m_next = 1;
    std::uint64_t m_restores = 0;
    SnapshotAssembly m_assembly;
};

} // namespace firefly
