#pragma once

#include "Admission.h"
#include "bench/policy/World.h"
#include "Routing.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace firefly::bench {

/// Simulates the urgent calls of a run: admission, routing, retries and hedges as in an entry.
template <typename Router, typename AdmissionRule>
class UrgentSide
{
public:
    explicit UrgentSide(World &world)
        : m_world(world)
        , m_router(world.pool)
        , m_hedgeDelay(Duration(Duration::rep(2 * MedianCallUs)))
    {
        PlansList plans;
        LimitsList limits;
        for (std::size_t i = 0; i < PlanCount; ++i) {
            const std::string name = std::to_string(i);
            plans.planOfCustomer["customer" + name] = "plan" + name;
            limits.limitsOfPlan["plan" + name] = {.resources = UnlimitedResources,
                                                  .weight = planWeight(i)};
        }
        m_admission.setLists(plans, limits, world.now);
        scheduleArrival();
    }

    void handle(const Event &event)
    {
        switch (event.type) {
        case EventType::UrgentArrival:
            admitArrival();
            break;
        case EventType::AttemptEnd:
            endAttempt(event.subject);
            break;
        case EventType::Hedge:
            hedge(event.subject);
            break;
        case EventType::QueueExpiry:
            expire();
            break;
        default:
            break;
        }
    }

private:
    static constexpr Resources UnlimitedResources{1 << 30, 1 << 30, 1 << 30, 1 << 30};
    static constexpr Duration FailureLatency = std::chrono::milliseconds(2);
    static constexpr Duration RetryMargin = std::chrono::milliseconds(50);

    struct Call
    {
        UrgentArrival arrival;
        std::size_t entryZone = 0;
        Admitted admitted;
        std::vector<WorkerIndex> triedWorkers;
        std::uint32_t inFlight = 0;
        bool isDone = false;
        bool isMeasured = false;

        TimePoint arrivedAt() const { return TimePoint(arrival.at); }
        TimePoint deadline() const { return arrivedAt() + LateThreshold; }
    };

    struct Attempt
    {
        std::uint32_t call = 0;
        WorkerIndex worker{};
        TimePoint started{};
        CallResult result = CallResult::Succeeded;
    };

    void scheduleArrival()
    {
        m_nextArrival = m_world.arrivals.nextUrgent(m_world.elapsed());
        m_world.events.push(TimePoint(m_nextArrival.at), {EventType::UrgentArrival});
    }

    void admitArrival()
    {
        const auto number = std::uint32_t(m_calls.size());
        Call call{.arrival = m_nextArrival, .entryZone = m_world.entryZone(m_nextArrival.zone)};
        call.isMeasured = m_world.isMeasured();
        m_calls.push_back(std::move(call));
        scheduleArrival();

        const Call &it = m_calls[number];
        const AdmissionRequest request{.request = RequestId(std::to_string(number)),
                                       .customer =
                                           CustomerId("customer" + std::to_string(it.arrival.plan)),
                                       .service = ServiceId("service"),
                                       .resources = m_world.pool.settings().resourcesPerCall,
                                       .deadline = it.deadline()};
        const UrgentCapacity capacity{.free = std::int64_t(m_world.pool.availableCount())};
        std::vector<Refused> displaced;
        const Admission answer = m_admission.admit(request, capacity, m_world.now, displaced);
        for (const Refused &refused : displaced) {
            refuse(refused);
        }
        if (const auto *admitted = std::get_if<Admitted>(&answer)) {
            start(*admitted);
        } else if (const auto *queued = std::get_if<Queued>(&answer)) {
            m_world.events.push(queued->expiresAt, {EventType::QueueExpiry});
        } else {
            refuse(std::get<Refused>(answer));
        }
    }

    static std::uint32_t callNumber(const RequestId &request)
    {
        return std::uint32_t(std::stoul(request.value()));
    }

