#pragma once

#include "Calls/CallMessages.h"
#include "Calls/IntentLedger.h"
#include "Core/Assert.h"
#include "Core/Clock.h"
#include "Core/Id.h"
#include "Records/Record.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace firefly {

/// Progress of a request.
enum class CallState {
    Received,
    AwaitingIntent, ///< Its intent was appended to the log and not read back yet.
    AwaitingOther,  ///< Waits for the conclusion of another request with the same key.
    Dispatched,     ///< Was sent to a worker at least once and has no outcome yet.
    Concluded,      ///< Its outcome was sent to the caller.
};

std::string_view toString(CallState state);

/// State machine of one caller's request, from its admission to its outcome.
///
/// An idempotent request is dispatched at once and may be retried and hedged.  A non-idempotent one
/// is dispatched only after its intent was read back as the winner of its key, and dispatched again
/// only when the previous dispatch is known not to have run.  Each method returns the actions that
/// the entry must carry out.  Replies with an unknown number or for another request are ignored.
class CallTracker
{
public:
    /// Longest answer that is stored in the log, in bytes; a longer one is recorded there as
    /// Unknown.
    static constexpr std::size_t MaxStoredAnswerBytes = std::size_t{64} * 1024;
    /// Maximum number of dispatches of one request, including the first.
    static constexpr std::size_t MaxDispatches = 4;
    /// Maximum number of intents of one request; a further one is needed each time the key's winner
    /// did not run and reopened the key.
    static constexpr std::size_t MaxIntents = 3;

    CallTracker(CallRequest request, EntryId entry, WriterId writer);

    /// Starts the request; call it once.
    template <CallContext Context>
    CallActions start(TimePoint now, Context &context)
    {
        FIREFLY_ASSERT(m_state == CallState::Received, "a request is started once");
        CallActions actions;
        if (m_request.isIdempotent) {
            dispatchFirst(now, context, actions);
        } else {
            handleKeyState(now, context, actions);
        }
        return actions;
    }

    /// Call after a CallIntended of this request's key was read and applied to the ledger.
    template <CallContext Context>
    CallActions onIntended(TimePoint now, const CallIntended &record, Context &context)
    {
        if (record.request == m_request.request) {
            m_isIntentInFlight = false;
        }
        return onKeyChanged(now, context);
    }

    /// Call after a CallConcluded of this request's key was read and applied to the ledger.
    template <CallContext Context>
    CallActions onConcluded(TimePoint now, Context &context)
    {
        return onKeyChanged(now, context);
    }

    /// Applies the reply to dispatch \a number.
    template <CallContext Context>
    CallActions onReply(TimePoint now, std::uint64_t number, const WorkerCallReply &reply,
                        Context &context)
    {
        CallActions actions;
        if (!completeDispatch(number, reply)) {
            return actions;
        }
        if (isAnswered()) {
            recordLateReply(reply, actions);
            return actions;
        }
        switch (reply.result) {
        case WorkerResult::Done:
            concludeWith(Outcome::Answer, CallReason::None, reply.body, actions);
            break;
        case WorkerResult::ServiceError:
            onServiceError(now, reply, context, actions);
            break;
        case WorkerResult::Refused:
        case WorkerResult::NotSent:
            retryOrConclude(now, CallReason::RetriesExhausted, context, actions);
            break;
        case WorkerResult::Uncertain:
            retryOrConclude(now, CallReason::ReplyUncertain, context, actions);
            break;
        }
        return actions;
    }

    /// Sends an idempotent request to a second worker; call it when the first one is slow.
    template <CallContext Context>
    CallActions hedge(TimePoint now, Context &context)
    {
        CallActions actions;
        if (canHedge(now) && context.spendRetry()) {
            tryDispatch(now, context, actions);
        }
        return actions;
    }

    /// Concludes an unanswered request whose deadline has passed; call it at deadline() or later.
    template <CallContext Context>
    CallActions onDeadline(TimePoint now, Context &context)
    {
        CallActions actions;
        if (!isAnswered() && now >= m_request.deadline) {
            concludeUnanswered(CallReason::DeadlinePassed, context.retryAfter(), actions);
        }
        return actions;
    }

    const CallRequest &request() const { return m_request; }
    CallKey key() const { return {m_request.customer, m_request.key}; }
    TimePoint deadline() const { return m_request.deadline; }
    CallState state() const { return m_state; }
    /// True once the outcome was sent to the caller.
    bool isAnswered() const { return m_state == CallState::Concluded; }
    /// True when the request is answered and no reply is outstanding; the tracker may be destroyed.
    bool isOver() const { return isAnswered() && m_outstanding.empty(); }

    nlohmann::json dump() const;

private:
    template <CallContext Context>
    CallActions onKeyChanged(TimePoint now, Context &context)
    {
        CallActions actions;
        if (m_state == CallState::AwaitingIntent || m_state == CallState::AwaitingOther) {
            handleKeyState(now, context, actions);
        }
        return actions;
    }

