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

/// An entry claims a shard; the record's offset becomes the term.
struct ShardClaimed
{
    EntryId entry;
    ShardId shard;
    Term previousTerm = 0; ///< Term the claimant saw; the claim is stale when it moved on.
};

/// An owner gives a shard up after its last message to the shard's workers was answered.
struct ShardReleased
{
    EntryId entry;
    ShardId shard;
    Term term = 0;
};

/// The plans that customers hold.
struct PlansList
{
    std::map<std::string, std::string> planOfCustomer;

    bool operator==(const PlansList &) const = default;
};

/// What one plan may use at one time.
struct PlanLimits
{
    Resources resources;              ///< Sum over the plan's running calls and jobs.
    std::vector<std::string> zones;   ///< Zones the plan may run in; empty means all.
    std::int64_t urgentPerSecond = 0; ///< Urgent requests a second; 0 means no limit.
    std::int64_t weight = 1;          ///< Share under overload, relative to other plans.

    bool operator==(const PlanLimits &) const = default;
};

/// What each plan may use.
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

/// What a caller declared about a batch job.
struct JobSpec
{
    CustomerId customer;
    std::string kind; ///< For example "rebuild" or "stratified-run".
    Resources resources;
    std::int64_t runtimeMs = 0; ///< Declared run time, often wrong.
    std::string payload;

    bool operator==(const JobSpec &) const = default;
};

/// A batch job was accepted.
struct JobSubmitted
{
    JobId job;
    JobSpec spec;
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

/// Progress that survives an eviction.
struct JobCheckpointed
{
    JobId job;
    std::uint64_t attempt = 0;
    Term term = 0;
    std::int64_t progressMs = 0;
};

/// Why an attempt ended without finishing.
enum class EvictionReason { Pressure, WorkerLost, LeaseLapsed, Refused, PlannedStop, TaskFailed };

/// An attempt surely stopped; the job may be placed again.
struct JobEvicted
{
    JobId job;
    std::uint64_t attempt = 0;
    Term term = 0; ///< Current term of the shard the attempt was placed on.
    EvictionReason reason = EvictionReason::Pressure;
    std::int64_t progressMs = 0;
};

/// An attempt ran to its end.
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

/// An entry is about to dispatch a non-idempotent call; the first intent of a key wins.
struct CallIntended
{
    CustomerId customer;
    std::string key; ///< The caller's idempotency key.
    EntryId entry;
    WriterId writer;
    RequestId request;
    std::uint64_t bodyHash = 0; ///< Detects a key reused for another request.
};

/// The result of a non-idempotent call.  NotRun reopens its key for a new intent.
struct CallConcluded
{
    CustomerId customer;
    std::string key;
    RequestId request;
    Outcome outcome = Outcome::Unknown;
    std::string answer;
};

/// Planned work that operators start and stop: batch jobs of one customer and kind.
struct PlannedWorkSwitched
{
    std::string author;
    CustomerId customer;
    std::string kind;
    bool running = true; ///< False: no new starts, running attempts are checkpointed and stopped.
};

/// One part of a snapshot of every fold, carried in the log itself.
struct SnapshotPart
{
    std::string snapshot; ///< Unique name of the snapshot.
    Offset covers = 0;    ///< Every record up to this offset is included.
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::string data;
};

using Record = std::variant<ShardClaimed, ShardReleased, PlansEdited, LimitsEdited, JobSubmitted,
                            JobPlaced, JobCheckpointed, JobEvicted, JobFinished, JobCancelled,
                            CallIntended, CallConcluded, PlannedWorkSwitched, SnapshotPart>;

/// A record with its writer and the writer's sequence number.
///
/// A writer numbers its records 1, 2, 3, ... and keeps one append in flight, so a record that is
/// appended twice because a reply was lost has a sequence number the fold has already seen.
struct Envelope
{
    WriterId writer;
    std::uint64_t sequence = 0;
    Record record;
};

/// An envelope as read back from the log.
struct LoggedEnvelope
{
    Offset offset = 0;
    Envelope envelope;
};

} // namespace firefly
