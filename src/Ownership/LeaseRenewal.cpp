#include "Ownership/LeaseRenewal.h"

#include "Core/Assert.h"

namespace firefly {

std::optional<std::uint64_t> LeaseRenewal::next(TimePoint now, const OwnershipTimes &times,
                                                bool singleRenewal)
{
    if (now < nextDue(times)) {
        return std::nullopt;
    }
    const bool repeats = m_number > m_granted && singleRenewal;
    if (!repeats) {
        ++m_number;
    }
    FIREFLY_ASSERT(!singleRenewal || m_number == m_granted + 1,
                   "at most one renewal is in flight per lease");
    m_awaited = true;
    m_sentAt = now;
    return m_number;
}

bool LeaseRenewal::onAnswer(std::uint64_t number, TimePoint now)
{
    if (number <= m_granted || number > m_number) {
        return false;
    }
    m_granted = number;
    m_awaited = m_awaited && number < m_number;
    m_answeredAt = now;
    return true;
}

void LeaseRenewal::onFailure(std::uint64_t number)
{
    if (number == m_number) {
        m_awaited = false;
    }
}

TimePoint LeaseRenewal::nextDue(const OwnershipTimes &times) const
{
    if (m_number == 0) {
        return TimePoint::min();
    }
    const bool answered = m_number == m_granted;
    return m_sentAt + (answered ? times.renewEvery : times.syncTimeout);
}

} // namespace firefly
