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

/// An admitted request of a caller.
struct CallRequest
{
    RequestId request; ///< Unique over all entries and their incarnations.
    CustomerId customer;
    ServiceId service;
    bool isIdempotent = false;
    std::string key; ///< The caller's idempotency key; not empty unless isIdempotent.
    std::string body;
    std::uint64_t bodyHash = 0;
    TimePoint deadline;        ///< Time by which the caller gets an outcome.
    Duration attemptTimeout{}; ///< Timeout of one attempt of an idempotent request; 0 for none.
};

/// Reason for a request's outcome.
enum class CallReason {
    None,             ///< The backend server's own answer.
    StoredAnswer,     ///< The key was concluded before; its stored answer is returned.
    LogUnavailable,   ///< The intent could not be recorded.
    NoWorker,         ///< No worker had a free slot.
    RetriesExhausted, ///< No worker accepted it and no retry is left.
    DeadlinePassed,
    KeyReused,      ///< The key belongs to a request with another body.
    KeyInProgress,  ///< Another request with the key may be executing.
    ReplyUncertain, ///< A dispatch failed in a way that does not tell whether the call ran.
    ServiceFailed,  ///< The backend server reported a failure.
};

std::string_view toString(CallReason reason);

/// Outcome of a request, as sent to its caller.
struct CallReply
{
    RequestId request;
    Outcome outcome = Outcome::Unknown;
    CallReason reason = CallReason::None;
    std::string body;
    Duration retryAfter{}; ///< Set for NotRun, except when the key was reused.
};

/// Tells the entry to append an intent and to pass it to CallTracker::onIntended() once read back.
struct AppendIntent
{
    CallIntended record;
};

/// Tells the entry to append a conclusion to the log, after the intent.
struct AppendConclusion
{
    CallConcluded record;
};

/// Tells the entry to send the call and to pass the reply with \a number to CallTracker::onReply().
struct DispatchCall
{
    std::uint64_t number = 0;
    WorkerCall call; ///< Without the term, which the worker's owner fills in.
};

/// Tells the entry to send the caller the outcome; produced exactly once per request.
struct ReplyToCaller
{
    CallReply reply;
};

using CallAction = std::variant<AppendIntent, AppendConclusion, DispatchCall, ReplyToCaller>;
using CallActions = std::vector<CallAction>;

/// Functions of the entry that a CallTracker calls.
///
/// - canAppend(): true when the log is reachable and accepts a new intent now.
/// - intents(): the ledger of all intents read from the log so far.
/// - chooseWorker(request, tried): a worker to dispatch to; none when no worker has a free slot.
/// - spendRetry(): takes one retry or hedge from the service's retry budget; false when exhausted.
/// - retryAfter(): delay after which the caller of a request that was not run should retry.
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
