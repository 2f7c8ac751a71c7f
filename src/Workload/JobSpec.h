#pragma once

#include "Core/Id.h"

#include <cstdint>
#include <string>
#include <vector>

namespace firefly {

using QueueName = Id<struct QueueTag>; ///< Name of a queue in the operators' configuration.

/// Amounts of processor time, memory and GPUs: the demand of a task or the capacity of a worker.
struct ResourceVector
{
    std::int64_t milliCpu = 0; ///< Thousandths of a processor.
    std::int64_t memoryMb = 0;
    std::int64_t gpus = 0;

    /// True when no amount of \a demand exceeds the one here.
    bool fits(const ResourceVector &demand) const
    {
        return demand.milliCpu <= milliCpu && demand.memoryMb <= memoryMb && demand.gpus <= gpus;
    }
    void add(const ResourceVector &other)
    {
        milliCpu += other.milliCpu;
        memoryMb += other.memoryMb;
        gpus += other.gpus;
    }
    void subtract(const ResourceVector &other)
    {
        milliCpu -= other.milliCpu;
        memoryMb -= other.memoryMb;
        gpus -= other.gpus;
    }
    bool operator==(const ResourceVector &) const = default;
};

/// One step of a job: a number of tasks with the same requirements.
struct StepSpec
{
    std::uint32_t taskCount = 1;
    ResourceVector demand;            ///< Demand of each task.
    std::int64_t estimateMs = 0;      ///< Estimated run time of one task; 0 when unknown.
    std::vector<std::uint32_t> after; ///< Indices of earlier steps that must be done first.
    bool isCheckpointing = false;     ///< Tasks save checkpoints and resume from the last one.
    bool isGang = false;          ///< Gang-scheduled: all tasks run at the same time or none does.
    bool hasRackAffinity = false; ///< A gang that runs slower when spread over several racks.
    std::string requiredLabel;    ///< Label that the worker must carry; empty for none.
    std::string dataRack; ///< Rack that holds the input data; tasks run slower on other racks.
    std::uint32_t maxPerWorker = 0; ///< Limit on tasks of one occurrence per worker; 0 for none.
    bool isSpeculative = false; ///< Speculative execution: parallel copies of a task are allowed.
    bool isLongRunning = false; ///< Runs until the job is cancelled.
    std::string image;          ///< Program image; tasks of one image are taken to behave alike.
    std::int64_t targetMs = 0;  ///< Tail latency objective of a serving task; 0 for none.
    bool isFiller = false;      ///< Best effort: uses only processor time that others leave idle.
    std::uint32_t maxUnavailable = 0; ///< Long-running tasks the system may take down at once.

    /// What a task of this step reserves on its worker; a filler reserves no processor time.
    ResourceVector reservation() const
    {
        ResourceVector reserved = demand;
        reserved.milliCpu = isFiller ? 0 : reserved.milliCpu;
        return reserved;
    }
};

/// Scheduling policy that a queue applies to the jobs submitted to it.
struct QueuePolicy
{
    QueueName queue;
    std::string service;
    int priority = 0;                 ///< 0 is the highest.
    std::uint32_t maxAttempts = 1;    ///< Failed runs of a task after which its job fails.
    double stretch = 1.0;             ///< Completion objective as a multiple of the critical path.
    std::int64_t targetLatencyMs = 0; ///< Added to the completion objective.
};

/// A job as its client submitted it, with the policy of its queue.
struct JobSpec
{
    std::string payload; ///< Opaque text handed to each task.
    std::vector<StepSpec> steps;
    std::uint32_t repetitions = 0; ///< Scheduled occurrences; 0 for a job without due times.
    std::int64_t startAtUnixMs = 0;
    std::int64_t intervalMs = 0; ///< Between the due times of two occurrences.
    QueuePolicy policy;
};

/// State of a job as its client sees it.
enum class JobState { Queued, Running, Completed, Failed, Canceled };

inline constexpr JobState LastJobState = JobState::Canceled;

inline bool isFinal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Canceled;
}

/// Identifies one task of one occurrence of a job.
struct TaskName
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskName &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace firefly
