#pragma once

#include "Core/Clock.h"

namespace firefly {

/// Estimates the delay after which a call of one service is slow enough to send a hedge.
///
/// Tracks a high quantile of the latencies by stochastic approximation, in constant memory and
/// constant time per call.
class HedgeDelayEstimator
{
public:
    explicit HedgeDelayEstimator(Duration initial = std::chrono::milliseconds(50),
                                 double quantile = 0.95)
        : m_delayUs(double(initial.count()))
        , m_quantile(quantile)
    {}

    /// Updates the quantile with the latency of a call that ended.
    void record(Duration latency);
    /// Delay after which an idempotent call may be hedged, that is, sent a second time.
    Duration delay() const { return Duration(Duration::rep(m_delayUs)); }

private:
    double m_delayUs;
    double m_quantile;
};

} // namespace firefly
