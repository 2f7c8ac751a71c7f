#pragma once

#include "Admission/AdmissionControl.h"
#include "Calls/CallTracker.h"
#include "Config/Settings.h"
#include "Core/Clock.h"
#include "Entry/BatchRunner.h"
#include "Entry/EntryActions.h"
#include "Ops/Metrics.h"
#include "Routing/HedgeDelayEstimator.h"
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

/// A caller's urgent request as received.
struct CallerRequest
{
    CustomerId customer;
    ServiceId service;
    std::string key; ///< Idempotency key; may be empty for idempotent services.
    std::string body;
    Duration timeout{}; ///< Until the caller's deadline; zero uses the service's timeout.
};

/// Receives the outcome of a caller's request; called exactly once.
using CallDone = std::function<void(const CallReply &)>;
/// Receives the result of a forwarded call; called exactly once.
using ForwardDone = std::function<void(ForwardedResult)>;

/// Handles the urgent requests of this entry's callers and the calls that peers forwarded to its
/// workers.
class UrgentCalls
{
public:
    UrgentCalls(EntryId self, ZoneId zone, const Settings &settings, EntrySessions sessions,
                Metrics &metrics);

    /// Admits, queues or refuses a caller's request.
    void onRequest(TimePoint now, CallerRequest request, CallDone done, EntryActions &actions);
    /// Handles a call that a peer forwarded: dispatches it at most once, to a worker of this entry,
    /// or refuses it.
    void onForwardedCall(TimePoint now, ForwardedCall call, ForwardDone done,
                         EntryActions &actions);
    /// Handles a worker's reply to dispatch \a number.
    void onCallReply(TimePoint now, std::uint64_t number, const WorkerCallReply &reply,
                     EntryActions &actions);
    /// Handles a peer's reply to dispatch \a number.
    void onForwardReply(TimePoint now, std::uint64_t number, const ForwardedResult &result,
                        EntryActions &actions);
    /// Handles a record that was folded; only those about idempotency keys matter here.
    void onRecord(TimePoint now, const LoggedEnvelope &logged, EntryActions &actions);
    /// Handles the replacement of the folded state by a snapshot.
    void onRestored(TimePoint now, EntryActions &actions);
    /// Handles deadlines, hedges and the admission queue.
    void tick(TimePoint now, EntryActions &actions);

    /// Passes the plans and limits in force, and this entry's share of them, to the admission
    /// control.  Call it when the lists or the number of reachable entries changed.
    void updateAdmissionLimits(TimePoint now);
    /// Number of requests without an outcome, including calls forwarded by peers.
    std::size_t active() const { return m_calls.size() + m_forwardedCalls.size(); }
    /// True while a call to a worker of \a shard is unanswered.
    bool hasMessagesInFlight(const ShardId &shard) const;

    nlohmann::json dump() const;

private:
    /// An unanswered dispatch to a worker or a peer.
    struct SentDispatch
    {
        RequestId request;
        std::uint64_t trackerNumber = 0; ///< Number of the dispatch within its CallTracker.
        bool isForPeer = false;          ///< True for a call that a peer forwarded to this entry.
        std::optional<WorkerIndex> worker;
        ShardId shard;
        EntryId peer;
        TimePoint sentAt;
    };

    struct ActiveCall
    {
        CallTracker tracker;
        CallDone done;
        Admitted admitted; ///< Set when the tracker is started.
        TimePoint arrivedAt;
    };

    struct ServiceState
    {
        ServiceSettings settings;
        RetryBudget retries;
        HedgeDelayEstimator hedge;
    };

    class TrackerContext;

    RequestId nextRequestId();
    UrgentCapacity freeUrgentSlots() const;
    void startCall(TimePoint now, const Admitted &admitted, EntryActions &actions);
    void refuse(const RequestId &request, const Refused &refused);
    void performActions(TimePoint now, const RequestId &request, const CallActions &calls,
                        EntryActions &actions);
    void dispatch(TimePoint now, ActiveCall &call, const DispatchCall &dispatch,
                  EntryActions &actions);
    void forward(TimePoint now, ActiveCall &call, const DispatchCall &dispatch, const EntryId &peer,
                 EntryActions &actions);
    void answer(TimePoint now, ActiveCall &call, const CallReply &reply);
    void eraseIfOver(const RequestId &request);
    std::optional<WorkerId> chooseTarget(TimePoint now, const CallRequest &request,
                                         std::span<const WorkerId> tried);
    /// Zones that the plan of \a customer allows; empty means all.
    std::span<const std::string> zonesOf(const CustomerId &customer) const;
    std::optional<WorkerId> routeToOwnWorker(TimePoint now, const CustomerId &customer,
                                             bool isIdempotent, std::span<const WorkerId> tried);
    std::optional<SentDispatch> takeSentDispatch(std::uint64_t number);
    void releaseWorker(TimePoint now, const SentDispatch &sent, WorkerResult result);
    void answerPeer(TimePoint now, const SentDispatch &sent, const WorkerCallReply &reply);
    void passReplyToTracker(TimePoint now, const SentDispatch &sent, const WorkerCallReply &reply,
                            EntryActions &actions);
    void processAdmissionQueue(TimePoint now, EntryActions &actions);
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
    std::map<RequestId, ForwardDone> m_forwardedCalls; ///< Peers' calls on this entry's workers.
    std::map<std::uint64_t, SentDispatch> m_sentDispatches; ///< By dispatch number.
    /// Unfinished requests by idempotency key.
    std::map<CallKey, std::set<RequestId>> m_requestsOfKey;
    std::multimap<TimePoint, RequestId> m_deadlines;
    std::multimap<TimePoint, RequestId> m_hedgeTimes;
    std::uint64_t m_lastRequestNumber = 0;
    std::uint64_t m_lastDispatchNumber = 0;
};

} // namespace firefly