    void refuse(const Refused &refused)
    {
        Call &call = m_calls[callNumber(refused.request)];
        call.isDone = true;
        if (!call.isMeasured) {
            return;
        }
        Measures &measures = m_world.measures;
        measures.refused.add(true);
        measures.slowestRefusal = std::max(measures.slowestRefusal, m_world.now - call.arrivedAt());
        if (refused.retryAfter <= Duration::zero()) {
            ++measures.refusedWithoutRetryAfter;
        }
    }

    void start(const Admitted &admitted)
    {
        const std::uint32_t number = callNumber(admitted.request);
        m_calls[number].admitted = admitted;
        if (m_calls[number].isMeasured) {
            m_world.measures.refused.add(false);
        }
        m_retryBudget.recordRequest();
        m_world.extraLoad.addRequest(m_world.elapsed());
        const bool isDispatched = dispatch(number);
        if (!isDispatched) {
            finish(number, false);
            return;
        }
        if (m_world.options.hasHedging && m_calls[number].arrival.isIdempotent) {
            m_world.events.push(m_world.now + m_hedgeDelay.delay(), {EventType::Hedge, number});
        }
    }

    bool dispatch(std::uint32_t number)
    {
        Call &call = m_calls[number];
        const ZoneIndex zone = m_world.pool.links().index(World::zoneId(call.entryZone));
        const RoutingRequest request{zone, call.arrival.isIdempotent, call.triedWorkers};
        const auto decision = m_router.route(request, m_world.policyRandom, m_world.now);
        if (!decision) {
            return false;
        }
        call.triedWorkers.push_back(decision->worker);
        ++call.inFlight;
        recordDispatch(call, decision->worker);
        beginAttempt(number, decision->worker);
        return true;
    }

    void beginAttempt(std::uint32_t number, WorkerIndex worker)
    {
        const Call &call = m_calls[number];
        const std::size_t position = toPosition(worker);
        const RoundTrip roundTrip = m_world.drawRoundTrip(call.entryZone, position);
        const double slowdown = m_world.workers[position].beginCall(
            m_world.pool.settings().resourcesPerCall, m_world.effects, m_world.now);
        Attempt attempt{number, worker, m_world.now};
        Duration length =
            roundTrip.delay + Duration(Duration::rep(call.arrival.processingUs * slowdown));
        if (m_world.isFailing(position)) {
            attempt.result = CallResult::ServiceFailed;
            length = roundTrip.delay + FailureLatency;
        }
        if (roundTrip.isLost) {
            attempt.result = CallResult::NoAnswer;
            length = std::max(call.deadline() - m_world.now, RetryMargin);
        }
        m_world.events.push(m_world.now + length,
                            {EventType::AttemptEnd, allocateAttempt(attempt)});
    }

    std::uint32_t allocateAttempt(const Attempt &attempt)
    {
        if (m_freeAttempts.empty()) {
            m_attempts.push_back(attempt);
            return std::uint32_t(m_attempts.size() - 1);
        }
        const std::uint32_t number = m_freeAttempts.back();
        m_freeAttempts.pop_back();
        m_attempts[number] = attempt;
        return number;
    }

    void recordDispatch(const Call &call, WorkerIndex worker)
    {
        const Scenario &scenario = m_world.scenario;
        const Duration at = m_world.elapsed();
        const bool isFaulty = toPosition(worker) == World::FailingWorker;
        if (call.isMeasured) {
            m_world.measures.crossZone.add(call.entryZone != World::zoneOf(toPosition(worker)));
        }
        if (scenario.failingWorker.length() == Duration::zero() || !call.isMeasured) {
            return;
        }
        const Span &fault = scenario.failingWorker;
        if (at < fault.from) {
            m_world.measures.shareBeforeFailure.add(isFaulty);
        } else if (at >= fault.from + std::chrono::seconds(5) && at < fault.to) {
            m_world.measures.failingWorkerShare.add(isFaulty);
        } else if (at >= fault.to + std::chrono::seconds(30)) {
            m_world.measures.shareAfterRecovery.add(isFaulty);
        }
    }

