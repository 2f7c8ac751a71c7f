#include "Routing/HedgeDelayEstimator.h"

#include <algorithm>

namespace firefly {
namespace {

constexpr double RelativeStep = 0.05; ///< Of the current delay, per latency.
constexpr double MinDelayUs = 1000;

} // namespace

void HedgeDelayEstimator::record(Duration latency)
{
    const bool isSlower = double(latency.count()) > m_delayUs;
    const double step = isSlower ? m_quantile : m_quantile - 1;
    m_delayUs = std::max(MinDelayUs, m_delayUs * (1 + RelativeStep * step));
}

} // namespace firefly
