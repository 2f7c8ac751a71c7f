#pragma once

#include "Core/Id.h"
#include "Core/Outcome.h"
#include "Core/Resources.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace firefly {

/// An entry claims a shard; the offset of the record becomes the term.
struct ShardClaimed
{
    EntryId entry;
    ShardId shard;
    Term previousTerm = 0; ///< Term known to the claimant; the claim is stale if it has changed.
};

/// An owner releases a shard, after its last message to the shard's workers was answered.
struct ShardReleased
{
    EntryId entry;
    ShardId shard;
    Term term = 0;
};

/// Assignment of customers to plans.
struct PlansList
{
    std::map<std::string, std::string> planOfCustomer;

    bool operator==(const PlansList &) const = default;
};

/// Quota of one plan.
struct PlanLimits
{
    Resources resources;              ///< Maximum total of the plan's running calls and jobs.
    std::vector<std::string> zones;   ///< Zones the plan may run in; empty means all.
    std::int64_t urgentPerSecond = 0; ///< Urgent requests a second; 0 means no limit.
    std::int64_t weight = 1;          ///< Share under overload, relative to the other plans.

    bool operator==(const PlanLimits &) const = default;
};

/// Limits of each plan.
struct LimitsList
{
    std::map<std::string, PlanLimits> limitsOfPlan;

    bool operator==(const LimitsList &) const = default;
};

/// An operator replaced the list of plans.
struct PlansEdited
{
    std::string author;
    Offset baseVersion = 0; ///< Version the edit was based on.
    PlansList list;
};

/// An operator replaced the list of limits.
struct LimitsEdited
{
    std::string author;
    Offset baseVersion = 0; ///< Version the edit was based on.
    LimitsList list;
};

/// Declaration of a batch job by its caller.
struct BatchJobSpec
{
    CustomerId customer;
    std::string kind; ///< For example "rebuild" or "stratified-run".
    Resources resources;
    std::int64_t runtimeMs = 0; ///< Declared run time, often inaccurate.
    std::string payload;

    bool operator==(const BatchJobSpec &) const = default;
};

/// A batch job was accepted.
struct JobSubmitted
{
    JobId job;
    BatchJobSpec spec;
};

/// An owner decided to run an attempt of a job on one of its workers.
struct JobPlaced
{
    JobId job;
    std::uint64_t attempt = 0; ///< 1 for the first.
    WorkerId worker;
    ShardId shard;
    Term term = 0;
};

/// An attempt made a checkpoint; its progress is kept when the attempt is evicted.
struct JobCheckpointed
{
    JobId job;
    std::uint64_t attempt = 0;
    Term term = 0;
    std::int64_t progressMs = 0;
};

/// Reason for which an attempt ended without finishing.
enum class EvictionReason { Pressure, WorkerLost, LeaseLapsed, Refused, PlannedStop, TaskFailed };

/// An attempt has certainly stopped; the job may be placed again.
struct JobEvicted
{
    JobId job;
    std::uint64_t attempt = 0;
    Term term = 0; ///< Current term of the shard the attempt was placed on.
    EvictionReason reason = EvictionReason::Pressure;
    std::int64_t progressMs = 0;
};

/// An attempt completed, successfully or not.
struct JobFinished
{
    JobId job;
    std::uint64_t attempt = 0;
    Term term = 0;
    bool succeeded = true;
    std::string result;
};

/// A caller or operator cancelled a job.
struct JobCancelled
{
    JobId job;
};

/// An entry is about to dispatch a non-idempotent call; the first intent for a key wins.
struct CallIntended
{
    CustomerId customer;
    std::string key; ///< The caller's idempotency key.
    EntryId entry;
    WriterId writer;
    RequestId request;
    std::uint64_t bodyHash = 0; ///< Detects a key that is reused for another request.
};

/// Result of a non-idempotent call.  NotRun frees the key for a new intent.
struct CallConcluded
{
    CustomerId customer;
    std::string key;
    RequestId request;
    Outcome outcome = Outcome::Unknown;
    std::string answer;
};

/// An operator started or stopped planned work: the batch jobs of one customer and kind.
struct PlannedWorkSwitched
{
    std::string author;
    CustomerId customer;
    std::string kind;
    bool running = true; ///< False: no new starts; running attempts are checkpointed and stopped.
};

/// One part of a snapshot of all folds, stored in the log.
struct SnapshotPart
{
    std::string snapshot; ///< Unique name of the snapshot.
    Offset covers = 0;    ///< The snapshot includes every record up to this offset.
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::string data;
};

using Record = std::variant<ShardClaimed, ShardReleased, PlansEdited, LimitsEdited, JobSubmitted,
                            JobPlaced, JobCheckpointed, JobEvicted, JobFinished, JobCancelled,
                            CallIntended, CallConcluded, PlannedWorkSwitched, SnapshotPart>;

/// A record with its writer and the writer's sequence number.
///
/// A writer numbers its records 1, 2, 3, ... and has at most one append in flight.  A record that
/// is appended twice because a reply was lost thus repeats a sequence number already applied.
struct Envelope
{
    WriterId writer;
    std::uint64_t sequence = 0;
    Record record;
};

/// An envelope read from the log, with its offset.
struct LoggedEnvelope
{
    Offset offset = 0;
    Envelope envelope;
};

} // namespace firefly