    /// Takes the next step for a non-idempotent request, depending on the logged intent of its key.
    template <CallContext Context>
    void handleKeyState(TimePoint now, Context &context, CallActions &actions)
    {
        if (now >= m_request.deadline) {
            concludeUnanswered(CallReason::DeadlinePassed, context.retryAfter(), actions);
            return;
        }
        const CallIntent *intent = static_cast<const IntentLedger &>(context.intents()).find(key());
        if (intent == nullptr) {
            appendIntent(context.canAppend(), context.retryAfter(), actions);
        } else if (isOwnIntent(*intent)) {
            dispatchFirst(now, context, actions);
        } else {
            handleOtherWinner(*intent, actions);
        }
    }

    /// Dispatches for the first time; concludes the request when no worker is available.
    template <CallContext Context>
    void dispatchFirst(TimePoint now, Context &context, CallActions &actions)
    {
        if (!tryDispatch(now, context, actions)) {
            concludeUnanswered(CallReason::NoWorker, context.retryAfter(), actions);
        }
    }

    template <CallContext Context>
    bool tryDispatch(TimePoint now, Context &context, CallActions &actions)
    {
        if (now >= m_request.deadline) {
            return false;
        }
        const auto worker =
            context.chooseWorker(m_request, std::span<const WorkerId>(m_triedWorkers));
        if (!worker) {
            return false;
        }
        const IntentLedger &intents = context.intents();
        FIREFLY_ASSERT(m_request.isIdempotent || hasWonKey(intents),
                       "a non-idempotent call is dispatched only for the winner of its key");
        actions.emplace_back(send(now, *worker));
        return true;
    }

    template <CallContext Context>
    void onServiceError(TimePoint now, const WorkerCallReply &reply, Context &context,
                        CallActions &actions)
    {
        const bool mayRetry = m_request.isIdempotent && m_serviceErrors++ == 0;
        if (mayRetry && retry(now, context, actions)) {
            return;
        }
        concludeWith(Outcome::Failed, CallReason::ServiceFailed, reply.body, actions);
    }

    /// Dispatches again if allowed; otherwise concludes, unless another dispatch is outstanding.
    template <CallContext Context>
    void retryOrConclude(TimePoint now, CallReason reason, Context &context, CallActions &actions)
    {
        if (!m_outstanding.empty() || retry(now, context, actions)) {
            return;
        }
        concludeUnanswered(reason, context.retryAfter(), actions);
    }

    template <CallContext Context>
    bool retry(TimePoint now, Context &context, CallActions &actions)
    {
        if (!canRetry(now) || !context.spendRetry()) {
            return false;
        }
        return tryDispatch(now, context, actions);
    }

    bool isOwnIntent(const CallIntent &intent) const;
    bool hasWonKey(const IntentLedger &intents) const;
    bool canRetry(TimePoint now) const;
    bool canHedge(TimePoint now) const;
    /// Removes dispatch \a number; false when it is not outstanding or the reply is of another
    /// request.
    bool completeDispatch(std::uint64_t number, const WorkerCallReply &reply);
    /// Appends this request's intent unless one is in flight already.
    void appendIntent(bool canAppend, Duration retryAfter, CallActions &actions);
    void handleOtherWinner(const CallIntent &intent, CallActions &actions);
    DispatchCall send(TimePoint now, const WorkerId &worker);
    /// Concludes without an answer: as NotRun when the call is known not to have run, else Unknown.
    void concludeUnanswered(CallReason reason, Duration retryAfter, CallActions &actions);
    void concludeWith(Outcome outcome, CallReason reason, const std::string &body,
                      CallActions &actions);
    /// Appends the key's conclusion from a reply that arrived after the caller got its outcome.
    void recordLateReply(const WorkerCallReply &reply, CallActions &actions);
    void replyToCaller(CallReply reply, CallActions &actions);
    void appendConclusion(Outcome outcome, const std::string &body, CallActions &actions);

    CallRequest m_request;
    EntryId m_entry;
    WriterId m_writer;
    CallState m_state = CallState::Received;
    std::map<std::uint64_t, WorkerId> m_outstanding; ///< Dispatches without a reply, by number.
    std::vector<WorkerId> m_triedWorkers;
    std::uint64_t m_dispatches = 0;
    std::uint64_t m_serviceErrors = 0;
    std::uint64_t m_intents = 0;         ///< Number of intents appended.
    bool m_isIntentInFlight = false;     ///< The last intent was appended and not read back yet.
    bool m_mayHaveRun = false;           ///< A dispatch ran or may have run.
    bool m_isConclusionAppended = false; ///< The key's conclusion was appended.
};

} // namespace firefly
