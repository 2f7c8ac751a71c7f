#pragma once

#include "Core/Clock.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace firefly::bench {

constexpr std::size_t ZoneCount = 3;
constexpr std::size_t KindCount = 4;

/// A user's cluster at its current size.
struct Site
{
    std::string name;
    std::size_t workers = 0;
    Duration zoneRoundTrip{};
    double urgentWeight = 0; ///< This user's choice of the setting.
};

/// Half-open time interval of an event; an empty one means that the event does not occur.
struct Span
{
    Duration from{};
    Duration to{};

    bool contains(Duration at) const { return from <= at && at < to; }
    Duration length() const { return to - from; }
};

/// Load and faults of a run, without its random variation.
struct Scenario
{
    std::string name;
    Site site;
    Duration length = std::chrono::seconds(150);
    Duration warmUp = std::chrono::seconds(20); ///< Not measured.
    double urgentLoad = 0.35;     ///< Share of urgent slots busy without interference.
    double batchLoad = 0.35;      ///< Share of the processors declared by batch jobs.
    std::vector<Span> noisyWaves; ///< Noisy jobs arrive at NoisyWaveFactor of their rate.
    Span loadShift;               ///< Urgent load times LoadShiftFactor, unevenly over zones.
    Span effectShift;             ///< Two kinds swap their effects on urgent calls.
    Span failingWorker;           ///< One worker immediately fails every call.
    Span slowLink;                ///< The link of two zones is slow and loses calls.
    Span lostZone;                ///< One zone is unreachable; the VM list shows it late.
};

/// All scenarios, or those whose name contains \a filter.
std::vector<Scenario> makeScenarios(const std::string &filter);

} // namespace firefly::bench
