#pragma once

#include "Core/Id.h"
#include "Records/Record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace firefly {

/// Where a job stands in the ledger.
enum class JobState {
    Pending,    ///< Waits to be placed, for the first time or again.
    Placed,     ///< One attempt may be executing.
    Cancelling, ///< Cancelled while placed; the attempt may still be executing.
    Finished,   ///< An attempt ran to its end, successfully or not.
    Cancelled,  ///< Cancelled, and surely not executing.
};

/// Name of \a state in dumps and snapshots.
std::string_view toString(JobState state);

/// Where the current attempt of a job was placed.
struct JobPlacement
{
    WorkerId worker;
    ShardId shard;
    Term term = 0; ///< Term of the owner that placed it.

    bool operator==(const JobPlacement &) const = default;
};

/// One job of the ledger.
struct Job
{
    JobId id;
    JobSpec spec;
    JobState state = JobState::Pending;
    Offset submittedAt = 0;
    std::uint64_t attempt = 0;             ///< Number of the last attempt; 0 before the first.
    std::optional<JobPlacement> placement; ///< Set while Placed or Cancelling.
    std::int64_t progressMs = 0;           ///< Where the next attempt resumes.
    std::uint64_t evictions = 0;
    std::uint64_t failures = 0; ///< Attempts that ended by failing, and were tried elsewhere.
    Offset endedAt = 0;         ///< Offset of the record that ended the job; 0 before.
    bool succeeded = false;     ///< Meaningful once Finished.
    std::string result;

    bool isEnded() const { return state == JobState::Finished || state == JobState::Cancelled; }
    bool mayBeRunning() const { return state == JobState::Placed || state == JobState::Cancelling; }

    bool operator==(const Job &) const = default;
};

} // namespace firefly
