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

/// A request to the operator API, independent of the HTTP library.
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

/// Sends the reply to one request.  Called exactly once, possibly later.
using OperatorReply = std::function<void(OperatorResponse)>;

/// The log could not be reached, or its reply has not arrived yet.
struct LogUnreachable
{
    std::chrono::seconds retryAfter{5};
    /// True if the record was sent and may still take effect.  It is safe to retry an edit: at most
    /// one of two edits with the same base version is accepted.
    bool mayTakeEffect = false;
};

/// The edit was accepted as version `version` of its list.
struct EditAccepted
{
    Offset version = 0;
};

/// The edit was rejected because its list is invalid.
struct EditInvalid
{
    std::vector<Finding> findings;
};

/// Outcome of a proposed edit.
template <typename List>
using EditResult = std::variant<EditAccepted, EditConflict<List>, EditInvalid, LogUnreachable>;

/// Receives the outcome of a proposed edit.  Called exactly once, possibly later.
template <typename List>
using EditCallback = std::function<void(EditResult<List>)>;

/// Versions of the lists that are in force on one entry.
struct EntryListVersions
{
    EntryId entry;
    Offset plansVersion = 0;
    Offset limitsVersion = 0;
    std::int64_t ageMs = 0; ///< Time since the last heartbeat of the entry; 0 for this one.
};

/// A batch job submitted by an operator or caller.
struct JobSubmission
{
    JobId job; ///< Chosen by the caller so that a retry is safe; generated if empty.
    BatchJobSpec spec;
};

/// The command was carried out; `job` is the job submitted or cancelled, otherwise empty.
struct CommandDone
{
    JobId job;
};

/// The command names an unknown id.
struct CommandNotFound
{};

/// The command was rejected and will not take effect.
struct CommandRefused
{
    std::string reason;
};

/// Outcome of a command.
using CommandResult = std::variant<CommandDone, CommandNotFound, CommandRefused, LogUnreachable>;

/// Receives the outcome of a command.  Called exactly once, possibly later.
using CommandCallback = std::function<void(CommandResult)>;

} // namespace firefly
