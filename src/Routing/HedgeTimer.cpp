#include "Routing/HedgeTimer.h"

#include <algorithm>

namespace firefly {
namespace {

constexpr double RelativeStep = 0.05;
constexpr double MinDelayUs = 1000;

/// A worker slowed by more does not advance the hedge any further.
constexpr double MaxAdvance = 3;

} // namespace

Duration HedgeTimer::delay(double expectedSlowdown) const
{
    return Duration(Duration::rep(m_delayUs / std::clamp(expectedSlowdown, 1.0, MaxAdvance)));
}

void HedgeTimer::record(Duration latency)
{
    const bool slower = double(latency.count()) > m_delayUs;
    const double move = slower ? m_quantile : m_quantile - 1;
    m_delayUs = std::max(MinDelayUs, m_delayUs * (1 + RelativeStep * move));
}

} // namespace firefly
