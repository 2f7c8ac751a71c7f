#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <memory>

namespace firefly {

/// Histogram of durations from 10 us to 100 s with logarithmic bins, based on Boost.Histogram.
///
/// Quantiles are accurate to one bin width, about 5 %.  Memory is constant, about 3 KB.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&) noexcept;
    LatencyHistogram &operator=(LatencyHistogram &&) noexcept;

    void record(Duration latency);
    std::uint64_t count() const;
    /// Upper edge of the bin that contains the quantile \a fraction, from 0 to 1; 0 if empty.
    Duration quantile(double fraction) const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace firefly
