#include "Routing/RoutingPolicies.h"

#include "Core/Assert.h"
#include "Routing/UniformBelow.h"

#include <algorithm>
#include <span>

namespace firefly {
namespace {

/// Share of unanswered calls from which another zone is not sampled; it is again as this fades.
constexpr double LossLimit = 0.3;

bool isExcluded(const RoutingRequest &request, WorkerIndex worker)
{
    return std::find(request.exclude.begin(), request.exclude.end(), worker)
           != request.exclude.end();
}

/// The open workers of \a zone that \a request may use.
std::span<const WorkerIndex> openFor(const WorkerPool &pool, const RoutingRequest &request,
                                     ZoneIndex zone, Disturbance disturbance)
{
    if (!request.allows(zone)) {
        return {};
    }
    return pool.openWorkers(zone, disturbance);
}

/// Number of open workers that \a request may use.
std::size_t openCount(const WorkerPool &pool, const RoutingRequest &request)
{
    if (request.zones.empty()) {
        return pool.openCount();
    }
    std::size_t n = 0;
    const auto zones = ZoneIndex(pool.links().size());
    for (ZoneIndex zone = 0; zone < zones; ++zone) {
        for (const Disturbance disturbance : AllDisturbances) {
            n += openFor(pool, request, zone, disturbance).size();
        }
    }
    return n;
}

/// The open worker at position \a n of all lists that \a request may use put end to end.
WorkerIndex openWorkerAt(const WorkerPool &pool, const RoutingRequest &request, std::size_t n)
{
    const auto zones = ZoneIndex(pool.links().size());
    for (ZoneIndex zone = 0; zone < zones; ++zone) {
        for (const Disturbance disturbance : AllDisturbances) {
            const auto open = openFor(pool, request, zone, disturbance);
            if (n < open.size()) {
                return open[n];
            }
            n -= open.size();
        }
    }
    FIREFLY_ASSERT(false, "there are fewer open workers than were counted");
    return {};
}

/// Any of the least disturbed open workers of the caller's zone.
std::optional<WorkerIndex> calmestLocalWorker(const WorkerPool &pool, const RoutingRequest &request,
                                              std::mt19937_64 &random)
{
    for (const Disturbance disturbance : AllDisturbances) {
        const auto open = openFor(pool, request, request.callerZone, disturbance);
        if (!open.empty()) {
            return open[internal::uniformBelow(random, open.size())];
        }
    }
    return std::nullopt;
}

/// Any of the least disturbed open workers of all zones that answer calls from the caller's.
std::optional<WorkerIndex> calmestWorker(const WorkerPool &pool, const RoutingRequest &request,
                                         TimePoint now, std::mt19937_64 &random)
{
    const auto openIn = [&](ZoneIndex zone, Disturbance disturbance) {
        const double loss = pool.links().lossShare(request.callerZone, zone, now);
        return loss < LossLimit ? openFor(pool, request, zone, disturbance)
                                : std::span<const WorkerIndex>();
    };
    const auto zones = ZoneIndex(pool.links().size());
    for (const Disturbance disturbance : AllDisturbances) {
        std::size_t n = 0;
        for (ZoneIndex zone = 0; zone < zones; ++zone) {
            n += openIn(zone, disturbance).size();
        }
        if (n == 0) {
            continue;
        }
        std::size_t place = internal::uniformBelow(random, n);
        ZoneIndex zone = 0;
        while (place >= openIn(zone, disturbance).size()) {
            place -= openIn(zone, disturbance).size();
            ++zone;
        }
        return openIn(zone, disturbance)[place];
    }
    return std::nullopt;
}

/// Any open worker that \a request did not try, from a random start; nothing when there is none.
std::optional<WorkerIndex> anyOpenWorker(const WorkerPool &pool, const RoutingRequest &request,
                                         std::mt19937_64 &random)
{
    const std::size_t n = openCount(pool, request);
    if (n == 0) {
        return std::nullopt;
    }
    const std::size_t start = internal::uniformBelow(random, n);
    const std::size_t tries = std::min(n, request.exclude.size() + 1);
    for (std::size_t i = 0; i < tries; ++i) {
        const WorkerIndex worker = openWorkerAt(pool, request, (start + i) % n);
        if (!isExcluded(request, worker)) {
            return worker;
        }
    }
    return std::nullopt;
}

double rampShare(const WorkerPool &pool, const WorkerView &view, TimePoint now)
{
    const RoutingSettings &settings = pool.settings();
    const double age = double((now - view.rampStart).count());
    return std::clamp(age / double(settings.slowStart.count()), settings.slowStartShare, 1.0);
}

/// Keeps the cheapest of the candidates it is shown.
class CheapestCandidate
{
public:
    CheapestCandidate(const WorkerPool &pool, const RoutingRequest &request, TimePoint now)
        : m_pool(pool)
        , m_request(request)
        , m_now(now)
    {}

