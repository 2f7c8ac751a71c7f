#include "Calls/CallTracker.h"

#include "Records/IdJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace firefly {

std::string_view toString(CallReason reason)
{
    switch (reason) {
    case CallReason::None:
        return "none";
    case CallReason::StoredAnswer:
        return "stored-answer";
    case CallReason::LogUnavailable:
        return "log-unavailable";
    case CallReason::NoWorker:
        return "no-worker";
    case CallReason::RetriesExhausted:
        return "retries-exhausted";
    case CallReason::DeadlinePassed:
        return "deadline-passed";
    case CallReason::KeyReused:
        return "key-reused";
    case CallReason::KeyInProgress:
        return "key-in-progress";
    case CallReason::ReplyUncertain:
        return "reply-uncertain";
    case CallReason::ServiceFailed:
        break;
    }
    return "service-failed";
}

std::string_view toString(CallState state)
{
    switch (state) {
    case CallState::Received:
        return "received";
    case CallState::AwaitingIntent:
        return "awaiting-intent";
    case CallState::AwaitingOther:
        return "awaiting-other";
    case CallState::Dispatched:
        return "dispatched";
    case CallState::Concluded:
        break;
    }
    return "concluded";
}

CallTracker::CallTracker(CallRequest request, EntryId entry, WriterId writer)
    : m_request(std::move(request))
    , m_entry(std::move(entry))
    , m_writer(std::move(writer))
{
    FIREFLY_ASSERT(m_request.isIdempotent || !m_request.key.empty(),
                   "a non-idempotent request has a key");
}

bool CallTracker::isOwnIntent(const CallIntent &intent) const
{
    return intent.request == m_request.request && intent.writer == m_writer;
}

bool CallTracker::hasWonKey(const IntentLedger &intents) const
{
    const CallIntent *intent = intents.find(key());
    return intent != nullptr && isOwnIntent(*intent) && !intent->outcome;
}

bool CallTracker::canRetry(TimePoint now) const
{
    return now < m_request.deadline && m_dispatches < MaxDispatches
           && (m_request.isIdempotent || !m_mayHaveRun);
}

bool CallTracker::canHedge(TimePoint now) const
{
    return m_request.isIdempotent && m_state == CallState::Dispatched && m_outstanding.size() == 1
           && canRetry(now);
}

bool CallTracker::completeDispatch(std::uint64_t number, const WorkerCallReply &reply)
{
    if (reply.request != m_request.request || m_outstanding.erase(number) == 0) {
        return false;
    }
    const bool didNotRun =
        reply.result == WorkerResult::Refused || reply.result == WorkerResult::NotSent;
    m_mayHaveRun = m_mayHaveRun || !didNotRun;
    return true;
}

void CallTracker::appendIntent(bool canAppend, Duration retryAfter, CallActions &actions)
{
    m_state = CallState::AwaitingIntent;
    if (m_isIntentInFlight) {
        return;
    }
    if (!canAppend || m_intents >= MaxIntents) {
        concludeUnanswered(CallReason::LogUnavailable, retryAfter, actions);
        return;
    }
    ++m_intents;
    m_isIntentInFlight = true;
    actions.emplace_back(AppendIntent{{m_request.customer, m_request.key, m_entry, m_writer,
                                       m_request.request, m_request.bodyHash}});
}

void CallTracker::handleOtherWinner(const CallIntent &intent, CallActions &actions)
{
    m_state = CallState::AwaitingOther;
    CallReply reply{m_request.request};
    if (intent.bodyHash != m_request.bodyHash) {
        reply.outcome = Outcome::NotRun;
        reply.reason = CallReason::KeyReused;
    } else if (intent.outcome) {
        reply.outcome = *intent.outcome;
        reply.reason = CallReason::StoredAnswer;
        reply.body = intent.answer;
    } else {
        return;
    }
    appendConclusion(Outcome::NotRun, {}, actions);
    replyToCaller(std::move(reply), actions);
}

