#include "Admission/ServiceTimeEstimate.h"

#include <cmath>

namespace firefly {
namespace {

/// Weight of one latency in the moving averages.
constexpr double Gain = 0.02;

} // namespace

void ServiceTimeEstimate::record(Duration latency)
{
    const double error = double(latency.count()) - m_meanUs;
    m_meanUs += Gain * error;
    m_deviationUs += Gain * (std::abs(error) - m_deviationUs);
}

} // namespace firefly