    void consider(std::optional<WorkerIndex> worker)
    {
        if (!worker || isExcluded(m_request, *worker)) {
            return;
        }
        const double us = TwoChoice::costUs(m_pool, *worker, m_request.callerZone, m_now);
        if (m_best.candidates == 0 || us < m_best.costUs) {
            m_best.runnerUpCostUs = m_best.costUs;
            m_best.costUs = float(us);
            m_best.worker = *worker;
        } else if (m_best.runnerUpCostUs == 0 || us < m_best.runnerUpCostUs) {
            m_best.runnerUpCostUs = float(us);
        }
        ++m_best.candidates;
    }

    bool isEmpty() const { return m_best.candidates == 0; }
    const RoutingDecision &best() const { return m_best; }

private:
    const WorkerPool &m_pool;
    const RoutingRequest &m_request;
    TimePoint m_now;
    RoutingDecision m_best;
};

} // namespace

std::optional<RoutingDecision> RandomChoice::choose(const WorkerPool &pool,
                                                    const RoutingRequest &request,
                                                    std::mt19937_64 &random, TimePoint)
{
    const auto worker = anyOpenWorker(pool, request, random);
    if (!worker) {
        return std::nullopt;
    }
    return RoutingDecision{.worker = *worker, .candidates = 1};
}

std::optional<RoutingDecision> LeastOutstanding::choose(const WorkerPool &pool,
                                                        const RoutingRequest &request,
                                                        std::mt19937_64 &random, TimePoint)
{
    const std::size_t n = openCount(pool, request);
    std::optional<WorkerIndex> best;
    const std::size_t start = n == 0 ? 0 : internal::uniformBelow(random, n);
    for (std::size_t i = 0; i < n; ++i) {
        const WorkerIndex worker = openWorkerAt(pool, request, (start + i) % n);
        if (isExcluded(request, worker)) {
            continue;
        }
        if (!best || pool.view(worker).outstanding < pool.view(*best).outstanding) {
            best = worker;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return RoutingDecision{.worker = *best, .candidates = 1};
}

std::optional<RoutingDecision> TwoChoice::choose(const WorkerPool &pool,
                                                 const RoutingRequest &request,
                                                 std::mt19937_64 &random, TimePoint now)
{
    CheapestCandidate cheapest(pool, request, now);
    for (std::size_t i = 0; i < pool.settings().localSamples; ++i) {
        cheapest.consider(calmestLocalWorker(pool, request, random));
    }
    for (std::size_t i = 0; i < pool.settings().remoteSamples; ++i) {
        cheapest.consider(calmestWorker(pool, request, now, random));
    }
    if (!cheapest.isEmpty()) {
        return cheapest.best();
    }
    const auto worker = anyOpenWorker(pool, request, random);
    if (!worker) {
        return std::nullopt;
    }
    cheapest.consider(worker);
    return cheapest.best();
}

double TwoChoice::costUs(const WorkerPool &pool, WorkerIndex worker, ZoneIndex callerZone,
                         TimePoint now)
{
    const WorkerView &view = pool.view(worker);
    const RoutingSettings &settings = pool.settings();
    const double predictedUs = pool.undisturbedUs() * view.expectedSlowdown;
    const double ownUs = (pool.latencyUs(worker, now) + predictedUs) / 2;
    const double load = double(view.outstanding + 1) / double(view.info.capacity.slots);
    const double timeoutUs = double(settings.callTimeout.count());
    double us = ownUs * (1 + load) / rampShare(pool, view, now);
    us += pool.failureShare(worker, now) * timeoutUs;
    us += pool.links().lossShare(callerZone, view.zone, now) * timeoutUs;
    us += double(pool.links().roundTrip(callerZone, view.zone, now).count());
    if (callerZone != view.zone) {
        us += double(settings.crossZonePenalty.count());
    }
    return us;
}

} // namespace firefly
