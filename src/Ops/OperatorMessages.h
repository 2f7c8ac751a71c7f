#pragma once

#include "Config/Finding.h"
#include "Config/ListsFold.h"
#include "Core/Id.h"
#include "Records/Record.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace firefly {

/// A request on the operator address, free of the HTTP library.
struct OperatorRequest
{
    std::string method; ///< For example "GET".
    std::string path;   ///< Without query.
    std::string token;  ///< Value of the `Authorization` header, "Bearer TOKEN"; may be empty.
    std::string body;
};

/// The reply to an OperatorRequest.
struct OperatorResponse
{
    int status = 200; ///< HTTP status.
    std::string contentType = "application/json";
    std::string body;
    std::optional<std::chrono::seconds> retryAfter; ///< Goes into the `Retry-After` header.
};

/// Receives the reply to one request, exactly once, now or later.
using OperatorReply = std::function<void(OperatorResponse)>;

/// The log could not be reached, or its answer is still missing.
struct LogNotReached
{
    std::chrono::seconds retryAfter{5};
    /// True when the record was sent and may still take effect; a repeated edit stays safe,
    /// because its base version lets at most one of the two through.
    bool mayTakeEffect = false;
};

/// The edit was accepted: it is version `version` of its list.
struct EditAccepted
{
    Offset version = 0;
};

/// The edit breaks a rule.
struct EditInvalid
{
    std::vector<Finding> findings;
};

/// What became of a proposed edit.
template <typename List>
using EditResult = std::variant<EditAccepted, EditConflict<List>, EditInvalid, LogNotReached>;

/// Receives what became of a proposed edit, exactly once, now or later.
template <typename List>
using EditDone = std::function<void(EditResult<List>)>;

/// The versions that one entry has in force.
struct EntryInForce
{
    EntryId entry;
    Offset plansVersion = 0;
    Offset limitsVersion = 0;
    std::int64_t ageMs = 0; ///< Time since the entry was last heard from; 0 for this one.
};

/// A batch job as an operator or caller submits it.
struct JobSubmission
{
    JobId job; ///< Chosen by the caller to make a repetition safe; empty: the entry chooses.
    JobSpec spec;
};

/// The command was carried out; for a submission, on this job.
struct CommandDone
{
    JobId job;
};

/// The command names something that is not known.
struct CommandNotFound
{};

/// The command was refused for good.
struct CommandRefused
{
    std::string reason;
};

/// What became of a command.
using CommandResult = std::variant<CommandDone, CommandNotFound, CommandRefused, LogNotReached>;

/// Receives what became of a command, exactly once, now or later.
using CommandDoneCallback = std::function<void(CommandResult)>;

} // namespace firefly
