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

/// Where one request stands.
enum class CallState {
    Received,
    AwaitingIntent, ///< Its own intent was appended and not read back yet.
    AwaitingOther,  ///< Another request with the key may be executing; waits for its conclusion.
    Dispatched,     ///< At least one dispatch has no reply yet.
    Concluded,      ///< The caller has its outcome.
};

std::string_view toString(CallState state);

/// State machine of one caller's request, from its admission to its one outcome.
///
/// An idempotent request is dispatched at once and may be retried and hedged.  A non-idempotent one
/// is dispatched only after its intent was read back as the winner of its key, and dispatched again
/// only when the dispatch before surely did not run.  Each method returns what the entry must do.
/// Replies with an unknown number, or for another request, are ignored.
class CallTracker
{
public:
    /// Longest answer that goes into the log, in bytes; a longer one is concluded as Unknown there.
    static constexpr std::size_t MaxStoredAnswerBytes = std::size_t{64} * 1024;
    /// Dispatches of one request at most, first one included.
    static constexpr std::size_t MaxDispatches = 4;
    /// Intents of one request at most; another one is needed when the key's winner reopened it.
    static constexpr std::size_t MaxIntents = 3;

    CallTracker(CallRequest request, EntryId entry, WriterId writer);

    /// Starts the request.
    template <CallContext Context>
    CallActions start(TimePoint now, Context &context)
    {
        FIREFLY_ASSERT(m_state == CallState::Received, "a request starts once");
        CallActions actions;
        if (m_request.isIdempotent) {
            dispatch(now, context, actions);
        } else {
            followKey(now, context, actions);
        }
        return actions;
    }

    /// A CallIntended of this request's key was read back and folded.
    template <CallContext Context>
    CallActions onIntended(TimePoint now, const CallIntended &record, Context &context)
    {
        if (record.request == m_request.request) {
            m_intentOnItsWay = false;
        }
        return onKeyChanged(now, context);
    }

    /// A CallConcluded of this request's key was read back and folded.
    template <CallContext Context>
    CallActions onConcluded(TimePoint now, Context &context)
    {
        return onKeyChanged(now, context);
    }

    /// The reply to dispatch \a number.
    template <CallContext Context>
    CallActions onReply(TimePoint now, std::uint64_t number, const WorkerCallReply &reply,
                        Context &context)
    {
        CallActions actions;
        if (!settle(number, reply)) {
            return actions;
        }
        if (isAnswered()) {
            concludeLate(reply, actions);
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
            retryOr(now, CallReason::RetriesExhausted, context, actions);
            break;
        case WorkerResult::Uncertain:
            retryOr(now, CallReason::ReplyUncertain, context, actions);
            break;
        }
        return actions;
    }

    /// Sends an idempotent request to a second worker while the first one is slow.
    template <CallContext Context>
    CallActions hedge(TimePoint now, Context &context)
    {
        CallActions actions;
        if (canHedge(now) && context.spendRetry()) {
            tryDispatch(now, context, actions);
        }
        return actions;
    }

    /// Gives up when the deadline has passed; call at deadline() or later.
    template <CallContext Context>
    CallActions onTime(TimePoint now, Context &context)
    {
        CallActions actions;
        if (!isAnswered() && now >= m_request.deadline) {
            giveUp(CallReason::DeadlinePassed, context.retryAfter(), actions);
        }
        return actions;
    }

    const CallRequest &request() const { return m_request; }
    CallKey key() const { return {m_request.customer, m_request.key}; }
    TimePoint deadline() const { return m_request.deadline; }
    CallState state() const { return m_state; }
    /// True once the caller has its outcome.
    bool isAnswered() const { return m_state == CallState::Concluded; }
    /// True when nothing more can come; the tracker may be dropped.
    bool isOver() const { return isAnswered() && m_outstanding.empty(); }

