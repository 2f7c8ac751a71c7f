#pragma once

#include "Core/Id.h"

#include <cstdint>
#include <string>
#include <vector>

namespace firefly {

using QueueName = Id<struct QueueTag>; ///< A route as operators name it.

/// Demand of one task, or room of one worker.
struct Room
{
    std::int64_t milliCpu = 0;
    std::int64_t memoryMb = 0;
    std::int64_t gpus = 0;

    bool fits(const Room &demand) const
    {
        return demand.milliCpu <= milliCpu && demand.memoryMb <= memoryMb && demand.gpus <= gpus;
    }
    void add(const Room &other)
    {
        milliCpu += other.milliCpu;
        memoryMb += other.memoryMb;
        gpus += other.gpus;
    }
    void subtract(const Room &other)
    {
        milliCpu -= other.milliCpu;
        memoryMb -= other.memoryMb;
        gpus -= other.gpus;
    }
    bool operator==(const Room &) const = default;
};

/// One step of a job: a number of equal tasks.
struct StepSpec
{
    std::uint32_t taskCount = 1;
    Room demand;                      ///< Of each task.
    std::int64_t estimateMs = 0;      ///< Rough duration of one task; 0 when unknown.
    std::vector<std::uint32_t> after; ///< Earlier steps that must be done first.
    bool isCheckpointing = false;
    bool isGang = false;              ///< Tasks run only all together.
    bool wantsOneRack = false;        ///< A gang that is slower across racks.
    std::string requiredLabel;        ///< Label that the worker must carry; empty for none.
    std::string dataRack;             ///< Rack that holds the data; tasks elsewhere are slower.
    std::uint32_t maxPerWorker = 0;   ///< Most tasks of one occurrence on a worker; 0 for no limit.
    bool isSpeculative = false;       ///< Parallel copies of a task are allowed.
    bool isLongRunning = false;       ///< Runs until the job is cancelled.
    std::string image;                ///< Tasks of one image behave alike.
    std::int64_t targetMs = 0;        ///< Tail latency a serving task must keep; 0 for none.
    bool isFiller = false;            ///< Uses only processor time that others leave unused.
    std::uint32_t maxUnavailable = 0; ///< Long-running tasks the system may take down at once.

    /// What a task of this step takes from a worker's reservable room.
    Room reservation() const
    {
        Room room = demand;
        room.milliCpu = isFiller ? 0 : room.milliCpu;
        return room;
    }
};

/// What a queue's configuration grants the jobs submitted to it.
struct QueuePolicy
{
    QueueName queue;
    std::string service;
    int priority = 0; ///< 0 comes first.
    std::uint32_t maxAttempts = 1;
    double stretch = 1.0;             ///< Objective as a multiple of the longest chain.
    std::int64_t targetLatencyMs = 0; ///< Added to the objective.
};

/// A job as its client submitted it.
struct JobSpec
{
    std::string payload; ///< Opaque text handed to each task.
    std::vector<StepSpec> steps;
    std::uint32_t repetitions = 0; ///< 0 for a job without occurrences in time.
    std::int64_t startAtUnixMs = 0;
    std::int64_t intervalMs = 0;
    QueuePolicy policy;
};

/// State of a job as its client sees it.
enum class JobState { Queued, Running, Completed, Failed, Canceled };

inline bool isFinal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Canceled;
}

/// Name of one task of one job.
struct TaskName
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskName &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace firefly
