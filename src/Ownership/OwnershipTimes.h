#pragma once

#include "Core/Clock.h"

#include <stdexcept>

namespace firefly {

/// Thrown for durations under which ownership would not be safe.
class OwnershipTimesError : public std::invalid_argument
{
public:
    using std::invalid_argument::invalid_argument;
};

/// Durations on which exclusive ownership of workers rests.
struct OwnershipTimes
{
    Duration proofDuration = std::chrono::seconds(3); ///< How long a proof of ownership holds.
    Duration holdOff = std::chrono::seconds(4); ///< Wait of a claimant after reading its claim.
    Duration lease = std::chrono::seconds(20);  ///< Lease that a sync grants to a worker's tasks.
    Duration drift = std::chrono::milliseconds(500); ///< Clock error over the longest wait here.
    Duration renewEvery = std::chrono::seconds(4);   ///< Interval between syncs of one worker.
    Duration syncTimeout = std::chrono::seconds(2);  ///< When an unanswered sync is sent again.
    bool workersFence = true; ///< Workers refuse older terms; false for platforms that do not.

    /// Checks the relations that safety needs.
    /// \throws OwnershipTimesError that names every relation that does not hold.
    void check() const;
    /// Wait from reading a claim back until tasks of an earlier owner on an unreachable worker
    /// have surely stopped.
    Duration strangerWait() const { return holdOff + 2 * lease + drift; }
    /// Wait from the last answer of a worker until its tasks have surely stopped.
    Duration silenceWait() const { return 2 * lease + drift; }
};

/// Marks a construction in a test that skips OwnershipTimes::check().
struct UncheckedTimes
{
    OwnershipTimes times;
};

} // namespace firefly
