#include "bench/policy/World.h"

#include <algorithm>

namespace firefly::bench {
namespace {

constexpr Duration LocalRoundTrip = std::chrono::microseconds(500);
constexpr double JitterShare = 0.1;
constexpr double SlowLinkExtraUs = 60000; ///< Mean delay that a slow link adds.
constexpr double SlowLinkLoss = 0.1;
constexpr std::size_t RackSize = 8;

RoutingSettings routingSettings(const PolicyOptions &options)
{
    RoutingSettings settings;
    settings.initialLatency = Duration(Duration::rep(MedianCallUs));
    if (!options.hasEjection) {
        settings.ejection.maxEjectedShare = 0;
    }
    return settings;
}

std::mt19937_64 makeRandom(std::uint64_t seed, std::uint64_t stream)
{
    std::seed_seq sequence{seed, stream};
    return std::mt19937_64(sequence);
}

HiddenEffects drawEffects(std::uint64_t seed)
{
    std::mt19937_64 random = makeRandom(seed, 1);
    return HiddenEffects(random);
}

} // namespace

World::World(const Scenario &scenario, const PolicyOptions &options, std::uint64_t seed)
    : scenario(scenario)
    , options(options)
    , pool(routingSettings(options))
    , effects(drawEffects(seed))
    , arrivals(scenario, seed)
    , networkRandom(makeRandom(seed, 2))
    , policyRandom(makeRandom(seed, 3))
{
    for (std::size_t from = 0; from < ZoneCount; ++from) {
        for (std::size_t to = 0; to < from; ++to) {
            pool.links().setConfiguredRoundTrip(zoneId(from), zoneId(to),
                                                scenario.site.zoneRoundTrip);
        }
    }
    for (std::size_t i = 0; i < scenario.site.workers; ++i) {
        WorkerInfo info{.id = WorkerId("worker" + std::to_string(i)), .zone = zoneId(zoneOf(i))};
        info.rack = "rack" + std::to_string(i / RackSize);
        info.capacity = WorkerCapacity;
        pool.update(info, now);
        workers.emplace_back(WorkerCapacity);
    }
}

RoundTrip World::drawRoundTrip(std::size_t zone, std::size_t worker)
{
    const std::size_t to = zoneOf(worker);
    RoundTrip it;
    const Duration base = zone == to ? LocalRoundTrip : scenario.site.zoneRoundTrip;
    std::exponential_distribution<double> jitter(1 / (JitterShare * double(base.count())));
    it.delay = base + Duration(Duration::rep(jitter(networkRandom)));
    const bool isSlow =
        scenario.slowLink.contains(elapsed()) && std::min(zone, to) == 0 && std::max(zone, to) == 1;
    if (isSlow) {
        std::exponential_distribution<double> extra(1 / SlowLinkExtraUs);
        it.delay += Duration(Duration::rep(extra(networkRandom)));
        it.isLost = std::bernoulli_distribution(SlowLinkLoss)(networkRandom);
    }
    it.isLost = it.isLost || isLost(to);
    return it;
}

bool World::isFailing(std::size_t worker) const
{
    return worker == FailingWorker && scenario.failingWorker.contains(elapsed());
}

bool World::isLost(std::size_t zone) const
{
    return zone == LostZone && scenario.lostZone.contains(elapsed());
}

std::size_t World::entryZone(std::size_t callerZone) const
{
    return isLost(callerZone) ? 0 : callerZone;
}

void World::removeLostZone()
{
    for (std::size_t i = 0; i < scenario.site.workers; ++i) {
        if (zoneOf(i) == LostZone) {
            pool.remove(WorkerId("worker" + std::to_string(i)));
        }
    }
}

} // namespace firefly::bench
