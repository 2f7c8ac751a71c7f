#pragma once

#include "Core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <random>

namespace firefly {

/// What a process reads from the store; the most important first.
enum class StoreReadKind { Configuration, Ownership, Directory, Workers, Layout };

/// Decides when a process reads the store again, so that the whole fleet stays within the calls
/// that the store grants.
///
/// Answers a retry storm: N processes whose reads are refused by a store that grants M < N calls a
/// second.  Failed reads back off exponentially, with jitter.  The longest delay grows with the
/// fleet and is shorter for the reads that matter more, so these get through first.
class StoreRetryPolicy
{
public:
    /// Mean delay after a first failure.
    static constexpr Duration FirstDelay = std::chrono::milliseconds(200);
    /// A delay differs from its mean by up to this fraction.
    static constexpr double Jitter = 0.25;
    /// Reads a second of one topic that all processes together make at most while it changes all
    /// the time, up to the fleet at which MaxPause is reached.
    static constexpr int FleetReadsPerSecond = 800;
    /// Shorter than the time after which an owner that publishes nothing is taken for lost.
    static constexpr Duration MaxPause = std::chrono::milliseconds(2000);

    /// \a seed makes the processes of a fleet differ.
    explicit StoreRetryPolicy(std::uint64_t seed)
        : m_random(seed)
    {}

    /// Sets the number of VMs that are known to run processes of the fleet; \a isComplete once all
    /// of them have had the time to become known.
    void setFleetSize(std::size_t vms, bool isComplete)
    {
        m_fleetSize = vms;
        m_isFleetComplete = isComplete;
    }
    std::size_t fleetSize() const { return m_fleetSize; }

    /// Time from the last of \a failures failed reads in a row to the next.  \pre failures > 0
    Duration delayAfter(StoreReadKind kind, int failures);
    /// Longest mean delay of a read of \a kind in this fleet; that of the largest fleets until
    /// all of the fleet is known.
    Duration longestDelay(StoreReadKind kind) const;
    /// Pause between two reads of a topic that changes all the time: \a usual, longer in a large
    /// fleet.
    Duration pauseBetweenReads(Duration usual) const;

    /// Number of calls of delayAfter(): failed reads, and failed appends to the directory.
    std::uint64_t failedReads() const { return m_failedReads; }

private:
    std::mt19937_64 m_random;
    std::size_t m_fleetSize = 0;
    bool m_isFleetComplete = false;
    std::uint64_t m_failedReads = 0;
};

} // namespace firefly
