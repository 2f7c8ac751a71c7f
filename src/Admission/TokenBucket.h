#pragma once

#include "Core/Clock.h"

namespace firefly {

/// Token bucket: \a perSecond tokens a second, at most \a capacity saved up.
class TokenBucket
{
public:
    TokenBucket(double perSecond, double capacity, TimePoint now)
        : m_perSecond(perSecond)
        , m_capacity(capacity)
        , m_tokens(capacity)
        , m_updated(now)
    {}

    /// Takes one token if there is one.
    bool tryTake(TimePoint now);
    /// Puts one token back.
    void putBack();
    /// Time until a token is there.
    Duration untilNext(TimePoint now);

private:
    void refill(TimePoint now);

    double m_perSecond;
    double m_capacity;
    double m_tokens;
    TimePoint m_updated;
};

} // namespace firefly
