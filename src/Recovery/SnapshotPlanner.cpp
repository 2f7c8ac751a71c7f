#include "Recovery/SnapshotPlanner.h"

#include "Core/Assert.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace firefly {
namespace {

/// Divisors of the retention: the age of the newest snapshot at which the designated writer, and
/// any reader, writes another one.
constexpr int DesignatedDivisor = 4;
constexpr int AnyReaderDivisor = 2;

} // namespace

SnapshotPlanner::SnapshotPlanner(SnapshotPlannerLimits limits, TimePoint start)
    : m_limits(limits)
    , m_snapshotSeenAt(start - limits.retention / DesignatedDivisor)
{
    FIREFLY_ASSERT(limits.partBytes > 0, "the size of a part must be positive");
}

void SnapshotPlanner::onRead(TimePoint now, const SnapshotPart &part)
{
    const SnapshotPart marker{part.snapshot, part.covers, part.index, part.count, {}};
    if (!m_assembly.add(marker)) {
        return;
    }
    m_covered = part.covers;
    m_snapshotSeenAt = now;
    m_writtenAt.reset();
}

void SnapshotPlanner::onRestored(TimePoint now, Offset covers)
{
    m_covered = std::max(m_covered, covers);
    m_snapshotSeenAt = now - m_limits.retention / DesignatedDivisor;
}

bool SnapshotPlanner::isDue(TimePoint now, Offset applied, Offset head, bool isDesignated) const
{
    if (applied <= m_covered) {
        return false;
    }
    if (m_writtenAt && now - *m_writtenAt < m_limits.retryAfter) {
        return false;
    }
    const Duration age = now - m_snapshotSeenAt;
    if (head > m_covered + 1 || age >= m_limits.retention / AnyReaderDivisor) {
        return true;
    }
    const bool isOld = age >= m_limits.retention / DesignatedDivisor;
    return isDesignated && (isOld || applied - m_covered >= m_limits.everyRecords);
}

std::vector<SnapshotPart> SnapshotPlanner::split(TimePoint now, const WriterId &writer,
                                                 Offset covers, std::string_view text)
{
    FIREFLY_ASSERT(!text.empty(), "a snapshot must not be empty");
    const std::size_t count = (text.size() + m_limits.partBytes - 1) / m_limits.partBytes;
    FIREFLY_ASSERT(count <= SnapshotAssembly::MaxParts, "a snapshot has too many parts");
    const std::string name = writer.value() + "@" + std::to_string(covers);
    std::vector<SnapshotPart> parts;
    parts.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        const std::string_view data = text.substr(i * m_limits.partBytes, m_limits.partBytes);
        parts.push_back({name, covers, static_cast<std::uint32_t>(i),
                         static_cast<std::uint32_t>(count), std::string(data)});
    }
    m_writtenAt = now;
    ++m_written;
    return parts;
}

nlohmann::json SnapshotPlanner::dump() const
{
    return {{"covered", m_covered}, {"written", m_written}, {"onItsWay", m_writtenAt.has_value()}};
}

} // namespace firefly
