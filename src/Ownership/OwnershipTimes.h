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

/// Mechanisms that a test may switch off to show that an invariant fails without them.
struct SafetySwitches
{
    bool needsProof = true;    ///< Authority expires without proof.
    bool needsFence = true;    ///< A worker gets work only after it answered a sync of the term.
    bool secondLease = true;   ///< Lost workers are awaited for two leases, not one.
    bool singleRenewal = true; ///< A sync that timed out is repeated with the same number.
};

/// Times and switches that a test builds without OwnershipTimes::check().
struct UncheckedTimes
{
    OwnershipTimes times;
    SafetySwitches switches;
};

} // namespace firefly
