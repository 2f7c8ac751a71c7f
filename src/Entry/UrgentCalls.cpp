#include "Entry/UrgentCalls.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <string_view>

namespace firefly {
namespace {

constexpr Duration RetryAfterOutage = std::chrono::seconds(2);
constexpr Duration RetryAfterNoWorker = std::chrono::milliseconds(500);
/// Part of a forwarded call's timeout that is reserved for the way back of its answer.
constexpr Duration ForwardMargin = std::chrono::milliseconds(20);
/// When the free fraction of this entry's urgent slots is not above this, calls go to a peer with
/// free slots.
constexpr double KeepLocalFreeShare = 0.2;
constexpr std::string_view PeerPrefix = "entry:";

/// Encodes a peer as the worker id under which a CallTracker addresses it.
WorkerId toTarget(const EntryId &peer)
{
    return WorkerId(std::string(PeerPrefix) + peer.value());
}

std::optional<EntryId> toPeer(const WorkerId &target)
{
    if (!target.value().starts_with(PeerPrefix)) {
        return std::nullopt;
    }
    return EntryId(target.value().substr(PeerPrefix.size()));
}

CallResult toCallResult(WorkerResult result)
{
    switch (result) {
    case WorkerResult::Done:
        return CallResult::Succeeded;
    case WorkerResult::Uncertain:
        return CallResult::NoAnswer;
    case WorkerResult::Refused:
    case WorkerResult::NotSent:
    case WorkerResult::ServiceError:
        break;
    }
    return CallResult::ServiceFailed;
}

/// Hash of the service and the body, which detects that a key is reused for another request.
std::uint64_t requestHash(const CallerRequest &request)
{
    const std::string &service = request.service.value();
    const auto seed = XXH3_64bits(service.data(), service.size());
    return XXH3_64bits_withSeed(request.body.data(), request.body.size(), seed);
}

/// Returns \a reply, or an Uncertain reply if it belongs to another request than \a request.
WorkerCallReply replyForRequest(const RequestId &request, const WorkerCallReply &reply)
{
    if (reply.request != request) {
        return {request, WorkerResult::Uncertain, {}};
    }
    return reply;
}

} // namespace

/// Implements CallContext for the call trackers of this entry.
class UrgentCalls::TrackerContext
{
public:
    TrackerContext(UrgentCalls &calls, TimePoint now, const ServiceId &service)
        : m_calls(calls)
        , m_now(now)
        , m_service(service)
    {}