    nlohmann::json dump() const;

private:
    template <CallContext Context>
    CallActions onKeyChanged(TimePoint now, Context &context)
    {
        CallActions actions;
        if (m_state == CallState::AwaitingIntent || m_state == CallState::AwaitingOther) {
            followKey(now, context, actions);
        }
        return actions;
    }

    /// Acts on what the log says about the key.
    template <CallContext Context>
    void followKey(TimePoint now, Context &context, CallActions &actions)
    {
        if (now >= m_request.deadline) {
            giveUp(CallReason::DeadlinePassed, context.retryAfter(), actions);
            return;
        }
        const CallIntent *intent = static_cast<const IntentLedger &>(context.intents()).find(key());
        if (intent == nullptr) {
            intend(context.canAppend(), context.retryAfter(), actions);
        } else if (isOwn(*intent)) {
            dispatch(now, context, actions);
        } else {
            followOther(*intent, actions);
        }
    }

    /// First dispatch.
    template <CallContext Context>
    void dispatch(TimePoint now, Context &context, CallActions &actions)
    {
        if (!tryDispatch(now, context, actions)) {
            giveUp(CallReason::NoWorker, context.retryAfter(), actions);
        }
    }

    template <CallContext Context>
    bool tryDispatch(TimePoint now, Context &context, CallActions &actions)
    {
        if (now >= m_request.deadline) {
            return false;
        }
        const auto worker = context.chooseWorker(m_request, std::span<const WorkerId>(m_tried));
        if (!worker) {
            return false;
        }
        const IntentLedger &intents = context.intents();
        FIREFLY_ASSERT(m_request.isIdempotent || isOwnWinner(intents),
                       "a non-idempotent call runs only for the winner of its key");
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

    /// Dispatches again when that is allowed, else concludes unless a hedge is still out.
    template <CallContext Context>
    void retryOr(TimePoint now, CallReason reason, Context &context, CallActions &actions)
    {
        if (!m_outstanding.empty() || retry(now, context, actions)) {
            return;
        }
        giveUp(reason, context.retryAfter(), actions);
    }

    template <CallContext Context>
    bool retry(TimePoint now, Context &context, CallActions &actions)
    {
        if (!canRetry(now) || !context.spendRetry()) {
            return false;
        }
        return tryDispatch(now, context, actions);
    }

    bool isOwn(const CallIntent &intent) const;
    bool isOwnWinner(const IntentLedger &intents) const;
    bool canRetry(TimePoint now) const;
    bool canHedge(TimePoint now) const;
    /// Takes dispatch \a number off; false when the reply is late or foreign.
    bool settle(std::uint64_t number, const WorkerCallReply &reply);
    /// Appends this request's intent, once until it was read back.
    void intend(bool canAppend, Duration retryAfter, CallActions &actions);
    void followOther(const CallIntent &intent, CallActions &actions);
    DispatchCall send(TimePoint now, const WorkerId &worker);
    /// Concludes without an answer: NotRun when that is sure, else Unknown.
    void giveUp(CallReason reason, Duration retryAfter, CallActions &actions);
    void concludeWith(Outcome outcome, CallReason reason, const std::string &body,
                      CallActions &actions);
    /// Records what a reply behind the caller's outcome says about the key.
    void concludeLate(const WorkerCallReply &reply, CallActions &actions);
    void answer(CallReply reply, CallActions &actions);
    void record(Outcome outcome, const std::string &body, CallActions &actions);

    CallRequest m_request;
    EntryId m_entry;
    WriterId m_writer;
    CallState m_state = CallState::Received;
    std::map<std::uint64_t, WorkerId> m_outstanding; ///< Dispatches without a reply, by number.
    std::vector<WorkerId> m_tried;
    std::uint64_t m_dispatches = 0;
    std::uint64_t m_serviceErrors = 0;
    std::uint64_t m_intents = 0;   ///< Intents appended.
    bool m_intentOnItsWay = false; ///< The last intent was not read back yet.
    bool m_mayHaveRun = false;
    bool m_recorded = false; ///< A conclusion of the key was appended.
};

} // namespace firefly
