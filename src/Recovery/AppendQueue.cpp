#include "Recovery/AppendQueue.h"

#include "Core/Assert.h"
#include "Records/Codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace firefly {

AppendQueue::AppendQueue(WriterId writer, AppendQueueLimits limits)
    : m_writer(std::move(writer))
    , m_limits(limits)
{}

std::optional<std::uint64_t> AppendQueue::push(Record record, AppendPriority priority)
{
    if (!hasRoom(priority)) {
        return std::nullopt;
    }
    Pending pending;
    pending.envelope = {m_writer, ++m_lastSequence, std::move(record)};
    pending.bytes = encode(pending.envelope).size();
    m_pendingBytes += pending.bytes;
    m_pending.push_back(std::move(pending));
    return m_lastSequence;
}

std::optional<LogAppend> AppendQueue::poll(TimePoint now)
{
    if (isInFlight() || m_pending.empty() || now < m_notBefore) {
        return std::nullopt;
    }
    LogAppend append;
    const std::size_t n = batchSize();
    append.envelopes.reserve(n);
    for (std::size_t i = 0; i < n; ++i) {
        append.envelopes.push_back(m_pending[i].envelope);
    }
    m_inFlight = append.envelopes.back().sequence;
    m_notBefore = now + m_limits.flushInterval;
    return append;
}

void AppendQueue::onReply(TimePoint now, AppendResult result)
{
    FIREFLY_ASSERT(isInFlight(), "a reply requires an append in flight");
    const std::uint64_t sentSequence = std::exchange(m_inFlight, 0);
    if (result == AppendResult::Done) {
        removeConfirmed(sentSequence);
        return;
    }
    m_notBefore = now + m_limits.retryDelay;
    ++m_retries;
}

bool AppendQueue::onRead(const LoggedEnvelope &logged)
{
    const Envelope &envelope = logged.envelope;
    if (envelope.writer != m_writer || envelope.sequence <= m_readBack) {
        return false;
    }
    FIREFLY_ASSERT(envelope.sequence <= m_lastSequence, "only one process may use a writer's name");
    m_readBack = envelope.sequence;
    removeConfirmed(m_readBack);
    return true;
}

void AppendQueue::onRestored(std::uint64_t sequence)
{
    FIREFLY_ASSERT(sequence <= m_lastSequence, "only one process may use a writer's name");
    m_readBack = std::max(m_readBack, sequence);
    removeConfirmed(m_readBack);
}

bool AppendQueue::hasRoom(AppendPriority priority) const
{
    const double share = priority == AppendPriority::NewWork ? m_limits.newWorkShare : 1.0;
    const auto isBelow = [share](std::size_t amount, std::size_t limit) {
        return static_cast<double>(amount) < share * static_cast<double>(limit);
    };
    return isBelow(m_pending.size(), m_limits.maxPending)
           && isBelow(m_pendingBytes, m_limits.maxPendingBytes);
}

std::size_t AppendQueue::batchSize() const
{
    std::size_t n = 0;
    std::size_t bytes = 0;
    for (const Pending &it : m_pending) {
        bytes += it.bytes;
        if (n > 0 && (n >= m_limits.maxBatch || bytes > m_limits.maxBatchBytes)) {
            break;
        }
        ++n;
    }
    return n;
}

void AppendQueue::removeConfirmed(std::uint64_t sequence)
{
    while (!m_pending.empty() && m_pending.front().envelope.sequence <= sequence) {
        m_pendingBytes -= m_pending.front().bytes;
        m_pending.pop_front();
    }
}

nlohmann::json AppendQueue::dump() const
{
    return {{"writer", m_writer.value()},
            {"pending", m_pending.size()},
            {"pendingBytes", m_pendingBytes},
            {"lastSequence", m_lastSequence},
            {"readBack", m_readBack},
            {"inFlight", m_inFlight},
            {"repeats", m_retries}};
}

} // namespace firefly
