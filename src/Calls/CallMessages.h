#pragma once

#include "Calls/IntentLedger.h"
#include "Core/Clock.h"
#include "Core/Id.h"
#include "Core/Outcome.h"
#include "Platform/WorkerMessages.h"
#include "Records/Record.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace firefly {

/// One caller's request, as admitted.
struct CallRequest
{
    RequestId request; ///< Never used twice, also not by another entry.
    CustomerId customer;
    ServiceId service;
    bool isIdempotent = false;
    std::string key; ///< The caller's idempotency key; not empty unless isIdempotent.
    std::string body;
    std::uint64_t bodyHash = 0;
    TimePoint deadline;        ///< The caller gets an outcome by then.
    Duration attemptTimeout{}; ///< Longest wait for one attempt of an idempotent request.
};

/// Why a request has the outcome it has.
enum class CallReason {
    None,             ///< The backend server's own answer.
    StoredAnswer,     ///< The key was concluded before; its answer is repeated.
    LogUnavailable,   ///< The intent could not be recorded.
    NoWorker,         ///< No worker had room.
    RetriesExhausted, ///< No worker took it, and the retry budget is spent.
    DeadlinePassed,
    KeyReused,      ///< The key belongs to a request with another body.
    KeyInProgress,  ///< Another request with the key may be executing.
    ReplyUncertain, ///< A dispatch got no clear answer.
    ServiceFailed,  ///< The backend server reported a failure.
};

std::string_view toString(CallReason reason);

/// The one outcome of a request.
struct CallReply
{
    RequestId request;
    Outcome outcome = Outcome::Unknown;
    CallReason reason = CallReason::None;
    std::string body;
    Duration retryAfter{}; ///< For NotRun, unless the key was reused.
};

/// Append an intent to the log; its read-back comes as CallTracker::onIntended().
struct AppendIntent
{
    CallIntended record;
};

/// Append a conclusion to the log, behind the intent.
struct AppendConclusion
{
    CallConcluded record;
};

/// Send the call; its reply comes as CallTracker::onReply() with the same number.
struct DispatchCall
{
    std::uint64_t number = 0;
    WorkerCall call; ///< The term is filled in by the worker's owner.
};

/// Give the caller the outcome; there is exactly one per request.
struct ReplyToCaller
{
    CallReply reply;
};

using CallAction = std::variant<AppendIntent, AppendConclusion, DispatchCall, ReplyToCaller>;
using CallActions = std::vector<CallAction>;

/// What a CallTracker asks of the entry.
///
/// - canAppend(): the log is up and takes a new intent now.
/// - intents(): the fold of intents as far as it was read.
/// - chooseWorker(request, tried): a worker to dispatch to, if one has room.
/// - spendRetry(): takes one retry or hedge out of the service's budget; false when it is spent.
/// - retryAfter(): when the caller of a request that was not run should come back.
template <typename T>
concept CallContext = requires(T &context, const CallRequest &request,
                               std::span<const WorkerId> tried)
{
    {
        context.canAppend()
        } -> std::convertible_to<bool>;
    {
        context.intents()
        } -> std::convertible_to<const IntentLedger &>;
    {
        context.chooseWorker(request, tried)
        } -> std::same_as<std::optional<WorkerId>>;
    {
        context.spendRetry()
        } -> std::convertible_to<bool>;
    {
        context.retryAfter()
        } -> std::convertible_to<Duration>;
};

} // namespace firefly
