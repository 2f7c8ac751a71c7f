#include "Routing/RoutingPolicies.h"

#include "Core/Assert.h"
#include "Routing/UniformBelow.h"

#include <algorithm>
#include <span>

namespace firefly {
namespace {

/// Share of unanswered calls from which a zone is not sampled; the share decays, so that the zone
/// is sampled again later.
constexpr double MaxLossShare = 0.3;

bool isExcluded(const RoutingRequest &request, WorkerIndex worker)
{
    return std::find(request.exclude.begin(), request.exclude.end(), worker)
           != request.exclude.end();
}

/// The available workers of \a zone that \a request may use.
std::span<const WorkerIndex> availableFor(const WorkerPool &pool, const RoutingRequest &request,
                                          ZoneIndex zone, InterferenceLevel level)
{
    if (!request.allows(zone)) {
        return {};
    }
    return pool.availableWorkers(zone, level);
}

/// Number of available workers that \a request may use.
std::size_t availableCount(const WorkerPool &pool, const RoutingRequest &request)
{
    if (request.zones.empty()) {
        return pool.availableCount();
    }
    std::size_t n = 0;
    const auto zones = ZoneIndex(pool.links().size());
    for (ZoneIndex zone = 0; zone < zones; ++zone) {
        for (const InterferenceLevel level : AllInterferenceLevels) {
            n += availableFor(pool, request, zone, level).size();
        }
    }
    return n;
}

/// The available worker at position \a n of the concatenated lists that \a request may use.
WorkerIndex availableWorkerAt(const WorkerPool &pool, const RoutingRequest &request, std::size_t n)
{
    const auto zones = ZoneIndex(pool.links().size());
    for (ZoneIndex zone = 0; zone < zones; ++zone) {
        for (const InterferenceLevel level : AllInterferenceLevels) {
            const auto available = availableFor(pool, request, zone, level);
            if (n < available.size()) {
                return available[n];
            }
            n -= available.size();
        }
    }
    FIREFLY_ASSERT(false, "there are fewer available workers than availableCount() returned");
    return {};
}

/// A random available worker of the caller's zone, of its lowest interference level with any.
std::optional<WorkerIndex> leastDisturbedLocalWorker(const WorkerPool &pool,
                                                     const RoutingRequest &request,
                                                     std::mt19937_64 &random)
{
    for (const InterferenceLevel level : AllInterferenceLevels) {
        const auto available = availableFor(pool, request, request.callerZone, level);
        if (!available.empty()) {
            return available[internal::uniformBelow(random, available.size())];
        }
    }
    return std::nullopt;
}

/// A random available worker, of the lowest interference level with any, in the zones that answer
/// most calls from the caller's zone.
std::optional<WorkerIndex> leastDisturbedWorker(const WorkerPool &pool,
                                                const RoutingRequest &request, TimePoint now,
                                                std::mt19937_64 &random)
{
    const auto availableIn = [&](ZoneIndex zone, InterferenceLevel level) {
        const double loss = pool.links().lossShare(request.callerZone, zone, now);
        return loss < MaxLossShare ? availableFor(pool, request, zone, level)
                                   : std::span<const WorkerIndex>();
    };
    const auto zones = ZoneIndex(pool.links().size());
    for (const InterferenceLevel level : AllInterferenceLevels) {
        std::size_t n = 0;
        for (ZoneIndex zone = 0; zone < zones; ++zone) {
            n += availableIn(zone, level).size();
        }
        if (n == 0) {
            continue;
        }
        std::size_t position = internal::uniformBelow(random, n);
        ZoneIndex zone = 0;
        while (position >= availableIn(zone, level).size()) {
            position -= availableIn(zone, level).size();
            ++zone;
        }
        return availableIn(zone, level)[position];
    }
    return std::nullopt;
}

/// A random available worker that \a request did not try; nothing when there is none.
std::optional<WorkerIndex> anyAvailableWorker(const WorkerPool &pool, const RoutingRequest &request,
                                              std::mt19937_64 &random)
{
    const std::size_t n = availableCount(pool, request);
    if (n == 0) {
        return std::nullopt;
    }
    const std::size_t start = internal::uniformBelow(random, n);
    const std::size_t tries = std::min(n, request.exclude.size() + 1);
    for (std::size_t i = 0; i < tries; ++i) {
        const WorkerIndex worker = availableWorkerAt(pool, request, (start + i) % n);
        if (!isExcluded(request, worker)) {
            return worker;
        }
    }
    return std::nullopt;
}

/// Weight of a worker during slow start: grows from RoutingSettings::slowStartShare to 1.
double rampWeight(const WorkerPool &pool, const WorkerView &view, TimePoint now)
{
    const RoutingSettings &settings = pool.settings();
    const double age = double((now - view.rampStart).count());
    return std::clamp(age / double(settings.slowStart.count()), settings.slowStartShare, 1.0);
}

/// Tracks the candidate with the lowest cost, and the cost of the runner-up.
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
    const auto worker = anyAvailableWorker(pool, request, random);
    if (!worker) {
        return std::nullopt;
    }
    return RoutingDecision{.worker = *worker, .candidates = 1};
}

std::optional<RoutingDecision> LeastOutstanding::choose(const WorkerPool &pool,
                                                        const RoutingRequest &request,
                                                        std::mt19937_64 &random, TimePoint)
{
    const std::size_t n = availableCount(pool, request);
    std::optional<WorkerIndex> best;
    const std::size_t start = n == 0 ? 0 : internal::uniformBelow(random, n);
    for (std::size_t i = 0; i < n; ++i) {
        const WorkerIndex worker = availableWorkerAt(pool, request, (start + i) % n);
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
        cheapest.consider(leastDisturbedLocalWorker(pool, request, random));
    }
    for (std::size_t i = 0; i < pool.settings().remoteSamples; ++i) {
        cheapest.consider(leastDisturbedWorker(pool, request, now, random));
    }
    if (!cheapest.isEmpty()) {
        return cheapest.best();
    }
    const auto worker = anyAvailableWorker(pool, request, random);
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
    const double predictedUs = pool.undisturbedLatencyUs() * view.expectedSlowdown;
    const double workerUs = (pool.latencyUs(worker, now) + predictedUs) / 2;
    const double load = double(view.outstanding + 1) / double(view.info.capacity.slots);
    const double timeoutUs = double(settings.callTimeout.count());
    double us = workerUs * (1 + load) / rampWeight(pool, view, now);
    us += pool.failureShare(worker, now) * timeoutUs;
    us += pool.links().lossShare(callerZone, view.zone, now) * timeoutUs;
    us += double(pool.links().roundTrip(callerZone, view.zone, now).count());
    if (callerZone != view.zone) {
        us += double(settings.crossZonePenalty.count());
    }
    return us;
}

} // namespace firefly