    void endAttempt(std::uint32_t number)
    {
        const Attempt attempt = m_attempts[number];
        m_freeAttempts.push_back(number);
        Call &call = m_calls[attempt.call];
        --call.inFlight;
        const Duration latency = m_world.now - attempt.started;
        m_world.workers[toPosition(attempt.worker)].endCall(
            m_world.pool.settings().resourcesPerCall);
        m_world.pool.releaseUrgent(
            attempt.worker, {attempt.result, latency, World::zoneId(call.entryZone)}, m_world.now);
        if (attempt.result == CallResult::Succeeded) {
            m_hedgeDelay.record(latency);
        }
        if (!call.isDone) {
            handleResult(attempt);
        }
        startQueuedCalls();
    }

    void handleResult(const Attempt &attempt)
    {
        Call &call = m_calls[attempt.call];
        if (attempt.result == CallResult::Succeeded) {
            finish(attempt.call, true);
            return;
        }
        const bool isInTime = m_world.now + RetryMargin < call.deadline();
        if (call.arrival.isIdempotent && isInTime && sendExtraAttempt(attempt.call)) {
            return;
        }
        if (call.inFlight == 0) {
            finish(attempt.call, false);
        }
    }

    /// Sends a retry or hedge of a call if the retry budget and the free capacity allow it.
    bool sendExtraAttempt(std::uint32_t number)
    {
        if (m_world.pool.availableCount() == 0 || !m_retryBudget.tryConsume()) {
            return false;
        }
        if (!dispatch(number)) {
            return false;
        }
        m_world.extraLoad.addExtra(m_world.elapsed());
        return true;
    }

    void hedge(std::uint32_t number)
    {
        const Call &call = m_calls[number];
        if (call.isDone || call.triedWorkers.size() > 1 || m_admission.queued() > 0) {
            return;
        }
        sendExtraAttempt(number);
    }

    void finish(std::uint32_t number, bool isAnswered)
    {
        Call &call = m_calls[number];
        call.isDone = true;
        const Duration latency = m_world.now - call.arrivedAt();
        m_admission.finish(call.admitted,
                           isAnswered ? std::optional<Duration>(latency) : std::nullopt);
        if (!call.isMeasured) {
            return;
        }
        const bool isLate = !isAnswered || latency > LateThreshold;
        m_world.measures.late.add(isLate);
        recordCallAfterZoneLoss(call, isLate);
        if (!isLate) {
            ++m_world.measures.planAnswered[call.arrival.plan];
        }
        if (isAnswered) {
            m_world.measures.latenciesUs.push_back(std::uint32_t(latency.count()));
        }
    }

    void recordCallAfterZoneLoss(const Call &call, bool isLate)
    {
        const Span &zoneLoss = m_world.scenario.lostZone;
        if (zoneLoss.length() == Duration::zero()) {
            return;
        }
        const Span measuredSpan{zoneLoss.from + std::chrono::seconds(5),
                                zoneLoss.from + std::chrono::seconds(35)};
        if (measuredSpan.contains(call.arrival.at)) {
            m_world.measures.lateAfterZoneLoss.add(isLate);
        }
    }

    void expire()
    {
        for (const Refused &refused : m_admission.expire(m_world.now)) {
            refuse(refused);
        }
    }

    void startQueuedCalls()
    {
        while (m_admission.queued() > 0 && m_world.pool.availableCount() > 0) {
            const auto admitted = m_admission.admitNext();
            start(*admitted);
        }
    }

    World &m_world;
    UrgentRouter<Router> m_router;
    AdmissionRule m_admission;
    RetryBudget m_retryBudget;
    HedgeDelayEstimator m_hedgeDelay;
    UrgentArrival m_nextArrival;
    std::deque<Call> m_calls; ///< A deque: growth copies no call and keeps references valid.
    std::vector<Attempt> m_attempts;
    std::vector<std::uint32_t> m_freeAttempts;
};

} // namespace firefly::bench
