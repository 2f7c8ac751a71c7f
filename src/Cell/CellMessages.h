#pragma once

#include "Core/Clock.h"
#include "Core/VmInfo.h"
#include "Workload/JobSpec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace firefly {

/// Fencing token of a cell's owner: each new owner has a higher one, and workers refuse orders that
/// carry a lower one than they have seen.
using Epoch = std::uint64_t;

/// Number of fencing tokens of an owner: from its epoch, which is a multiple of this, to below the
/// next one.  The owner raises the token of a worker by one at each restart that it sees or
/// suspects.  An order carries the token of its time, so that the new incarnation, once it has
/// answered one under the raised token, refuses what was sent to an earlier one.
constexpr Epoch FencesPerEpoch = 64;

/// Processor demand of unfinished work, as fractions of the cell's capacity.
struct CellLoad
{
    double reserved = 0.0;    ///< Demand of tasks that reserve processor time.
    double fillers = 0.0;     ///< Demand of fillers, which use unreserved processor time only.
    double longRunning = 0.0; ///< Part of \a reserved that is the demand of long-running tasks.

    /// Capacity that the fractions refer to, in thousandths of a core; 0 if unknown.
    double milliCpu = 0.0;

    /// Part of \a longRunning whose tasks have run before and wait for a worker.
    double displaced = 0.0;

    /// Adds the demand of \a other, a fraction of the same capacity.
    CellLoad &operator+=(const CellLoad &other)
    {
        reserved += other.reserved;
        fillers += other.fillers;
        longRunning += other.longRunning;
        displaced += other.displaced;
        return *this;
    }
};

/// What the workers of one service in a cell can take at most, as far as one task can use it.
struct ServiceRoom
{
    ResourceVector largestFree; ///< Free capacity of the worker with the most free processor time.
    /// The same if all batch tasks had ended.
    ResourceVector largestAfterBatch;
    ResourceVector largestWorker; ///< Capacity of the largest worker.
};

/// What a cell publishes of itself for the choice of a guest.
struct GuestOffer
{
    CellLoad load;
    ServiceRoom room; ///< Of the service that is asked for.
};

/// Attributes of a worker, as listed by the platform.
struct WorkerDescription
{
    WorkerId id;
    std::string service;
    Endpoint endpoint;
    std::string zone;
    std::vector<std::string> labels;
    std::string rack;
    ResourceVector capacity;
    bool isDraining = false;
    std::optional<Duration> remaining;       ///< Least time until shutdown; only while draining.
    std::int64_t incarnationStartUnixMs = 0; ///< Identifies the incarnation; 0 when unknown.
};

/// A running task, as listed in a worker's report.
struct RunningTask
{
    TaskName task;
    std::uint32_t run = 0;
    std::string checkpoint;
    int percent = 0; ///< Progress; 100 for a long-running task that has started up.
    /// Tail latency in ms of a serving task, else CPU use in thousandths of a core.
    double usage = 0.0;
};

/// Reason a run ended, as the worker reports it.
enum class RunEndReason { Done, Failed, Stopped, Lapsed, Broken, Alone };

/// An ended run; a worker keeps listing it until the owner acknowledges its number.
struct EndedRun
{
    std::uint64_t number = 0; ///< Counts the ended runs of the worker's incarnation, from 1.
    TaskName task;
    std::uint32_t run = 0;
    RunEndReason reason = RunEndReason::Stopped;
    std::string checkpoint;
};

/// A worker's answer to a lease renewal.
struct LeaseReport
{
    std::int64_t clockMs = 0;                ///< Reading of the worker's steady clock.
    std::int64_t incarnationStartUnixMs = 0; ///< Identifies the incarnation; 0 when unknown.
    std::vector<RunningTask> running;
    std::vector<EndedRun> ended; ///< The oldest ones, by number.
    Epoch fence = 0;             ///< Fencing token of the renewal.
    bool mayOmitEnds = false;    ///< The worker may have ended runs that \a ended has no room for.
};

/// Result of an order sent to a worker.
enum class OrderOutcome {
    Accepted,
    FencedOff,        ///< The worker has seen a higher fencing token.
    OldRun,           ///< This run or a later run of the task has already ended on the worker.
    Late,             ///< The order arrived after its deadline.
    NoRoom,           ///< The worker lacks the capacity for the task.
    BadTicket,        ///< The ticket of the placement policy is missing or has expired.
    OtherIncarnation, ///< Another incarnation of the worker answered.
    Unhealthy,        ///< The worker is unhealthy and refused the order without effect.
    Invalid,          ///< The worker rejected the order as malformed.
    NotSent,          ///< The order never left this process.
    Refused,          ///< The same, since no process listens at the worker's address.
    Unknown,          ///< No answer; the order may still take effect until its deadline.
};

/// A worker's answer to an order.
struct OrderReply
{
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<std::int64_t> clockMs; ///< Reading of the worker's steady clock.
    Epoch fence = 0;                     ///< Fencing token of the order.
};

/// Order to start a run of a task.
struct StartTask
{
    WorkerId worker;
    TaskName task;
    std::uint32_t run = 0;
    std::string payload;
    std::int64_t deadlineMs = 0; ///< On the worker's clock.
    std::string checkpoint;
    std::string ticket;
    Epoch fence = 0; ///< Fencing token, as for the other orders.
};

/// Order to stop a run of a task.
struct StopTask
{
    WorkerId worker;
    TaskName task;
    std::uint32_t run = 0;
    Epoch fence = 0;
};

/// Order to extend a worker's lease and to report its runs.
struct RenewLease
{
    WorkerId worker;
    std::optional<std::int64_t> deadlineMs;  ///< On the worker's clock; unset to keep the lease.
    std::uint64_t acknowledgedEndNumber = 0; ///< Highest EndedRun::number the worker may discard.
    Duration wait{}; ///< Long poll: the answer may wait this long for a run to end.
    Epoch fence = 0;
};

/// Order to limit the processor time of a run.
struct PaceTask
{
    WorkerId worker;
    TaskName task;
    std::uint32_t run = 0;
    int percent = 100; ///< Of the task's demand; 0 pauses the run.
    Epoch fence = 0;
};

/// Request to log a scheduling decision.
struct LogDecision
{
    const char *message = ""; ///< String literal; log lines are rate-limited by message.
    TaskName task;            ///< Only the job is set when the entry concerns the whole job.
    std::string worker;
    std::uint32_t run = 0;
    std::string detail; ///< The input that led to the decision.
};

/// Request to the owner of another cell to schedule tasks of a job; answered by
/// CellScheduler::onDelegationReply().
struct DelegateTasks
{
    int guest = 0; ///< The cell that gets the tasks.
    JobId job;
    std::string record; ///< As encoded by JobRecords::encodeDelegation().
};

/// Request to the owner of another cell to stop all tasks of a job that were delegated to it.
struct RevokeDelegation
{
    int guest = 0;
    JobId job;
};

/// Request of a guest to the owner of a job's home to take delegated tasks back; answered by
/// CellScheduler::onReturnReply().
struct ReturnTasks
{
    int home = 0; ///< The cell of the job.
    JobId job;
    std::string record; ///< As encoded by JobRecords::encodeDelegation().
};

using CellAction = std::variant<StartTask, StopTask, RenewLease, PaceTask, LogDecision,
                                DelegateTasks, RevokeDelegation, ReturnTasks>;

} // namespace firefly
