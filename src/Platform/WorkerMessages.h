#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"
#include "Core/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace firefly {

/// \file Messages to and from workers.
///
/// Every message to a worker carries the sender's term for the worker's shard.  A worker stores
/// the highest term it has received and refuses messages with a lower one.

/// Execution state of a task on its worker.
enum class AttemptState { Running, Finished, Failed, Stopped };

/// One task in a worker's task list.  Ended tasks stay listed until they are acknowledged.
struct TaskReport
{
    JobId job;
    std::uint64_t attempt = 0;
    AttemptState state = AttemptState::Running;
    std::int64_t progressMs = 0; ///< Work done, in milliseconds of run time without interference.
    Resources resources;         ///< Resources reserved for the task.
    std::int64_t usedMilliProcessors = 0; ///< Measured use, with a lag.
    std::int64_t usedMemoryMiB = 0;       ///< Measured use, with a lag.
    double speed = 1.0; ///< Progress per elapsed time, 1 without interference; has a lag.
    std::string result; ///< Set for ended tasks.
};

/// Renews the lease of all tasks of a worker and requests its task list.
///
/// At most one is in flight per worker.  The worker refuses a number that is not larger than the
/// last one of the same term.  When the lease expires, the worker stops its batch tasks.
struct WorkerSync
{
    WorkerId worker;
    Term term = 0;
    std::uint64_t number = 0;
    std::int64_t leaseMs = 0;
    std::vector<std::string> acknowledged; ///< "job#attempt" of the ended tasks to remove.
};

/// Reply of a worker to a WorkerSync.
struct WorkerSyncReply
{
    /// False when the term or the number was stale.  A refusal that carries the sender's own term
    /// means that an earlier copy of the same sync was accepted.
    bool accepted = false;
    Term highestTerm = 0;
    std::string boot; ///< Identifier that changes when the VM is replaced or restarted.
    Resources capacity;
    std::int64_t urgentRunning = 0;
    double urgentSlowdown = 1.0; ///< Mean slowdown of recent urgent calls; has a lag.
    std::vector<TaskReport> tasks;
};

/// Starts an attempt of a job under the lease granted by the last sync.
struct StartAttempt
{
    WorkerId worker;
    Term term = 0;
    JobId job;
    std::uint64_t attempt = 0;
    std::string kind;
    Resources resources;
    std::int64_t runtimeMs = 0;
    std::int64_t progressMs = 0; ///< Progress to resume from, in milliseconds of run time.
    std::string payload;
    /// Number of the acknowledged sync whose lease covers this start, and the boot identifier in
    /// its reply.  The worker refuses the start if the lease has expired, a later sync was accepted
    /// or the worker has restarted, so that a delayed copy has no effect.
    std::uint64_t leaseNumber = 0;
    std::string boot;
};

/// Stops an attempt; with \a checkpoint its task report keeps the progress.
struct StopAttempt
{
    WorkerId worker;
    Term term = 0;
    JobId job;
    std::uint64_t attempt = 0;
    bool checkpoint = true;
};

/// Limits an attempt to \a share of its processors; 1 lifts the limit.
struct ThrottleAttempt
{
    WorkerId worker;
    Term term = 0;
    JobId job;
    std::uint64_t attempt = 0;
    double share = 1.0;
};

/// Result of a message to a worker.
enum class WorkerResult {
    Done,        ///< The worker carried it out.
    Refused,     ///< Refused: stale term, expired lease or no capacity.  Nothing ran.
    NotSent,     ///< Certainly never reached the worker.
    Uncertain,   ///< No reply, or a malformed one: it may have taken effect.
    ServiceError ///< The call ran, and the backend server reported a failure.
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

/// Reply to a WorkerCall.
struct WorkerCallReply
{
    RequestId request; ///< Request identifier echoed by the worker.
    WorkerResult result = WorkerResult::Uncertain;
    std::string body; ///< Complete when the result is Done.
};

} // namespace firefly
