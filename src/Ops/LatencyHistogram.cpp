#include "Ops/LatencyHistogram.h"

#include <boost/histogram.hpp>

#include <algorithm>

namespace firefly {
namespace {

namespace bh = boost::histogram;

constexpr unsigned Bins = 320;
constexpr double LowestUs = 10.0;
constexpr double HighestUs = 100e6;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;

auto makeHistogram()
{
    return bh::make_histogram(Axis(Bins, LowestUs, HighestUs));
}

} // namespace

struct LatencyHistogram::Private
{
    decltype(makeHistogram()) histogram = makeHistogram();
    std::uint64_t count = 0;
};

LatencyHistogram::LatencyHistogram()
    : m_private(std::make_unique<Private>())
{}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&) noexcept = default;
LatencyHistogram &LatencyHistogram::operator=(LatencyHistogram &&) noexcept = default;

void LatencyHistogram::record(Duration latency)
{
    m_private->histogram(std::max(LowestUs, static_cast<double>(latency.count())));
    ++m_private->count;
}

std::uint64_t LatencyHistogram::count() const
{
    return m_private->count;
}

Duration LatencyHistogram::quantile(double fraction) const
{
    const double targetCount = fraction * static_cast<double>(m_private->count);
    double cumulativeCount = 0;
    for (auto &&bin : bh::indexed(m_private->histogram, bh::coverage::all)) {
        cumulativeCount += static_cast<double>(*bin);
        if (cumulativeCount > 0 && cumulativeCount >= targetCount) {
            return Duration(static_cast<Duration::rep>(std::min(bin.bin().upper(), HighestUs)));
        }
    }
    return Duration::zero();
}

} // namespace firefly
