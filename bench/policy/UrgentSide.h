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

/// The urgent half of a run: admission, routing, retries and hedges, as an entry would do them.
template <typename Router, typename AdmissionRule>
class UrgentSide
{
public:
    explicit UrgentSide(World &world)
        : m_world(world)
        , m_router(world.pool)
        , m_hedgeTimer(Duration(Duration::rep(2 * MedianCallUs)))
    {
        PlansList plans;
        LimitsList limits;
        for (std::size_t i = 0; i < PlanCount; ++i) {
            const std::string name = std::to_string(i);
            plans.planOfCustomer["customer" + name] = "plan" + name;
            limits.limitsOfPlan["plan" + name] = {.resources = Unlimited, .weight = planWeight(i)};
        }
        m_admission.setLists(plans, limits, world.now);
        scheduleArrival();
    }

    void handle(const Event &event)
    {
        switch (event.type) {
        case EventType::UrgentArrival:
            arrive();
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
    static constexpr Resources Unlimited{1 << 30, 1 << 30, 1 << 30, 1 << 30};
    static constexpr Duration FastFailure = std::chrono::milliseconds(2);
    static constexpr Duration RetryMargin = std::chrono::milliseconds(50);

    struct Call
    {
        UrgentArrival arrival;
        std::size_t entryZone = 0;
        Admitted admitted;
        std::vector<WorkerIndex> tried;
        std::uint32_t inFlight = 0;
        bool done = false;
        bool measured = false;

        TimePoint arrivedAt() const { return TimePoint(arrival.at); }
        TimePoint deadline() const { return arrivedAt() + LateAfter; }
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
        m_next = m_world.arrivals.nextUrgent(m_world.elapsed());
        m_world.events.push(TimePoint(m_next.at), {EventType::UrgentArrival});
    }

    void arrive()
    {
        const auto number = std::uint32_t(m_calls.size());
        Call call{.arrival = m_next, .entryZone = m_world.entryZone(m_next.zone)};
        call.measured = m_world.isMeasured();
        m_calls.push_back(std::move(call));
        scheduleArrival();

        const Call &it = m_calls[number];
        const AdmissionRequest request{.request = RequestId(std::to_string(number)),
                                       .customer =
                                           CustomerId("customer" + std::to_string(it.arrival.plan)),
                                       .service = ServiceId("service"),
                                       .resources = m_world.pool.settings().resourcesPerCall,
                                       .deadline = it.deadline()};
        const UrgentCapacity room{.free = std::int64_t(m_world.pool.availableCount())};
        std::vector<Refused> displaced;
        const Admission answer = m_admission.admit(request, room, m_world.now, displaced);
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

    static std::uint32_t numberOf(const RequestId &request)
    {
        return std::uint32_t(std::stoul(request.value()));
    }

    void refuse(const Refused &refused)
    {
        Call &call = m_calls[numberOf(refused.request)];
        call.done = true;
        if (!call.measured) {
            return;
        }
        Measures &measures = m_world.measures;
        measures.refused.add(true);
        measures.slowestRefusal = std::max(measures.slowestRefusal, m_world.now - call.arrivedAt());
        if (refused.retryAfter <= Duration::zero()) {
            ++measures.refusedWithoutTime;
        }
    }

    void start(const Admitted &admitted)
    {
        const std::uint32_t number = numberOf(admitted.request);
        m_calls[number].admitted = admitted;
        if (m_calls[number].measured) {
            m_world.measures.refused.add(false);
        }
        m_budget.recordRequest();
        m_world.extraLoad.addRequest(m_world.elapsed());
        const bool dispatched = dispatch(number);
        if (!dispatched) {
            finish(number, false);
            return;
        }
        if (m_world.options.hedging && m_calls[number].arrival.idempotent) {
            m_world.events.push(m_world.now + m_hedgeTimer.delay(), {EventType::Hedge, number});
        }
    }

    bool dispatch(std::uint32_t number)
    {
        Call &call = m_calls[number];
        const ZoneIndex zone = m_world.pool.links().index(World::zoneId(call.entryZone));
        const RoutingRequest request{zone, call.arrival.idempotent, call.tried};
        const auto decision = m_router.route(request, m_world.decision, m_world.now);
        if (!decision) {
            return false;
        }
        call.tried.push_back(decision->worker);
        ++call.inFlight;
        countDispatch(call, decision->worker);
        beginAttempt(number, decision->worker);
        return true;
    }

    void beginAttempt(std::uint32_t number, WorkerIndex worker)
    {
        const Call &call = m_calls[number];
        const std::size_t position = toPosition(worker);
        const Passage passage = m_world.passage(call.entryZone, position);
        const double slowdown = m_world.workers[position].beginCall(
            m_world.pool.settings().resourcesPerCall, m_world.effects, m_world.now);
        Attempt attempt{number, worker, m_world.now};
        Duration length =
            passage.delay + Duration(Duration::rep(call.arrival.serviceUs * slowdown));
        if (m_world.failsEverything(position)) {
            attempt.result = CallResult::ServiceFailed;
            length = passage.delay + FastFailure;
        }
        if (passage.lost) {
            attempt.result = CallResult::NoAnswer;
            length = std::max(call.deadline() - m_world.now, RetryMargin);
        }
        m_world.events.push(m_world.now + length, {EventType::AttemptEnd, newAttempt(attempt)});
    }

    std::uint32_t newAttempt(const Attempt &attempt)
    {
        if (m_unused.empty()) {
            m_attempts.push_back(attempt);
            return std::uint32_t(m_attempts.size() - 1);
        }
        const std::uint32_t number = m_unused.back();
        m_unused.pop_back();
        m_attempts[number] = attempt;
        return number;
    }

    void countDispatch(const Call &call, WorkerIndex worker)
    {
        const Scenario &scenario = m_world.scenario;
        const Duration at = m_world.elapsed();
        const bool isFaulty = toPosition(worker) == World::FailingWorker;
        if (call.measured) {
            m_world.measures.crossZone.add(call.entryZone != World::zoneOf(toPosition(worker)));
        }
        if (scenario.failingWorker.length() == Duration::zero() || !call.measured) {
            return;
        }
        const Span &fault = scenario.failingWorker;
        if (at < fault.from) {
            m_world.measures.shareBefore.add(isFaulty);
        } else if (at >= fault.from + std::chrono::seconds(5) && at < fault.to) {
            m_world.measures.faultyShare.add(isFaulty);
        } else if (at >= fault.to + std::chrono::seconds(30)) {
            m_world.measures.shareAfter.add(isFaulty);
        }
    }

    void endAttempt(std::uint32_t number)
    {
        const Attempt attempt = m_attempts[number];
        m_unused.push_back(number);
        Call &call = m_calls[attempt.call];
        --call.inFlight;
        const Duration latency = m_world.now - attempt.started;
        m_world.workers[toPosition(attempt.worker)].endCall(
            m_world.pool.settings().resourcesPerCall);
        m_world.pool.releaseUrgent(
            attempt.worker, {attempt.result, latency, World::zoneId(call.entryZone)}, m_world.now);
        if (attempt.result == CallResult::Succeeded) {
            m_hedgeTimer.record(latency);
        }
        if (!call.done) {
            conclude(attempt);
        }
        drain();
    }

    void conclude(const Attempt &attempt)
    {
        Call &call = m_calls[attempt.call];
        if (attempt.result == CallResult::Succeeded) {
            finish(attempt.call, true);
            return;
        }
        const bool inTime = m_world.now + RetryMargin < call.deadline();
        if (call.arrival.idempotent && inTime && extra(attempt.call)) {
            return;
        }
        if (call.inFlight == 0) {
            finish(attempt.call, false);
        }
    }

    /// Sends a call once more, if the budget allows.
    bool extra(std::uint32_t number)
    {
        if (m_world.pool.availableCount() == 0 || !m_budget.tryConsume()) {
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
        if (call.done || call.tried.size() > 1 || m_admission.queued() > 0) {
            return;
        }
        extra(number);
    }

    void finish(std::uint32_t number, bool answered)
    {
        Call &call = m_calls[number];
        call.done = true;
        const Duration latency = m_world.now - call.arrivedAt();
        m_admission.finish(call.admitted,
                           answered ? std::optional<Duration>(latency) : std::nullopt);
        if (!call.measured) {
            return;
        }
        const bool late = !answered || latency > LateAfter;
        m_world.measures.late.add(late);
        countAfterLoss(call, late);
        if (!late) {
            ++m_world.measures.planAnswered[call.arrival.plan];
        }
        if (answered) {
            m_world.measures.latenciesUs.push_back(std::uint32_t(latency.count()));
        }
    }

    void countAfterLoss(const Call &call, bool late)
    {
        const Span &loss = m_world.scenario.lostZone;
        if (loss.length() == Duration::zero()) {
            return;
        }
        const Span counted{loss.from + std::chrono::seconds(5),
                           loss.from + std::chrono::seconds(35)};
        if (counted.contains(call.arrival.at)) {
            m_world.measures.lateAfterLoss.add(late);
        }
    }

    void expire()
    {
        for (const Refused &refused : m_admission.expire(m_world.now)) {
            refuse(refused);
        }
    }

    void drain()
    {
        while (m_admission.queued() > 0 && m_world.pool.availableCount() > 0) {
            const auto admitted = m_admission.admitNext();
            start(*admitted);
        }
    }

    World &m_world;
    UrgentRouter<Router> m_router;
    AdmissionRule m_admission;
    RetryBudget m_budget;
    HedgeDelayEstimator m_hedgeTimer;
    UrgentArrival m_next;
    std::deque<Call> m_calls; ///< Never copied as it grows.
    std::vector<Attempt> m_attempts;
    std::vector<std::uint32_t> m_unused;
};

} // namespace firefly::bench
