#pragma once

#include "Core/Clock.h"

#include <stdexcept>

namespace firefly {

/// Thrown for durations that would allow two owners of a worker at the same time.
class OwnershipTimesError : public std::invalid_argument
{
public:
    using std::invalid_argument::invalid_argument;
};

/// Durations that guarantee that a worker has at most one owner at a time.
struct OwnershipTimes
{
    Duration proofDuration = std::chrono::seconds(3); ///< Validity of a proof of ownership.
    /// Wait of a claimant from reading its claim back until it may act as the owner.
    Duration holdOff = std::chrono::seconds(4);
    Duration lease = std::chrono::seconds(20); ///< Lease that a sync grants to a worker's tasks.
    /// Maximum clock error over the longest wait that depends on these durations.
    Duration drift = std::chrono::milliseconds(500);
    Duration renewEvery = std::chrono::seconds(4); ///< Interval between syncs of one worker.
    /// Time after which an unanswered sync is retried.
    Duration syncTimeout = std::chrono::seconds(2);
    /// Workers refuse messages with an older term; false on platforms without such fencing.
    bool hasWorkerFencing = true;

    /// Checks the relations between the durations on which exclusive ownership depends.
    /// \throws OwnershipTimesError that names every relation that does not hold.
    void check() const;
    /// Time from reading a claim back until an earlier owner's tasks on a worker that never
    /// answered the new owner are guaranteed to have stopped.
    Duration expiryAfterClaim() const { return holdOff + 2 * lease + drift; }
    /// Time from a worker's last answer until its tasks are guaranteed to have stopped.
    Duration expiryAfterLastAnswer() const { return 2 * lease + drift; }
};

/// Safety mechanisms that a test may disable to show that an invariant fails without them.
struct SafetySwitches
{
    bool needsProof = true; ///< Authority expires without a current proof of ownership.
    bool needsFence = true; ///< A worker gets work only after it answered a sync with the term.
    bool awaitsTwoLeases = true; ///< A lost worker's tasks count as stopped after two leases.
    bool singleRenewal = true;   ///< A sync that timed out is retried with the same number.
};

/// Durations and switches that a test uses without OwnershipTimes::check().
struct UncheckedTimes
{
    OwnershipTimes times;
    SafetySwitches switches;
};

} // namespace firefly
