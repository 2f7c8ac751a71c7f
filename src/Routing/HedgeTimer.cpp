#include "Routing/HedgeTimer.h"

#include <algorithm>

namespace firefly {
namespace {

constexpr double RelativeStep = 0.05;
constexpr double MinDelayUs = 1000;

} // namespace

void HedgeTimer::record(Duration latency)
{
    const bool slower = double(latency.count()) > m_delayUs;
    const double move = slower ? m_quantile : m_quantile - 1;
    m_delayUs = std::max(MinDelayUs, m_delayUs * (1 + RelativeStep * move));
}

} // namespace firefly
