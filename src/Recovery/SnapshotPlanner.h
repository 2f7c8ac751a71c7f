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

/// When snapshots are written, and how they are cut.
struct SnapshotPlannerLimits
{
    Offset everyRecords = 20'000;                    ///< Records between snapshots.
    Duration retention = std::chrono::hours(1);      ///< How long the log keeps a record.
    Duration retryAfter = std::chrono::seconds(10);  ///< Until a lost snapshot is rewritten.
    std::size_t partBytes = std::size_t{128} * 1024; ///< Largest data of one part, in bytes.
};

/// Decides when an entry writes a snapshot, and cuts it into records.
///
/// The designated writer (for example the owner of the first shard) writes after everyRecords
/// records or a quarter of the retention, whichever is first; any current reader writes when half
/// of the retention has passed without a complete snapshot, so also first thing after an outage
/// that ate most of the retention.
class SnapshotPlanner
{
public:
    explicit SnapshotPlanner(SnapshotPlannerLimits limits, TimePoint start);

    /// Notes a part that was read from the log, from any writer.
    void onRead(TimePoint now, const SnapshotPart &part);
    /// Notes that this entry restored a snapshot; its age is unknown.
    void onRestored(TimePoint now, Offset covers);
    /// True when this entry should write a snapshot of its state at \a applied now.
    ///
    /// Ask only a reader that is current; \a head is the log's oldest offset at its last reading.
    bool isDue(TimePoint now, Offset applied, Offset head, bool isDesignated) const;
    /// Cuts \a text, the state at \a covers, into parts; isDue() stays false until they were read
    /// back or retryAfter passed.
    std::vector<SnapshotPart> cut(TimePoint now, const WriterId &writer, Offset covers,
                                  std::string_view text);

    /// Coverage of the newest complete snapshot seen in the log; 0 when none.
    Offset covered() const { return m_covered; }
    nlohmann::json dump() const;

private:
    SnapshotPlannerLimits m_limits;
    SnapshotAssembly m_assembly;
    Offset m_covered = 0;
    TimePoint m_coveredAt;
    std::optional<TimePoint> m_writtenAt; ///< Set while own parts are on their way.
    std::uint64_t m_written = 0;
};

} // namespace firefly
