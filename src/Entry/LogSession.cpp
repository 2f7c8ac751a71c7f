#include "Entry/LogSession.h"

#include <nlohmann/json.hpp>

namespace firefly {
namespace {

SnapshotPlannerLimits toPlannerLimits(const SnapshotSettings &settings)
{
    SnapshotPlannerLimits limits;
    limits.everyRecords = static_cast<Offset>(settings.everyRecords);
    limits.retention = settings.retention;
    return limits;
}

} // namespace

LogSession::LogSession(WriterId writer, const SnapshotSettings &settings, TimePoint start)
    : m_appends(std::move(writer))
    , m_snapshots(toPlannerLimits(settings), start)
    , m_nextReadAt(start)
{}

void LogSession::tick(TimePoint now, EntryActions &actions)
{
    if (!m_isReadInFlight && now >= m_nextReadAt) {
        m_isReadInFlight = true;
        m_readSentAt = now;
        actions.emplace_back(SendLogRead{m_catchUp.next(), MaxRecordsPerRead});
    }
    if (auto append = m_appends.poll(now)) {
        actions.emplace_back(SendAppend{std::move(*append)});
    }
}

void LogSession::writeSnapshotIfDue(TimePoint now, bool isDesignated)
{
    if (!isCurrent() || !m_snapshots.isDue(now, m_state.applied(), m_head, isDesignated)) {
        return;
    }
    const auto parts = m_snapshots.split(now, writer(), m_state.applied(), m_state.snapshot());
    for (const SnapshotPart &part : parts) {
        push(part, AppendPriority::Fact);
    }
}

void LogSession::applyReadStatus(TimePoint now, const LogRead &read)
{
    m_isReadInFlight = false;
    m_isReachable = true;
    m_nextReadAt = now;
    m_lastReadSentAt = m_readSentAt;
    m_head = read.head;
    m_tail = read.tail;
}

void LogSession::observeRecord(TimePoint now, const LoggedEnvelope &logged)
{
    m_appends.onRead(logged);
    if (const auto *part = std::get_if<SnapshotPart>(&logged.envelope.record)) {
        m_snapshots.onRead(now, *part);
    }
}

void LogSession::resetAfterRestore(TimePoint now)
{
    m_appends.onRestored(m_state.writers().last(writer()));
    m_snapshots.onRestored(now, m_state.applied());
}

void LogSession::onReadFailed(TimePoint now)
{
    m_isReadInFlight = false;
    m_isReachable = false;
    m_nextReadAt = now + RetryDelay;
}

void LogSession::onAppendReply(TimePoint now, AppendResult result)
{
    m_appends.onReply(now, result);
}

std::optional<std::uint64_t> LogSession::push(Record record, AppendPriority priority)
{
    return m_appends.push(std::move(record), priority);
}

bool LogSession::adoptLists(const OperatorLists &lists)
{
    return m_state.getMutable<ListsFold>().adopt(lists);
}

nlohmann::json LogSession::dump() const
{
    return {{"reachable", m_isReachable},
            {"current", isCurrent()},
            {"head", m_head},
            {"tail", m_tail},
            {"applied", m_state.applied()},
            {"catchUp", m_catchUp.dump()},
            {"appends", m_appends.dump()},
            {"snapshots", m_snapshots.dump()}};
}

} // namespace firefly
