#pragma once

#include "Admission/AdmissionControl.h"
#include "Calls/CallTracker.h"
#include "Config/Settings.h"
#include "Core/Clock.h"
#include "Entry/BatchRunner.h"
#include "Entry/EntryActions.h"
#include "Ops/Metrics.h"
#include "Routing/HedgeTimer.h"
#include "Routing/RetryBudget.h"
#include "Routing/UrgentRouter.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace firefly {

/// One caller's urgent request as it arrived.
struct CallerRequest
{
    CustomerId customer;
    ServiceId service;
    std::string key; ///< Idempotency key; may be empty for idempotent services.
    std::string body;
    Duration timeout{}; ///< Until the caller's deadline; zero takes the service's own.
};

/// Receives a caller's outcome; called exactly once.
using CallDone = std::function<void(const CallReply &)>;
/// Receives a forwarded call's result; called exactly once.
using ForwardDone = std::function<void(ForwardedResult)>;

/// Urgent requests of this entry's callers, and calls that peers forwarded to its workers.
class UrgentCalls
{
public:
    UrgentCalls(EntryId self, ZoneId zone, const Settings &settings, EntrySessions sessions,
                Metrics &metrics);

    /// Takes a caller's request; refuses at once what it can't serve.
    void onRequest(TimePoint now, CallerRequest request, CallDone done, EntryActions &actions);
    /// Takes a call that a peer forwarded; it is dispatched at most once, to a worker of this
    /// entry.
    void onForwarded(TimePoint now, ForwardedCall call, ForwardDone done, EntryActions &actions);
    /// A worker answered dispatch \a number.
    void onCallReply(TimePoint now, std::uint64_t number, const WorkerCallReply &reply,
                     EntryActions &actions);
    /// A peer answered dispatch \a number.
    void onForwardReply(TimePoint now, std::uint64_t number, const ForwardedResult &result,
                        EntryActions &actions);
    /// A record about an idempotency key was folded.
    void onRecord(TimePoint now, const LoggedEnvelope &logged, EntryActions &actions);
    /// A snapshot replaced the folded state.
    void onRestored(TimePoint now, EntryActions &actions);
    /// Acts on deadlines, hedges and the admission queue.
    void tick(TimePoint now, EntryActions &actions);

    /// The lists in force changed, or the number of entries that share them.
    void setLists(TimePoint now);
    /// Requests without an outcome, forwarded ones included.
    std::size_t active() const { return m_calls.size() + m_forwarded.size(); }
    /// True while a call to a worker of \a shard has not been answered.
    bool hasMessagesInFlight(const ShardId &shard) const;

    nlohmann::json dump() const;

private:
    /// Where a dispatch went.
    struct Target
    {
        RequestId request;
        std::uint64_t trackerNumber = 0; ///< The tracker's own number of the dispatch.
        bool isForwardedHere = false;    ///< Dispatched for a peer's caller.
        std::optional<WorkerIndex> worker;
        ShardId shard;
        EntryId peer;
        TimePoint sentAt;
    };

    struct ActiveCall
    {
        CallTracker tracker;
        CallDone done;
        Admitted admitted; ///< Meaningful once the tracker was started.
        TimePoint arrivedAt;
    };

    struct ServiceState
    {
        ServiceSettings settings;
        RetryBudget retries;
        HedgeTimer hedge;
    };

    class Context;

    RequestId nextRequestId();
    UrgentRoom room() const;
    void begin(TimePoint now, const Admitted &admitted, EntryActions &actions);
    void refuse(const RequestId &request, const Refused &refused);
    void perform(TimePoint now, const RequestId &request, const CallActions &calls,
                 EntryActions &actions);
    void dispatch(TimePoint now, ActiveCall &call, const DispatchCall &dispatch,
                  EntryActions &actions);
    void forward(TimePoint now, ActiveCall &call, const DispatchCall &dispatch, const EntryId &peer,
                 EntryActions &actions);
    void answer(TimePoint now, ActiveCall &call, const CallReply &reply);
    void forgetIfOver(const RequestId &request);
    std::optional<WorkerId> chooseTarget(TimePoint now, const CallRequest &request,
                                         std::span<const WorkerId> tried);
    /// Zones that the plan of \a customer may use; empty means all.
    std::span<const std::string> zonesOf(const CustomerId &customer) const;
    std::optional<WorkerId> routeLocally(TimePoint now, const CustomerId &customer,
                                         bool isIdempotent, std::span<const WorkerId> tried);
    std::optional<Target> takeTarget(std::uint64_t number);
    void settleWorker(TimePoint now, const Target &target, WorkerResult result);
    void settleForwardedHere(TimePoint now, const Target &target, const WorkerCallReply &reply);
    void conclude(TimePoint now, const Target &target, const WorkerCallReply &reply,
                  EntryActions &actions);
    void pumpQueue(TimePoint now, EntryActions &actions);
    ServiceState *findService(const ServiceId &service);
    Duration retryAfter() const;

    EntryId m_self;
    ZoneId m_zone;
    Settings m_settings;
    EntrySessions m_sessions;
    Metrics &m_metrics;
    AdmissionControl m_admission;
    UrgentRouter<TwoChoice> m_router;
    std::map<ServiceId, ServiceState> m_services;
    std::map<RequestId, ActiveCall> m_calls;
    std::map<RequestId, ForwardDone> m_forwarded;     ///< Calls of peers on this entry's workers.
    std::map<std::uint64_t, Target> m_targets;        ///< Dispatches without an answer.
    std::map<CallKey, std::set<RequestId>> m_waiters; ///< Requests that follow a key.
    std::multimap<TimePoint, RequestId> m_deadlines;
    std::multimap<TimePoint, RequestId> m_hedges;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastDispatch = 0;
};

} // namespace firefly
