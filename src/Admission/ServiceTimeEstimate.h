#pragma once

#include "Core/Clock.h"

namespace firefly {

/// Moving averages of a service's latency and of its absolute deviation from the mean.
class ServiceTimeEstimate
{
public:
    explicit ServiceTimeEstimate(Duration initial)
        : m_meanUs(double(initial.count()))
        , m_deviationUs(0)
    {}

    void record(Duration latency);
    Duration mean() const { return Duration(Duration::rep(m_meanUs)); }
    Duration deviation() const { return Duration(Duration::rep(m_deviationUs)); }

private:
    double m_meanUs;
    double m_deviationUs;
};

} // namespace firefly