DispatchCall CallTracker::send(TimePoint now, const WorkerId &worker)
{
    FIREFLY_ASSERT(!isAnswered(), "an answered request is not dispatched");
    FIREFLY_ASSERT(m_request.isIdempotent || (!m_mayHaveRun && m_outstanding.empty()),
                   "a non-idempotent call is dispatched again only if it did not run");
    const Duration remaining = m_request.deadline - now;
    const bool hasAttemptTimeout =
        m_request.isIdempotent && m_request.attemptTimeout > Duration::zero();
    m_state = CallState::Dispatched;
    m_outstanding.emplace(++m_dispatches, worker);
    m_triedWorkers.push_back(worker);
    DispatchCall dispatch;
    dispatch.number = m_dispatches;
    dispatch.call.worker = worker;
    dispatch.call.request = m_request.request;
    dispatch.call.service = m_request.service;
    dispatch.call.body = m_request.body;
    dispatch.call.timeout =
        hasAttemptTimeout ? std::min(remaining, m_request.attemptTimeout) : remaining;
    return dispatch;
}

void CallTracker::concludeUnanswered(CallReason reason, Duration retryAfter, CallActions &actions)
{
    CallReply reply{m_request.request};
    reply.reason = reason;
    if (m_state == CallState::AwaitingOther) {
        reply.reason = CallReason::KeyInProgress;
        appendConclusion(Outcome::NotRun, {}, actions);
    } else if (!m_outstanding.empty()) {
        reply.outcome = Outcome::Unknown;
    } else if (m_mayHaveRun) {
        appendConclusion(Outcome::Unknown, {}, actions);
    } else {
        reply.outcome = Outcome::NotRun;
        reply.retryAfter = retryAfter;
        appendConclusion(Outcome::NotRun, {}, actions);
    }
    replyToCaller(std::move(reply), actions);
}

void CallTracker::concludeWith(Outcome outcome, CallReason reason, const std::string &body,
                               CallActions &actions)
{
    appendConclusion(outcome, body, actions);
    replyToCaller(CallReply{m_request.request, outcome, reason, body}, actions);
}

void CallTracker::recordLateReply(const WorkerCallReply &reply, CallActions &actions)
{
    if (m_isConclusionAppended) {
        return;
    }
    switch (reply.result) {
    case WorkerResult::Done:
        appendConclusion(Outcome::Answer, reply.body, actions);
        break;
    case WorkerResult::ServiceError:
        appendConclusion(Outcome::Failed, reply.body, actions);
        break;
    case WorkerResult::Refused:
    case WorkerResult::NotSent:
    case WorkerResult::Uncertain:
        // The caller got Unknown, so the key must not be reopened.
        appendConclusion(Outcome::Unknown, {}, actions);
        break;
    }
}

void CallTracker::replyToCaller(CallReply reply, CallActions &actions)
{
    FIREFLY_ASSERT(!isAnswered(), "a request is answered once");
    const bool didNotRun = !m_mayHaveRun && m_outstanding.empty();
    FIREFLY_ASSERT(reply.outcome != Outcome::NotRun || didNotRun,
                   "a request that may have run is not answered with NotRun");
    m_state = CallState::Concluded;
    actions.emplace_back(ReplyToCaller{std::move(reply)});
}

void CallTracker::appendConclusion(Outcome outcome, const std::string &body, CallActions &actions)
{
    if (m_request.isIdempotent || m_intents == 0) {
        return;
    }
    FIREFLY_ASSERT(!m_isConclusionAppended, "a request appends one conclusion of its key");
    m_isConclusionAppended = true;
    CallConcluded conclusion{m_request.customer, m_request.key, m_request.request, outcome, body};
    if (body.size() > MaxStoredAnswerBytes) {
        conclusion.outcome = Outcome::Unknown;
        conclusion.answer.clear();
    }
    actions.emplace_back(AppendConclusion{std::move(conclusion)});
}

nlohmann::json CallTracker::dump() const
{
    nlohmann::json outstanding = nlohmann::json::object();
    for (const auto &[number, worker] : m_outstanding) {
        outstanding[std::to_string(number)] = worker;
    }
    return {{"request", m_request.request},
            {"customer", m_request.customer},
            {"service", m_request.service},
            {"key", m_request.key},
            {"state", toString(m_state)},
            {"dispatches", m_dispatches},
            {"outstanding", std::move(outstanding)},
            {"mayHaveRun", m_mayHaveRun}};
}

} // namespace firefly
