#pragma once

#include "Core/Clock.h"

namespace firefly {

/// Learns after which delay a call of one service counts as slow, so that a hedge is worth it.
///
/// Tracks a high quantile of the latencies by stochastic approximation: constant memory and time.
class HedgeTimer
{
public:
    explicit HedgeTimer(Duration initial = std::chrono::milliseconds(50), double quantile = 0.95)
        : m_delayUs(double(initial.count()))
        , m_quantile(quantile)
    {}

    /// Learns from a call that ended.
    void record(Duration latency);
    /// Delay after which an idempotent call may be sent a second time.
    Duration delay() const { return Duration(Duration::rep(m_delayUs)); }

private:
    double m_delayUs;
    double m_quantile;
};

} // namespace firefly
