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

/// Number that rises with each owner of a cell; workers refuse orders with a lower one.
using Epoch = std::uint64_t;

/// Open processor demand as shares of a cell's capacity.
struct CellLoad
{
    double reserving = 0.0; ///< Of tasks that reserve what they use.
    double filling = 0.0;   ///< Of fillers.

    CellLoad &operator+=(const CellLoad &other)
    {
        reserving += other.reserving;
        filling += other.filling;
        return *this;
    }
};

/// A worker as it registered itself.
struct WorkerDescription
{
    WorkerId id;
    std::string service;
    Endpoint endpoint;
    std::string zone;
    std::vector<std::string> labels;
    std::string rack;
    Room capacity;
    bool isDraining = false;
    std::optional<Duration> remaining; ///< While draining: the least time that is left.
    std::int64_t bornUnixMs = 0;       ///< Start of this incarnation; 0 when not said.
};

/// A task that a worker runs.
struct RunningTask
{
    TaskName task;
    std::uint32_t run = 0;
    std::string checkpoint;
    int percent = 0;    ///< 100 for a long-running task that is at work.
    double usage = 0.0; ///< Tail latency in ms of a serving task, else thousandths of a core.
};

/// How a run ended.
enum class RunEnd { Done, Failed, Stopped, Lapsed, Broken, Alone };

/// A run that ended on a worker and that the worker still lists.
struct EndedRun
{
    std::uint64_t number = 0; ///< Rises by one with each end of the worker's incarnation.
    TaskName task;
    std::uint32_t run = 0;
    RunEnd how = RunEnd::Stopped;
    std::string checkpoint;
};

/// A worker's answer to a lease renewal.
struct LeaseReport
{
    std::int64_t clockMs = 0;    ///< The worker's steady clock.
    std::int64_t bornUnixMs = 0; ///< 0 when not said.
    std::vector<RunningTask> running;
    std::vector<EndedRun> ended;
};

/// What became of an order.
enum class OrderOutcome {
    Accepted,
    FencedOff,        ///< The worker has seen a higher epoch.
    OldRun,           ///< The worker knows this run, or a later one, as ended.
    Late,             ///< The order's deadline had passed.
    NoRoom,           ///< The task doesn't fit.
    BadTicket,        ///< The ticket of the placement policy is missing or has expired.
    OtherIncarnation, ///< Another incarnation of the worker answered.
    Unhealthy,        ///< The worker turned the order away and did nothing.
    Invalid,          ///< The worker calls the order malformed.
    NotSent,          ///< Surely nothing left this process.
    Unknown,          ///< No answer; the order may be carried out until its deadline.
};

/// A worker's answer to an order.
struct OrderReply
{
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<std::int64_t> clockMs; ///< The worker's steady clock, when it said so.
};

struct StartTask
{
    WorkerId worker;
    TaskName task;
    std::uint32_t run = 0;
    std::string payload;
    std::int64_t deadlineMs = 0; ///< On the worker's clock.
    std::string checkpoint;
    std::string ticket;
};

struct StopTask
{
    WorkerId worker;
    TaskName task;
    std::uint32_t run = 0;
};

struct RenewLease
{
    WorkerId worker;
    std::optional<std::int64_t> deadlineMs; ///< On the worker's clock; none before it is known.
    std::uint64_t lastSeenEnd = 0;          ///< Ends up to this one are durable.
    Duration wait{};                        ///< How long the answer may wait for an end.
};

struct PaceTask
{
    WorkerId worker;
    TaskName task;
    std::uint32_t run = 0;
    int percent = 100;
};

/// A decision worth a log line.
struct CellNote
{
    const char *message = ""; ///< A literal: lines are limited by it.
    TaskName task;            ///< Only the job is set where the whole job is meant.
    std::string worker;
    std::uint32_t run = 0;
    std::string detail; ///< The input that decided.
};

using CellAction = std::variant<StartTask, StopTask, RenewLease, PaceTask, CellNote>;

} // namespace firefly