    bool canAppend() const
    {
        const LogSession &log = m_calls.m_sessions.log;
        return log.isReachable() && log.isCurrent() && log.hasRoom();
    }
    const IntentLedger &intents() const
    {
        return m_calls.m_sessions.log.state().get<IntentLedger>();
    }
    std::optional<WorkerId> chooseWorker(const CallRequest &request,
                                         std::span<const WorkerId> tried)
    {
        return m_calls.chooseTarget(m_now, request, tried);
    }
    bool spendRetry()
    {
        ServiceState *service = m_calls.findService(m_service);
        return service != nullptr && service->retries.tryConsume();
    }
    Duration retryAfter() const { return m_calls.retryAfter(); }

private:
    UrgentCalls &m_calls;
    TimePoint m_now;
    ServiceId m_service;
};

UrgentCalls::UrgentCalls(EntryId self, ZoneId zone, const Settings &settings,
                         EntrySessions sessions, Metrics &metrics)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
    , m_settings(settings)
    , m_sessions(sessions)
    , m_metrics(metrics)
    , m_router(sessions.workers.pool())
{
    for (const auto &[id, service] : settings.services) {
        RetryBudgetSettings budget;
        budget.ratio = static_cast<double>(service.retryBudgetPercent) / 100.0;
        m_services.emplace(id, ServiceState{service, RetryBudget(budget), HedgeDelayEstimator()});
    }
}

UrgentCalls::ServiceState *UrgentCalls::findService(const ServiceId &service)
{
    const auto it = m_services.find(service);
    return it != m_services.end() ? &it->second : nullptr;
}

Duration UrgentCalls::retryAfter() const
{
    return m_sessions.log.isReachable() ? RetryAfterNoWorker : RetryAfterOutage;
}

RequestId UrgentCalls::nextRequestId()
{
    return RequestId(m_sessions.log.writer().value() + "." + std::to_string(++m_lastRequestNumber));
}

void UrgentCalls::updateAdmissionLimits(TimePoint now)
{
    const auto &lists = m_sessions.log.state().get<ListsFold>();
    const auto entries =
        static_cast<double>(m_sessions.peers.table().reachablePeers(now).size() + 1);
    m_admission.setLists(lists.plans(), lists.limits(), now);
    m_admission.setLimitShare(1.0 / entries, now);
}

UrgentCapacity UrgentCalls::freeUrgentSlots() const
{
    const WorkerPool &pool = m_sessions.workers.pool();
    const std::int64_t own = std::max<std::int64_t>(0, pool.urgentSlots() - pool.urgentInUse());
    const std::int64_t peers = m_sessions.peers.freeSlots();
    return {own + peers};
}

void UrgentCalls::onRequest(TimePoint now, CallerRequest request, CallDone done,
                            EntryActions &actions)
{
    const ServiceState *service = findService(request.service);
    FIREFLY_ASSERT(service != nullptr,
                   "callers' requests for unknown services must be rejected before this");
    CallRequest call;
    call.request = nextRequestId();
    call.customer = request.customer;
    call.service = request.service;
    call.isIdempotent = service->settings.idempotent;
    call.key = std::move(request.key);
    call.bodyHash = requestHash(request);
    call.body = std::move(request.body);
    const Duration timeout =
        request.timeout > Duration::zero() ? request.timeout : service->settings.timeout;
    call.deadline = now + timeout;
    call.attemptTimeout = timeout / 2;
    const RequestId id = call.request;
    const AdmissionRequest admissionRequest{id, call.customer, call.service,
                                            service->settings.perCall, call.deadline};
    auto tracker = CallTracker(std::move(call), m_self, m_sessions.log.writer());
    m_calls.emplace(id, ActiveCall{std::move(tracker), std::move(done), {}, now});
    std::vector<Refused> displaced;
    const Admission admission =
        m_admission.admit(admissionRequest, freeUrgentSlots(), now, displaced);
    if (const auto *admitted = std::get_if<Admitted>(&admission)) {
        startCall(now, *admitted, actions);
    } else if (const auto *refused = std::get_if<Refused>(&admission)) {
        refuse(id, *refused);
    }
    for (const Refused &refusal : displaced) {
        refuse(refusal.request, refusal);
    }
}

void UrgentCalls::startCall(TimePoint now, const Admitted &admitted, EntryActions &actions)
{
    ActiveCall &call = m_calls.at(admitted.request);
    call.admitted = admitted;
    const CallRequest &request = call.tracker.request();
    const RequestId id = request.request;
    ServiceState &service = *findService(request.service);
    service.retries.recordRequest();
    m_deadlines.emplace(request.deadline, id);
    if (request.isIdempotent && service.settings.hedge) {
        m_hedgeTimes.emplace(now + service.hedge.delay(), id);
    }
    if (!request.isIdempotent) {
        m_requestsOfKey[call.tracker.key()].insert(id);
    }
    TrackerContext context(*this, now, request.service);
    performActions(now, id, call.tracker.start(now, context), actions);
}

void UrgentCalls::refuse(const RequestId &request, const Refused &refused)
{
    const auto it = m_calls.find(request);
    if (it == m_calls.end()) {
        return;
    }
    CallReply reply;
    reply.request = request;
    reply.outcome = Outcome::NotRun;
    reply.body = std::string(toString(refused.reason));
    reply.retryAfter = refused.retryAfter;
    const CallDone done = std::move(it->second.done);
    m_calls.erase(it);
    m_metrics.add("firefly_calls_refused_total");
    done(reply);
}

void UrgentCalls::performActions(TimePoint now, const RequestId &request, const CallActions &calls,
                                 EntryActions &actions)
{
    for (const CallAction &action : calls) {
        ActiveCall &call = m_calls.at(request);
        if (const auto *intent = std::get_if<AppendIntent>(&action)) {
            m_sessions.log.push(intent->record, AppendPriority::NewWork);
        } else if (const auto *conclusion = std::get_if<AppendConclusion>(&action)) {
            m_sessions.log.push(conclusion->record, AppendPriority::Fact);
        } else if (const auto *send = std::get_if<DispatchCall>(&action)) {
            dispatch(now, call, *send, actions);
        } else {
            answer(now, call, std::get<ReplyToCaller>(action).reply);
        }
    }
    eraseIfOver(request);
}

void UrgentCalls::dispatch(TimePoint now, ActiveCall &call, const DispatchCall &dispatch,
                           EntryActions &actions)
{
    if (const auto peer = toPeer(dispatch.call.worker)) {
        forward(now, call, dispatch, *peer, actions);
        return;
    }
    const WorkerInfo &info = *m_sessions.workers.table().find(dispatch.call.worker);
    const auto index = m_sessions.workers.pool().find(info.id);
    FIREFLY_ASSERT(index.has_value(), "a dispatched call's worker must be in the pool");
    const std::uint64_t number = ++m_lastDispatchNumber;
    m_sentDispatches[number] = {
        call.tracker.request().request, dispatch.number, false, index, info.shard(), {}, now};
    SendCall send{info, number, dispatch.call};
    send.call.term = m_sessions.workers.dispatchTerm(info.id, now).value_or(0);
    send.call.key = call.tracker.request().key;
    actions.emplace_back(std::move(send));
}

void UrgentCalls::forward(TimePoint now, ActiveCall &call, const DispatchCall &dispatch,
                          const EntryId &peer, EntryActions &actions)
{
    const CallRequest &request = call.tracker.request();
    const std::uint64_t number = ++m_lastDispatchNumber;
    m_sentDispatches[number] = {
        request.request, dispatch.number, false, std::nullopt, {}, peer, now};
    m_sessions.peers.onCallForwarded(peer);
    ForwardedCall forwarded;
    forwarded.request = request.request;
    forwarded.customer = request.customer;
    forwarded.service = request.service;
    forwarded.key = request.key;
    forwarded.remaining = dispatch.call.timeout;
    forwarded.body = dispatch.call.body;
    actions.emplace_back(SendForward{*m_sessions.peers.find(peer), number, std::move(forwarded)});
}

void UrgentCalls::answer(TimePoint now, ActiveCall &call, const CallReply &reply)
{
    const Duration latency = now - call.arrivedAt;
    const bool isAnswered = reply.outcome == Outcome::Answer;
    m_admission.finish(call.admitted, isAnswered ? std::optional(latency) : std::nullopt);
    m_metrics.add("firefly_calls_total{outcome=\"" + std::string(toString(reply.outcome)) + "\"}");
    if (isAnswered) {
        m_metrics.record("firefly_call_seconds", latency);
        findService(call.tracker.request().service)->hedge.record(latency);
    }
    call.done(reply);
}

void UrgentCalls::eraseIfOver(const RequestId &request)
{
    const auto it = m_calls.find(request);
    if (it == m_calls.end() || !it->second.tracker.isOver()) {
        return;
    }
    const auto requestsOfKey = m_requestsOfKey.find(it->second.tracker.key());
    if (requestsOfKey != m_requestsOfKey.end()) {
        requestsOfKey->second.erase(request);
        if (requestsOfKey->second.empty()) {
            m_requestsOfKey.erase(requestsOfKey);
        }
    }
    m_calls.erase(it);
}

std::optional<WorkerId> UrgentCalls::chooseTarget(TimePoint now, const CallRequest &request,
                                                  std::span<const WorkerId> tried)
{
    const WorkerPool &pool = m_sessions.workers.pool();
    const auto free = static_cast<double>(pool.urgentSlots() - pool.urgentInUse());
    const bool hasLocalCapacity =
        free > KeepLocalFreeShare * static_cast<double>(pool.urgentSlots());
    if (hasLocalCapacity) {
        if (auto worker = routeToOwnWorker(now, request.customer, request.isIdempotent, tried)) {
            return worker;
        }
    }
    std::vector<EntryId> triedPeers;
    for (const WorkerId &it : tried) {
        if (auto peer = toPeer(it)) {
            triedPeers.push_back(std::move(*peer));
        }
    }
    const auto peer = m_sessions.peers.chooseForwardTarget(m_sessions.random(), triedPeers,
                                                           zonesOf(request.customer));
    if (peer) {
        return toTarget(peer->id);
    }
    return routeToOwnWorker(now, request.customer, request.isIdempotent, tried);
}

std::span<const std::string> UrgentCalls::zonesOf(const CustomerId &customer) const
{
    const PlanLimits *limits = m_sessions.log.state().get<ListsFold>().limitsOf(customer);
    return limits != nullptr ? std::span<const std::string>(limits->zones)
                             : std::span<const std::string>();
}

std::optional<WorkerId> UrgentCalls::routeToOwnWorker(TimePoint now, const CustomerId &customer,
                                                      bool isIdempotent,
                                                      std::span<const WorkerId> tried)
{
    WorkerPool &pool = m_sessions.workers.pool();
    std::vector<WorkerIndex> exclude;
    for (const WorkerId &it : tried) {
        if (const auto index = pool.find(it)) {
            exclude.push_back(*index);
        }
    }
    RoutingRequest request;
    request.callerZone = pool.links().index(m_zone);
    request.idempotent = isIdempotent;
    request.exclude = exclude;
    std::vector<ZoneIndex> zones;
    for (const std::string &zone : zonesOf(customer)) {
        zones.push_back(pool.links().index(ZoneId(zone)));
    }
    request.zones = zones;
    const auto decision = m_router.route(request, m_sessions.random, now);
    if (!decision) {
        return std::nullopt;
    }
    const WorkerId &worker = pool.view(decision->worker).info.id;
    if (m_sessions.workers.dispatchTerm(worker, now)) {
        return worker;
    }
    pool.releaseUrgent(decision->worker, {CallResult::Abandoned, {}, m_zone}, now);
    return std::nullopt;
}

void UrgentCalls::onForwardedCall(TimePoint now, ForwardedCall call, ForwardDone done,
                                  EntryActions &actions)
{
    const auto worker = routeToOwnWorker(now, call.customer, call.key.empty(), {});
    if (!worker || m_forwardedCalls.contains(call.request)) {
        done({call.request, WorkerResult::Refused, {}, RetryAfterNoWorker});
        return;
    }
    const WorkerInfo &info = *m_sessions.workers.table().find(*worker);
    const std::uint64_t number = ++m_lastDispatchNumber;
    m_sentDispatches[number] = {call.request, 0,  true, m_sessions.workers.pool().find(*worker),
                                info.shard(), {}, now};
    m_forwardedCalls.emplace(call.request, std::move(done));
    WorkerCall message;
    message.worker = *worker;
    message.term = m_sessions.workers.dispatchTerm(*worker, now).value_or(0);
    message.request = call.request;
    message.service = call.service;
    message.key = call.key;
    message.body = std::move(call.body);
    message.timeout = std::max(call.remaining - ForwardMargin, call.remaining / 2);
    actions.emplace_back(SendCall{info, number, std::move(message)});
}

std::optional<UrgentCalls::SentDispatch> UrgentCalls::takeSentDispatch(std::uint64_t number)
{
    const auto it = m_sentDispatches.find(number);
    if (it == m_sentDispatches.end()) {
        return std::nullopt;
    }
    SentDispatch sent = std::move(it->second);
    m_sentDispatches.erase(it);
    return sent;
}

void UrgentCalls::releaseWorker(TimePoint now, const SentDispatch &sent, WorkerResult result)
{
    const CallObservation observation{toCallResult(result), now - sent.sentAt, m_zone};
    m_sessions.workers.pool().releaseUrgent(*sent.worker, observation, now);
}

void UrgentCalls::onCallReply(TimePoint now, std::uint64_t number, const WorkerCallReply &reply,
                              EntryActions &actions)
{
    const auto sent = takeSentDispatch(number);
    if (!sent) {
        return;
    }
    releaseWorker(now, *sent, reply.result);
    if (sent->isForPeer) {
        answerPeer(now, *sent, reply);
        return;
    }
    passReplyToTracker(now, *sent, reply, actions);
}

void UrgentCalls::answerPeer(TimePoint now, const SentDispatch &sent, const WorkerCallReply &reply)
{
    const auto it = m_forwardedCalls.find(sent.request);
    FIREFLY_ASSERT(it != m_forwardedCalls.end(), "a forwarded call must be answered exactly once");
    const ForwardDone done = std::move(it->second);
    m_forwardedCalls.erase(it);
    m_metrics.record("firefly_forwarded_call_seconds", now - sent.sentAt);
    const WorkerCallReply checkedReply = replyForRequest(sent.request, reply);
    done({checkedReply.request, checkedReply.result, checkedReply.body, RetryAfterNoWorker});
}

void UrgentCalls::passReplyToTracker(TimePoint now, const SentDispatch &sent,
                                     const WorkerCallReply &reply, EntryActions &actions)
{
    const auto it = m_calls.find(sent.request);
    if (it == m_calls.end()) {
        return;
    }
    TrackerContext context(*this, now, it->second.tracker.request().service);
    const WorkerCallReply checkedReply = replyForRequest(sent.request, reply);
    performActions(now, sent.request,
                   it->second.tracker.onReply(now, sent.trackerNumber, checkedReply, context),
                   actions);
    processAdmissionQueue(now, actions);
}

void UrgentCalls::onForwardReply(TimePoint now, std::uint64_t number, const ForwardedResult &result,
                                 EntryActions &actions)
{
    const auto sent = takeSentDispatch(number);
    if (!sent) {
        return;
    }
    m_sessions.peers.onForwardAnswered(sent->peer);
    passReplyToTracker(now, *sent, {result.request, result.result, result.body}, actions);
}

void UrgentCalls::onRecord(TimePoint now, const LoggedEnvelope &logged, EntryActions &actions)
{
    const auto *intended = std::get_if<CallIntended>(&logged.envelope.record);
    const auto *concluded = std::get_if<CallConcluded>(&logged.envelope.record);
    if (intended == nullptr && concluded == nullptr) {
        return;
    }
    const CallKey key = intended != nullptr ? CallKey{intended->customer, intended->key}
                                            : CallKey{concluded->customer, concluded->key};
    const auto requestsOfKey = m_requestsOfKey.find(key);
    if (requestsOfKey == m_requestsOfKey.end()) {
        return;
    }
    const std::set<RequestId> requests = requestsOfKey->second;
    for (const RequestId &request : requests) {
        const auto it = m_calls.find(request);
        if (it == m_calls.end()) {
            continue;
        }
        CallTracker &tracker = it->second.tracker;
        TrackerContext context(*this, now, tracker.request().service);
        performActions(now, request,
                       intended != nullptr ? tracker.onIntended(now, *intended, context)
                                           : tracker.onConcluded(now, context),
                       actions);
    }
}

void UrgentCalls::onRestored(TimePoint now, EntryActions &actions)
{
    std::vector<RequestId> requests;
    for (const auto &[key, keyRequests] : m_requestsOfKey) {
        requests.insert(requests.end(), keyRequests.begin(), keyRequests.end());
    }
    for (const RequestId &request : requests) {
        const auto it = m_calls.find(request);
        if (it == m_calls.end()) {
            continue;
        }
        TrackerContext context(*this, now, it->second.tracker.request().service);
        performActions(now, request, it->second.tracker.onConcluded(now, context), actions);
    }
}

void UrgentCalls::tick(TimePoint now, EntryActions &actions)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const RequestId request = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        const auto it = m_calls.find(request);
        if (it == m_calls.end()) {
            continue;
        }
        TrackerContext context(*this, now, it->second.tracker.request().service);
        performActions(now, request, it->second.tracker.onDeadline(now, context), actions);
    }
    while (!m_hedgeTimes.empty() && m_hedgeTimes.begin()->first <= now) {
        const RequestId request = m_hedgeTimes.begin()->second;
        m_hedgeTimes.erase(m_hedgeTimes.begin());
        const auto it = m_calls.find(request);
        if (it == m_calls.end()) {
            continue;
        }
        TrackerContext context(*this, now, it->second.tracker.request().service);
        performActions(now, request, it->second.tracker.hedge(now, context), actions);
    }
    processAdmissionQueue(now, actions);
}

