#include "Ops/Metrics.h"

#include <nlohmann/json.hpp>

#include <array>
#include <sstream>

namespace firefly {
namespace {

constexpr std::array<double, 3> Quantiles = {0.5, 0.99, 0.999};
constexpr double MicrosecondsPerSecond = 1e6;

template <typename Map>
auto &findOrInsert(Map &map, std::string_view name)
{
    const auto it = map.find(name);
    return it != map.end() ? it->second : map[std::string(name)];
}

double seconds(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerSecond;
}

} // namespace

void Metrics::add(std::string_view counter, std::uint64_t increment)
{
    findOrInsert(m_counters, counter) += increment;
}

void Metrics::set(std::string_view gauge, double value)
{
    findOrInsert(m_gauges, gauge) = value;
}

void Metrics::record(std::string_view histogram, Duration latency)
{
    findOrInsert(m_histograms, histogram).record(latency);
}

std::string Metrics::exposition() const
{
    std::ostringstream out;
    for (const auto &[name, value] : m_counters) {
        out << name << ' ' << value << '\n';
    }
    for (const auto &[name, value] : m_gauges) {
        out << name << ' ' << value << '\n';
    }
    for (const auto &[name, histogram] : m_histograms) {
        for (const double fraction : Quantiles) {
            out << name << "{quantile=\"" << fraction << "\"} "
                << seconds(histogram.quantile(fraction)) << '\n';
        }
        out << name << "_count " << histogram.count() << '\n';
    }
    return out.str();
}

nlohmann::json Metrics::dump() const
{
    nlohmann::json json;
    json["counters"] = m_counters;
    json["gauges"] = m_gauges;
    for (const auto &[name, histogram] : m_histograms) {
        json["latencies"][name] = {{"count", histogram.count()},
                                   {"p50Us", histogram.quantile(0.5).count()},
                                   {"p99Us", histogram.quantile(0.99).count()},
                                   {"p999Us", histogram.quantile(0.999).count()}};
    }
    return json;
}

} // namespace firefly
