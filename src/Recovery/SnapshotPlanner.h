#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"
#include "Records/Record.h"
#include "Recovery/SnapshotAssembly.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace firefly {

/// Schedule of snapshots and the size of their parts.
struct SnapshotPlannerLimits
{
    Offset everyRecords = 20'000;               ///< Records between two snapshots.
    Duration retention = std::chrono::hours(1); ///< How long the log keeps a record.
    Duration retryAfter =
        std::chrono::seconds(10); ///< Time after which a snapshot not read back is rewritten.
    std::size_t partBytes = std::size_t{128} * 1024; ///< Maximum data of one part, in bytes.
};

/// Decides when an entry writes a snapshot, and splits it into records.
///
/// The designated writer (for example the owner of the first shard) writes a snapshot after
/// everyRecords records or a quarter of the retention, whichever is first.  Any current reader
/// writes one when half of the retention has passed without a complete snapshot, so also right
/// after an outage that took most of the retention.
class SnapshotPlanner
{
public:
    explicit SnapshotPlanner(SnapshotPlannerLimits limits, TimePoint start);

    /// Handles a part that was read from the log, of any writer.
    void onRead(TimePoint now, const SnapshotPart &part);
    /// Handles the restore of a snapshot by this entry; its age is unknown.
    void onRestored(TimePoint now, Offset covers);
    /// True when this entry should now write a snapshot of its state at offset \a applied.
    ///
    /// Call it only for a current reader; \a head is the log's oldest offset at its last read.
    bool isDue(TimePoint now, Offset applied, Offset head, bool isDesignated) const;
    /// Splits \a text, the state at offset \a covers, into parts; isDue() stays false until they
    /// were read back or retryAfter has passed.
    std::vector<SnapshotPart> split(TimePoint now, const WriterId &writer, Offset covers,
                                    std::string_view text);

    /// Offset covered by the newest complete snapshot in the log; 0 if there is none.
    Offset covered() const { return m_covered; }
    nlohmann::json dump() const;

private:
    SnapshotPlannerLimits m_limits;
    SnapshotAssembly m_assembly;
    Offset m_covered = 0;
    TimePoint m_snapshotSeenAt;
    std::optional<TimePoint>
        m_writtenAt; ///< Set until the parts written by this entry are read back.
    std::uint64_t m_written = 0;
};

} // namespace firefly
