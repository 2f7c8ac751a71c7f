#pragma once

#include "Core/Clock.h"

namespace firefly {

/// Mean and deviation of the time that a service's calls take.
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
