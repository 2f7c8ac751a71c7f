#include "Admission/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace firefly {
namespace {

constexpr double MicrosecondsPerSecond = 1e6;

} // namespace

bool TokenBucket::tryConsume(TimePoint now)
{
    refill(now);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void TokenBucket::refund()
{
    m_tokens = std::min(m_tokens + 1, m_capacity);
}

Duration TokenBucket::timeUntilNext(TimePoint now)
{
    refill(now);
    const double missing = std::max(0.0, 1 - m_tokens);
    return Duration(Duration::rep(std::ceil(missing / m_perSecond * MicrosecondsPerSecond)));
}

void TokenBucket::refill(TimePoint now)
{
    const double seconds = double((now - m_lastRefill).count()) / MicrosecondsPerSecond;
    m_tokens = std::min(m_tokens + seconds * m_perSecond, m_capacity);
    m_lastRefill = now;
}

} // namespace firefly
