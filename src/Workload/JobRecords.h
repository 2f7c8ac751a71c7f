#pragma once

#include "Workload/JobSpec.h"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace firefly {

/// Durable progress of one task that differs from "not done, never failed".
struct TaskProgress
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    bool isDone = false;
    std::vector<std::uint32_t> failedRuns; ///< Each counts once, in whatever order it is heard of.
    std::string checkpoint;
};

/// Durable progress of one job.
struct JobProgress
{
    JobState state = JobState::Queued;
    std::int64_t finalAtUnixMs = 0; ///< When the state became final; 0 before.
    bool isStarted = false;         ///< Some task has begun.
    std::vector<TaskProgress> tasks;
};

/// A record could not be decoded.
class JobRecordError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Records of the cell's topic, by key.  Bodies are CBOR.
/// Where a cell has sent a job that it didn't take itself.
struct JobReferral
{
    int cell = 0;
    std::int64_t atUnixMs = 0;
};

namespace JobRecords {

std::string specKey(const JobId &job);
std::string progressKey(const JobId &job);
std::string workerKey(std::string_view worker);
/// Key of what the cell has learned about interference.
std::string lessonsKey();

enum class KeyKind { Spec, Progress, Worker, Lessons, Referral, Unknown };
struct ParsedKey
{
    KeyKind kind = KeyKind::Unknown;
    std::string name; ///< Job or worker.
};
ParsedKey parseKey(std::string_view key);

/// Key of the cell that a job was referred to.
std::string referralKey(const JobId &job);
std::string encodeReferral(const JobReferral &referral);
/// \throws JobRecordError
JobReferral decodeReferral(std::string_view bytes);

std::string encodeSpec(const JobSpec &spec, std::int64_t submittedAtUnixMs);
/// \throws JobRecordError
JobSpec decodeSpec(std::string_view bytes, std::int64_t &submittedAtUnixMs);
std::string encodeProgress(const JobProgress &progress);
/// \throws JobRecordError
JobProgress decodeProgress(std::string_view bytes);

} // namespace JobRecords
} // namespace firefly
