#pragma once

#include "Core/Clock.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace firefly::bench {

constexpr std::size_t ZoneCount = 3;
constexpr std::size_t KindCount = 4;

/// A user's cluster at today's size.
struct Site
{
    std::string name;
    std::size_t workers = 0;
    Duration zoneRoundTrip{};
    double urgentWeight = 0; ///< Where this user puts the one weight of the settings.
};

/// From when to when something happens; never when empty.
struct Span
{
    Duration from{};
    Duration to{};

    bool contains(Duration at) const { return from <= at && at < to; }
    Duration length() const { return to - from; }
};

/// What happens in a run, apart from chance.
struct Scenario
{
    std::string name;
    Site site;
    Duration length = std::chrono::seconds(150);
    Duration warmUp = std::chrono::seconds(20); ///< Not measured.
    double urgentLoad = 0.35;                   ///< Share of the urgent slots busy, undisturbed.
    double batchLoad = 0.35;                    ///< Share of the processors declared by batch jobs.
    std::vector<Span> noisyWaves;               ///< Noisy jobs arrive at WaveFactor of their rate.
    Span loadShift;     ///< Urgent load times LoadShiftFactor, zones uneven.
    Span hiddenShift;   ///< Hidden slowdowns change places.
    Span failingWorker; ///< One worker fails everything at once.
    Span slowLink;      ///< One zone link is slow and loses calls.
    Span lostZone;      ///< One zone is gone; the VM list says so late.
};

/// All scenarios, or those whose name contains \a filter.
std::vector<Scenario> scenarios(const std::string &filter);

} // namespace firefly::bench
