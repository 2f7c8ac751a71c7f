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

enum class EventType : std::uint8_t {
    UrgentArrival,
    AttemptEnd,
    Hedge,
    QueueExpiry,
    BatchArrival,
    TaskEnd,
    WorkerSync,
    Tick,
    HiddenShift,
    ZoneLost,
    ZoneDropped,
    End,
};

/// Something that happens; what \a subject and \a version mean depends on the type.
struct Event
{
    EventType type = EventType::End;
    std::uint32_t subject = 0;
    std::uint64_t version = 0;
};

/// What one call to a worker meets on its way.
struct Passage
{
    Duration delay{};  ///< There and back.
    bool lost = false; ///< No answer will come.
};

/// The workers, links and faults of one run, and what is measured of it.
class World
{
public:
    World(const Scenario &scenario, const PolicyOptions &options, std::uint64_t seed);

    Duration elapsed() const { return now.time_since_epoch(); }
    bool isMeasured() const { return elapsed() >= scenario.warmUp; }
    /// Draws the way of a call from an entry in \a zone to \a worker and back.
    Passage passage(std::size_t zone, std::size_t worker);
    bool failsEverything(std::size_t worker) const;
    bool isLost(std::size_t zone) const;
    /// Zone whose entry takes a caller's request: its own unless that is lost.
    std::size_t entryZone(std::size_t callerZone) const;
    /// Takes the lost zone's workers out of the pool, as the VM list does late.
    void dropLostZone();

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
    std::mt19937_64 chance;   ///< Of the network.
    std::mt19937_64 decision; ///< Of the policies.
};

} // namespace firefly::bench
