#pragma once

#include "Ops/LatencyHistogram.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace firefly {

/// Named counters, gauges and latency histograms of one process.
///
/// A name is a Prometheus metric name with optional labels, as in
/// "firefly_calls_total{outcome=\"answer\"}".
class Metrics
{
public:
    /// Increments a counter, which starts at 0.
    void add(std::string_view counter, std::uint64_t increment = 1);
    /// Sets a gauge.
    void set(std::string_view gauge, double value);
    /// Adds a value to a histogram.
    void record(std::string_view histogram, Duration latency);

    /// Text in the Prometheus exposition format.
    std::string exposition() const;
    /// The same values as a JSON object.
    nlohmann::json dump() const;

private:
    std::map<std::string, std::uint64_t, std::less<>> m_counters;
    std::map<std::string, double, std::less<>> m_gauges;
    std::map<std::string, LatencyHistogram, std::less<>> m_histograms;
};

} // namespace firefly
