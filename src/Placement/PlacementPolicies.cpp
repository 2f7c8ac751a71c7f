#include "Placement/PlacementPolicies.h"

#include "Routing/UniformBelow.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <span>
#include <string>

namespace firefly {
namespace {

template <typename T>
bool contains(std::span<const T> values, const T &value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

bool isAllowed(const PlacementContext &context, const PlacementRequest &request, WorkerIndex worker)
{
    if (contains(request.exclude, worker)) {
        return false;
    }
    const ZoneId &zone = context.pool.view(worker).info.zone;
    return request.zones.empty() || contains(request.zones, zone.value());
}

bool fits(const PlacementContext &context, const PlacementRequest &request, WorkerIndex worker)
{
    return request.resources.fitsIn(context.pool.ledger().freeCapacity(worker));
}

/// Low-interference slots to keep free at urgentWeight 1, as a share of the running urgent calls.
constexpr double BurstMargin = 0.5;
/// Cost of a job's own slowdown, relative to the loss of a worker for urgent calls as 1.
constexpr double OwnSlowdownWeight = 0.25;
/// Slowdown from which urgent calls avoid a worker, so that a higher one costs no more.
constexpr double AvoidedSlowdown = 1.6;

/// Share of a worker's value for urgent calls that is lost at \a slowdown, 0..1.
double urgentLossOf(double slowdown)
{
    return std::sqrt(std::min(1.0, (slowdown - 1) / (AvoidedSlowdown - 1)));
}

/// Share of the processors of \a worker that \a request takes.
double shareOf(const PlacementContext &context, const PlacementRequest &request, WorkerIndex worker)
{
    const auto totalMilliProcessors = context.pool.ledger().capacity(worker).milliProcessors;
    return double(request.resources.milliProcessors)
           / double(std::max<std::int64_t>(1, totalMilliProcessors));
}

} // namespace

Placement FirstFit::choose(const PlacementContext &context, const PlacementRequest &request,
                           std::mt19937_64 &, TimePoint)
{
    for (const WorkerIndex worker : context.pool.workers()) {
        if (!context.pool.acceptsWork(worker) || !isAllowed(context, request, worker)) {
            continue;
        }
        if (fits(context, request, worker)) {
            return Placed{worker, PlacementReason::FirstFit};
        }
    }
    return Deferred{PlacementReason::NoRoom};
}

Placement RandomFit::choose(const PlacementContext &context, const PlacementRequest &request,
                            std::mt19937_64 &random, TimePoint)
{
    const BatchCapacityIndex &index = context.pool.batchCapacity();
    const std::int64_t need = request.resources.milliProcessors;
    const std::size_t n = index.count(need);
    const std::size_t start = n == 0 ? 0 : internal::uniformBelow(random, n);
    for (std::size_t i = 0; i < std::min(n, context.settings.scanLimit); ++i) {
        const WorkerIndex worker = index.nth(need, (start + i) % n);
        if (isAllowed(context, request, worker) && fits(context, request, worker)) {
            return Placed{worker, PlacementReason::Random};
        }
    }
    return Deferred{PlacementReason::NoRoom};
}

Resources LeastSlowdown::reservedForUrgent(const PlacementContext &context, WorkerIndex worker)
{
    const Resources &call = context.pool.settings().resourcesPerCall;
    const auto slots = context.pool.ledger().capacity(worker).slots;
    const bool isAvoided = context.pool.interferenceLevel(worker) == InterferenceLevel::High;
    const double share = isAvoided ? 0 : context.settings.urgentWeight;
    const auto reserved = std::int64_t(share * double(slots));
    const std::int64_t n = std::max(reserved, context.pool.view(worker).outstanding);
    return {n * call.milliProcessors, n * call.memoryMiB, n * call.accelerators, 0};
}

bool LeastSlowdown::mayDisturb(const PlacementContext &context, WorkerIndex worker)
{
    if (context.pool.interferenceLevel(worker) != InterferenceLevel::Low) {
        return true;
    }
    const std::int64_t remaining =
        context.pool.lowInterferenceSlots() - context.pool.ledger().capacity(worker).slots;
    const double required = 1 + BurstMargin * context.settings.urgentWeight;
    return double(remaining) >= required * double(context.pool.urgentInUse());
}

double LeastSlowdown::costOf(const PlacementContext &context, const PlacementRequest &request,
                             WorkerIndex worker, TimePoint now)
{
    const auto mix = context.mixes.of(worker);
    const double share = shareOf(context, request, worker);
    const auto alone =
        context.slowdowns.pairwiseSlowdown(context.service, request.kind, now, share);
    const auto before = context.slowdowns.predict(context.service, mix, now);
    const auto own = context.slowdowns.predict(request.kind, mix, now);
    const double after = before.mean + alone.mean - 1;
    const double w = context.settings.urgentWeight;
    return w * (urgentLossOf(after) - urgentLossOf(before.mean))
           + (1 - w) * OwnSlowdownWeight * (own.mean - 1);
}

Placement LeastSlowdown::choose(const PlacementContext &context, const PlacementRequest &request,
                                std::mt19937_64 &random, TimePoint now)
{
    const BatchCapacityIndex &index = context.pool.batchCapacity();
    const std::int64_t need = request.resources.milliProcessors;
    const std::size_t n = index.count(need);
    const bool isFullScan = n <= context.settings.scanLimit;
    std::optional<Placed> best;
    bool hasFreeCapacity = false;
    for (std::size_t i = 0; i < (isFullScan ? n : context.settings.samples); ++i) {
        const std::size_t position = isFullScan ? i : internal::uniformBelow(random, n);
        const WorkerIndex worker = index.nth(need, position);
        if (!isAllowed(context, request, worker) || !fits(context, request, worker)) {
            continue;
        }
        hasFreeCapacity = true;
        const Resources &capacity = context.pool.ledger().capacity(worker);
        const Resources batch = context.pool.ledger().batchInUse(worker) + request.resources;
        if (!(batch + reservedForUrgent(context, worker)).fitsIn(capacity)
            || !mayDisturb(context, worker)) {
            continue;
        }
        const auto cost = float(costOf(context, request, worker, now));
        if (!best || cost < best->cost) {
            best = Placed{worker, PlacementReason::LowestSlowdown, cost};
        }
    }
    if (best) {
        return *best;
    }
    return Deferred{hasFreeCapacity ? PlacementReason::UrgentRoomKept : PlacementReason::NoRoom};
}

} // namespace firefly
