#pragma once

#include "bench/policy/BatchSide.h"
#include "bench/policy/UrgentSide.h"
#include "bench/policy/World.h"

#include <cstdint>
#include <utility>

namespace firefly::bench {

/// Simulates one scenario with one policy and one seed.
template <typename Router, typename Placer, typename AdmissionRule>
Measures runScenario(const Scenario &scenario, const PolicyOptions &options, std::uint64_t seed)
{
    constexpr Duration TickInterval = std::chrono::milliseconds(250);
    constexpr Duration VmListLag = std::chrono::seconds(8);
    World world(scenario, options, seed);
    UrgentSide<Router, AdmissionRule> urgent(world);
    BatchSide<Placer> batch(world);
    world.events.push(TimePoint(TickInterval), {EventType::Tick});
    world.events.push(TimePoint(scenario.length), {EventType::End});
    if (scenario.effectShift.length() > Duration::zero()) {
        world.events.push(TimePoint(scenario.effectShift.from), {EventType::EffectShift});
    }
    if (scenario.lostZone.length() > Duration::zero()) {
        world.events.push(TimePoint(scenario.lostZone.from), {EventType::ZoneLost});
        world.events.push(TimePoint(scenario.lostZone.from + VmListLag), {EventType::ZoneRemoved});
    }
    while (true) {
        world.now = world.events.nextTime();
        const Event event = world.events.pop();
        if (event.type == EventType::End) {
            break;
        }
        if (event.type == EventType::Tick) {
            world.pool.tick(world.now);
            world.events.push(world.now + TickInterval, {EventType::Tick});
        } else if (event.type == EventType::EffectShift) {
            world.effects.swapMiddleKinds();
        } else if (event.type == EventType::ZoneRemoved) {
            world.removeLostZone();
        }
        urgent.handle(event);
        batch.handle(event);
    }
    batch.finishRun();
    Measures &measures = world.measures;
    for (const FakeWorker &it : world.workers) {
        measures.overruns += it.overruns();
    }
    measures.worstMinuteExtraRatio = world.extraLoad.worstMinuteRatio();
    const double seconds = std::chrono::duration<double>(scenario.length - scenario.warmUp).count();
    const double slots = double(scenario.site.workers) * double(WorkerCapacity.slots);
    measures.callCapacity = seconds * slots / (meanCallSeconds() * FullWorkerSlowdown);
    return std::move(measures);
}

} // namespace firefly::bench
