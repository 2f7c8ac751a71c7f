#pragma once

#include "Core/Clock.h"

namespace firefly {

/// Token bucket that gains \a perSecond tokens per second and holds at most \a capacity; it starts
/// full.
class TokenBucket
{
public:
    TokenBucket(double perSecond, double capacity, TimePoint now)
        : m_perSecond(perSecond)
        , m_capacity(capacity)
        , m_tokens(capacity)
        , m_lastRefill(now)
    {}

    /// Consumes one token; false when there is none.
    bool tryConsume(TimePoint now);
    /// Returns one consumed token.
    void refund();
    /// Time until a token is available; zero when one is.
    Duration timeUntilNext(TimePoint now);

private:
    void refill(TimePoint now);

    double m_perSecond;
    double m_capacity;
    double m_tokens;
    TimePoint m_lastRefill;
};

} // namespace firefly
