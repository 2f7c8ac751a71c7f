#include "Ownership/LeaseRenewal.h"

#include "Core/Assert.h"

namespace firefly {

std::optional<std::uint64_t> LeaseRenewal::nextNumber(TimePoint now, const OwnershipTimes &times,
                                                      bool singleRenewal)
{
    if (now < nextDue(times)) {
        return std::nullopt;
    }
    const bool isRetry = m_lastSent > m_granted && singleRenewal;
    if (!isRetry) {
        ++m_lastSent;
    }
    FIREFLY_ASSERT(!singleRenewal || m_lastSent == m_granted + 1,
                   "at most one renewal is in flight per lease");
    m_isInFlight = true;
    m_sentAt = now;
    return m_lastSent;
}

bool LeaseRenewal::onAnswer(std::uint64_t number, TimePoint now)
{
    if (number <= m_granted || number > m_lastSent) {
        return false;
    }
    m_granted = number;
    m_isInFlight = m_isInFlight && number < m_lastSent;
    m_answeredAt = now;
    return true;
}

void LeaseRenewal::onFailure(std::uint64_t number)
{
    if (number == m_lastSent) {
        m_isInFlight = false;
    }
}

TimePoint LeaseRenewal::nextDue(const OwnershipTimes &times) const
{
    if (m_lastSent == 0) {
        return TimePoint::min();
    }
    const bool answered = m_lastSent == m_granted;
    return m_sentAt + (answered ? times.renewEvery : times.syncTimeout);
}

} // namespace firefly
