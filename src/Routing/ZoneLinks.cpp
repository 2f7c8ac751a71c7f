#include "Routing/ZoneLinks.h"

#include "Routing/Decay.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace firefly {
namespace {

/// Weight of one call in the moving averages of a link.
constexpr double ExcessGain = 0.02;
constexpr double LossGain = 0.1;
constexpr Duration LinkHalfLife = std::chrono::seconds(5);

} // namespace

ZoneIndex ZoneLinks::index(const ZoneId &zone)
{
    const auto next = static_cast<ZoneIndex>(m_zones.size());
    const auto [it, inserted] = m_indexOfZone.try_emplace(zone, next);
    if (!inserted) {
        return it->second;
    }
    m_zones.push_back(zone);
    for (auto &row : m_links) {
        row.resize(m_zones.size());
    }
    m_links.emplace_back(m_zones.size());
    return next;
}

void ZoneLinks::setConfiguredRoundTrip(const ZoneId &a, const ZoneId &b, Duration roundTrip)
{
    const ZoneIndex from = index(a);
    const ZoneIndex to = index(b);
    m_links[from][to].configuredUs = double(roundTrip.count());
    m_links[to][from].configuredUs = double(roundTrip.count());
}

void ZoneLinks::recordAnswer(ZoneIndex from, ZoneIndex to, Duration linkTime, TimePoint now)
{
    Link &link = m_links[from][to];
    decay(link, now);
    link.lossShare -= LossGain * link.lossShare;
    if (from == to) {
        return; // Latency within a zone is attributed to the worker.
    }
    const double excessUs = double(linkTime.count()) - link.configuredUs;
    link.excessUs = std::max(0.0, link.excessUs + ExcessGain * (excessUs - link.excessUs));
}

void ZoneLinks::recordLoss(ZoneIndex from, ZoneIndex to, TimePoint now)
{
    Link &link = m_links[from][to];
    decay(link, now);
    link.lossShare += LossGain * (1 - link.lossShare);
}

void ZoneLinks::decay(Link &link, TimePoint now) const
{
    const double weight = internal::decayFactor(now - link.updated, LinkHalfLife);
    link.excessUs *= weight;
    link.lossShare *= weight;
    link.updated = now;
}

Duration ZoneLinks::roundTrip(ZoneIndex from, ZoneIndex to, TimePoint now) const
{
    const Link &link = m_links[from][to];
    const double weight = internal::decayFactor(now - link.updated, LinkHalfLife);
    return Duration(Duration::rep(link.configuredUs + weight * link.excessUs));
}

double ZoneLinks::lossShare(ZoneIndex from, ZoneIndex to, TimePoint now) const
{
    const Link &link = m_links[from][to];
    return link.lossShare * internal::decayFactor(now - link.updated, LinkHalfLife);
}

nlohmann::json ZoneLinks::dump(TimePoint now) const
{
    nlohmann::json links = nlohmann::json::array();
    const auto zones = ZoneIndex(size());
    for (ZoneIndex from = 0; from < zones; ++from) {
        for (ZoneIndex to = 0; to < zones; ++to) {
            links.push_back({{"from", m_zones[from].value()},
                             {"to", m_zones[to].value()},
                             {"roundTripUs", roundTrip(from, to, now).count()},
                             {"lossShare", lossShare(from, to, now)}});
        }
    }
    return links;
}

} // namespace firefly
