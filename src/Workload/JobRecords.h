#pragma once

#include "Workload/JobSpec.h"

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace firefly {

/// Crashes of workers under one task, as CrashDetector judges them.
struct CrashHistory
{
    std::uint32_t early = 0;    ///< Workers that were lost soon after they started the task.
    std::uint32_t certain = 0;  ///< Those of \a early that are known to have crashed.
    std::uint32_t evidence = 0; ///< How clearly \a early points to this task.
    std::uint32_t late = 0;     ///< Workers that crashed later in a run, with no other suspect.

    bool isEmpty() const { return early == 0 && late == 0; }
    bool operator==(const CrashHistory &) const = default;
};

/// Durable progress of a task that is done, has failed, has saved a checkpoint, may have crashed a
/// worker or waits for one.
struct TaskProgress
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    bool isDone = false;
    /// Run numbers, each listed once; they are reported in any order.
    std::vector<std::uint32_t> failedRuns;
    std::string checkpoint;   ///< Newest one; empty for none.
    std::optional<int> guest; ///< Cell that the task was delegated to, if any.
    std::uint32_t run = 0;    ///< Of a delegated task: no earlier run has a higher number.
    CrashHistory crashes;
    /// Long-running task: when its wait for a worker began, of a delegated one its wait at home; 0
    /// if it doesn't wait.
    std::int64_t waitingSinceUnixMs = 0;
    /// Of a task that guests have given back: no run there has a higher number.
    std::uint32_t firstRun = 0;
    /// In the record of a guest: it has given the task back; no run there has a higher number than
    /// \a run.
    bool isReturned = false;
};

/// Durable progress of one job.
struct JobProgress
{
    JobState state = JobState::Queued;
    std::int64_t finalAtUnixMs = 0;  ///< When the state became final; 0 before.
    bool isStarted = false;          ///< At least one task has started.
    std::vector<TaskProgress> tasks; ///< Only tasks with progress to record.
    std::vector<int> guests;         ///< Cells that tasks were delegated to, also earlier ones.
};

/// A durable record that can't be decoded.
class JobRecordError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Redirect of a job to the cell that runs it instead of the one it was submitted to.
struct JobReferral
{
    int cell = 0; ///< Cell that the job was referred to.
    std::int64_t atUnixMs = 0;
};

/// Long-running tasks of a job that another cell, the guest, schedules.  The cell of the job, its
/// home, never starts them again.
struct TaskDelegation
{
    std::int64_t submittedAtUnixMs = 0; ///< Of the job.
    JobSpec spec;
    std::vector<TaskProgress> tasks;
    std::optional<int> home; ///< Unset in records of earlier versions.
};

/// A run of a task that an owner has ordered.
struct OrderedStart
{
    TaskName task;
    std::uint32_t run = 0;
    bool operator==(const OrderedStart &) const = default;
};

/// What the next owner of a cell may rely on about one of its workers.
struct WorkerRecord
{
    std::string address; ///< HOST:PORT.
    /// The only tasks that may run there; unset if any may.
    std::optional<std::vector<TaskName>> tasks;
    /// Longest remaining lease of the worker when the record was put; unset if the lease may be
    /// extended.
    std::optional<std::int64_t> leaseLeftMs;
    /// Tasks whose start had no answer: unlike the others they may start there after the lease, for
    /// \a startsLeftMs from when the record was put.
    std::vector<TaskName> openStarts;
    std::int64_t startsLeftMs = 0;
    /// The incarnation that the owner knew; 0 if none.
    std::int64_t incarnationStartUnixMs = 0;
    /// Longest time, from when the record was put, of leases that orders to an earlier incarnation
    /// have granted this one; 0 if there are none.
    std::int64_t earlierGrantsMs = 0;
    /// Starts that were sent shortly before the record was put and had no answer yet.
    std::vector<OrderedStart> recentStarts;

    bool operator==(const WorkerRecord &) const = default;
};

/// Keys and encoding of the records in a cell's job topic.
///
/// Specifications and progress are CBOR arrays, referrals are JSON.
namespace JobRecords {

std::string specKey(const JobId &job);
std::string progressKey(const JobId &job);
std::string workerKey(std::string_view worker);
/// Key of the interference model that the cell has learned.
std::string interferenceKey();

enum class KeyKind { Spec, Progress, Worker, Interference, Referral, Delegation, Unknown };
struct ParsedKey
{
    KeyKind kind = KeyKind::Unknown;
    std::string name; ///< The key without its prefix, such as the id of the job or worker.
};
/// Splits \a key into its kind and name; Unknown for an unknown prefix.
ParsedKey parseKey(std::string_view key);

std::string encodeWorker(const WorkerRecord &record);
/// \throws JobRecordError
WorkerRecord decodeWorker(std::string_view bytes);

/// Key of the record that names the cell that \a job was referred to.
std::string referralKey(const JobId &job);
std::string encodeReferral(const JobReferral &referral);
/// \throws JobRecordError
JobReferral decodeReferral(std::string_view bytes);

/// Key of the record of a job's tasks that were delegated to this cell.
std::string delegationKey(const JobId &job);
std::string encodeDelegation(const TaskDelegation &delegation);
/// \throws JobRecordError
TaskDelegation decodeDelegation(std::string_view bytes);

/// \a submittedAtUnixMs is stored in the same record.
std::string encodeSpec(const JobSpec &spec, std::int64_t submittedAtUnixMs);
/// Also reads the submission time into \a submittedAtUnixMs.
/// \throws JobRecordError
JobSpec decodeSpec(std::string_view bytes, std::int64_t &submittedAtUnixMs);
std::string encodeProgress(const JobProgress &progress);
/// \throws JobRecordError
JobProgress decodeProgress(std::string_view bytes);

} // namespace JobRecords
} // namespace firefly