void UrgentCalls::processAdmissionQueue(TimePoint now, EntryActions &actions)
{
    for (const Refused &refused : m_admission.expire(now)) {
        refuse(refused.request, refused);
    }
    std::int64_t free = freeUrgentSlots().free;
    while (free-- > 0) {
        const auto next = m_admission.admitNext();
        if (!next) {
            break;
        }
        startCall(now, *next, actions);
    }
}

bool UrgentCalls::hasMessagesInFlight(const ShardId &shard) const
{
    return std::any_of(m_sentDispatches.begin(), m_sentDispatches.end(),
                       [&shard](const auto &it) { return it.second.shard == shard; });
}

nlohmann::json UrgentCalls::dump() const
{
    auto calls = nlohmann::json::object();
    for (const auto &[id, call] : m_calls) {
        calls[id.value()] = call.tracker.dump();
    }
    auto services = nlohmann::json::object();
    for (const auto &[id, service] : m_services) {
        services[id.value()] = {{"requests", service.retries.requests()},
                                {"extraRequests", service.retries.extraRequests()},
                                {"hedgeDelayUs", service.hedge.delay().count()}};
    }
    return {{"active", std::move(calls)},
            {"forwardedHere", m_forwardedCalls.size()},
            {"services", std::move(services)},
            {"admission", m_admission.dump()}};
}

} // namespace firefly
