#pragma once

#include "Core/Id.h"
#include "Records/Record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace firefly {

/// State of a job in the ledger.
enum class BatchJobState {
    Pending,    ///< Waits for its first or next placement.
    Placed,     ///< Placed; an attempt may be running.
    Cancelling, ///< Cancelled while placed; the attempt may still be running.
    Finished,   ///< An attempt completed, successfully or not.
    Cancelled,  ///< Cancelled; certainly not running.
};

/// Name of \a state in state dumps and snapshots.
std::string_view toString(BatchJobState state);

/// Placement of a job's current attempt.
struct JobPlacement
{
    WorkerId worker;
    ShardId shard;
    Term term = 0; ///< Term of the shard's owner at the placement.

    bool operator==(const JobPlacement &) const = default;
};

/// A batch job, its state and its result.
struct Job
{
    JobId id;
    BatchJobSpec spec;
    BatchJobState state = BatchJobState::Pending;
    Offset submittedAt = 0;
    std::uint64_t attempt = 0;             ///< Number of the last attempt; 0 before the first.
    std::optional<JobPlacement> placement; ///< Set while Placed or Cancelling.
    std::int64_t progressMs = 0; ///< Checkpointed progress, from which the next attempt resumes.
    std::uint64_t evictions = 0;
    std::uint64_t failures = 0; ///< Attempts that failed and were followed by another one.
    Offset endedAt = 0;         ///< Offset of the record that ended the job; 0 until then.
    bool succeeded = false;     ///< Valid once Finished.
    std::string result;

    bool isEnded() const
    {
        return state == BatchJobState::Finished || state == BatchJobState::Cancelled;
    }
    bool mayBeRunning() const
    {
        return state == BatchJobState::Placed || state == BatchJobState::Cancelling;
    }

    bool operator==(const Job &) const = default;
};

} // namespace firefly
