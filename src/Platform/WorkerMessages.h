#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"
#include "Core/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace firefly {

/// Every message to a worker carries the sender's term for the worker's shard.  A worker remembers
/// the highest term it has seen and refuses messages with an older one.

/// Where a task stands on its worker.
enum class TaskState { Running, Finished, Failed, Stopped };

/// One task in a worker's own list.  Ended tasks stay listed until they are acknowledged.
struct TaskReport
{
    JobId job;
    std::uint64_t attempt = 0;
    TaskState state = TaskState::Running;
    std::int64_t progressMs = 0;          ///< Work done, in milliseconds of undisturbed run time.
    Resources resources;                  ///< What the task holds.
    std::int64_t usedMilliProcessors = 0; ///< Lagging.
    std::int64_t usedMemoryMiB = 0;       ///< Lagging.
    double speed = 1.0; ///< Progress per elapsed time, 1 when undisturbed; lagging.
    std::string result; ///< For ended tasks.
};

/// Renews the lease of all tasks of a worker, and asks for its task list.
///
/// Numbered, with at most one in flight per worker; the worker refuses a number that is not larger
/// than the last one of the same term.  When the lease lapses the worker stops its batch tasks.
struct WorkerSync
{
    WorkerId worker;
    Term term = 0;
    std::uint64_t number = 0;
    std::int64_t leaseMs = 0;
    std::vector<std::string> acknowledged; ///< "job#attempt" of ended tasks to forget.
};

/// The worker's answer to a WorkerSync.
struct WorkerSyncReply
{
    /// False when the term or number was stale.  A refusal with the sender's own term means that an
    /// earlier copy of the same number was accepted.
    bool accepted = false;
    Term highestTerm = 0;
    std::string boot; ///< Changes when the VM was replaced or restarted.
    Resources capacity;
    std::int64_t urgentRunning = 0;
    double urgentSlowdown = 1.0; ///< Mean slowdown of recent urgent calls; lagging.
    std::vector<TaskReport> tasks;
};

/// Starts an attempt of a job under the lease that the last sync granted.
struct StartTask
{
    WorkerId worker;
    Term term = 0;
    JobId job;
    std::uint64_t attempt = 0;
    std::string kind;
    Resources resources;
    std::int64_t runtimeMs = 0;
    std::int64_t progressMs = 0; ///< Where to resume.
    std::string payload;
    /// Number of the answered sync whose lease this start runs under, and the boot that answered.
    /// The worker refuses the start when the lease lapsed, a later sync was accepted or it
    /// restarted since, so a late copy starts nothing.
    std::uint64_t leaseNumber = 0;
    std::string boot;
};

/// Stops an attempt; with \a checkpoint its progress is kept in the report.
struct StopTask
{
    WorkerId worker;
    Term term = 0;
    JobId job;
    std::uint64_t attempt = 0;
    bool checkpoint = true;
};

/// Lowers an attempt to \a share of its processors, 1 restores it.
struct ThrottleTask
{
    WorkerId worker;
    Term term = 0;
    JobId job;
    std::uint64_t attempt = 0;
    double share = 1.0;
};

/// What became of a message to a worker.
enum class WorkerResult {
    Done,        ///< The worker did it.
    Refused,     ///< The worker refused: stale term, lapsed lease, no room.  Nothing ran.
    NotSent,     ///< Surely never reached the worker.
    Uncertain,   ///< No answer, or a broken one: it may have taken effect.
    ServiceError ///< The call ran and the backend server reported a failure.
};

/// One urgent call to a service on a worker.
struct WorkerCall
{
    WorkerId worker;
    Term term = 0;
    RequestId request;
    ServiceId service;
    std::string key; ///< The caller's idempotency key; empty for idempotent calls.
    std::string body;
    Duration timeout{};
};

/// The answer to a WorkerCall.
struct WorkerCallReply
{
    RequestId request; ///< As the worker echoed it.
    WorkerResult result = WorkerResult::Uncertain;
    std::string body; ///< Whole when result is Done.
};

} // namespace firefly
