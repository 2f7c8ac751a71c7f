#pragma once

#include "bench/policy/Arrivals.h"
#include "bench/policy/EventQueue.h"
#include "bench/policy/ExtraLoad.h"
#include "bench/policy/FakeWorker.h"
#include "bench/policy/HiddenEffects.h"
#include "bench/policy/Measures.h"
#include "bench/policy/PolicyOptions.h"
#include "bench/policy/Scenario.h"
#include "Routing.h"

#include <cstdint>
#include <random>
#include <vector>

namespace firefly::bench {

/// Type of a simulated event.
enum class EventType : std::uint8_t {
    UrgentArrival,
    AttemptEnd,
    Hedge,
    QueueExpiry,
    BatchArrival,
    TaskEnd,
    WorkerSync,
    Tick,
    EffectShift,
    ZoneLost,
    ZoneRemoved,
    End,
};

/// A simulated event; the meaning of \a subject and \a version depends on its type.
struct Event
{
    EventType type = EventType::End;
    std::uint32_t subject = 0;
    std::uint64_t version = 0;
};

/// Network delay and loss of one call to a worker.
struct RoundTrip
{
    Duration delay{};    ///< Of request and reply together.
    bool isLost = false; ///< The call gets no reply.
};

/// State of one simulated run: workers, links, faults, events and results.
class World
{
public:
    World(const Scenario &scenario, const PolicyOptions &options, std::uint64_t seed);

    Duration elapsed() const { return now.time_since_epoch(); }
    /// Whether the warm-up is over.
    bool isMeasured() const { return elapsed() >= scenario.warmUp; }
    /// Draws the round trip of a call from an entry in \a zone to \a worker.
    RoundTrip drawRoundTrip(std::size_t zone, std::size_t worker);
    bool isFailing(std::size_t worker) const;
    bool isLost(std::size_t zone) const;
    /// Zone of the entry that gets a caller's request: its own, or zone 0 if its own is lost.
    std::size_t entryZone(std::size_t callerZone) const;
    /// Removes the workers of the lost zone from the pool, once the VM list shows their loss.
    void removeLostZone();

    static ZoneId zoneId(std::size_t zone) { return ZoneId("zone" + std::to_string(zone)); }
    static std::size_t zoneOf(std::size_t worker) { return worker % ZoneCount; }
    static constexpr std::size_t FailingWorker = 3;
    static constexpr std::size_t LostZone = 2;

    const Scenario &scenario;
    const PolicyOptions &options;
    TimePoint now{};
    EventQueue<Event> events;
    WorkerPool pool;
    std::vector<FakeWorker> workers; ///< By WorkerIndex.
    HiddenEffects effects;
    Arrivals arrivals;
    Measures measures;
    ExtraLoad extraLoad;
    std::mt19937_64 networkRandom; ///< For the network.
    std::mt19937_64 policyRandom;  ///< For the decisions of the policies.
};

} // namespace firefly::bench
