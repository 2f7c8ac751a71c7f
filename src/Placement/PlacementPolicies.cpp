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
    return request.resources.fitsIn(context.pool.ledger().room(worker));
}

/// Calm slots kept beyond the urgent calls now running, at urgentWeight 1, as a share of those.
constexpr double BurstMargin = 0.5;
/// Price of a job's own slowdown against a worker that calls have to avoid.
constexpr double OwnSlowdownPrice = 0.25;
/// Slowdown from which calls avoid a worker, so that more does no more harm.
constexpr double AvoidedFrom = 1.6;

/// Share of its worth to urgent calls that a worker with \a slowdown has lost, 0..1.
double harmOf(double slowdown)
{
    return std::sqrt(std::min(1.0, (slowdown - 1) / (AvoidedFrom - 1)));
}

double shareOf(const PlacementContext &context, const PlacementRequest &request, WorkerIndex worker)
{
    const auto whole = context.pool.ledger().capacity(worker).milliProcessors;
    return double(request.resources.milliProcessors) / double(std::max<std::int64_t>(1, whole));
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
    return NotNow{PlacementReason::NoRoom};
}

Placement RandomFit::choose(const PlacementContext &context, const PlacementRequest &request,
                            std::mt19937_64 &random, TimePoint)
{
    const BatchRoomIndex &index = context.pool.batchRoom();
    const std::int64_t need = request.resources.milliProcessors;
    const std::size_t n = index.count(need);
    const std::size_t start = n == 0 ? 0 : internal::uniformBelow(random, n);
    for (std::size_t i = 0; i < std::min(n, context.settings.scanLimit); ++i) {
        const WorkerIndex worker = index.nth(need, (start + i) % n);
        if (isAllowed(context, request, worker) && fits(context, request, worker)) {
            return Placed{worker, PlacementReason::Random};
        }
    }
    return NotNow{PlacementReason::NoRoom};
}

Resources LeastSlowdown::keptForUrgent(const PlacementContext &context, WorkerIndex worker)
{
    const Resources &call = context.pool.settings().call;
    const auto slots = context.pool.ledger().capacity(worker).slots;
    const bool avoided = context.pool.disturbance(worker) == Disturbance::Slow;
    const double share = avoided ? 0 : context.settings.urgentWeight;
    const auto kept = std::int64_t(share * double(slots));
    const std::int64_t n = std::max(kept, context.pool.view(worker).outstanding);
    return {n * call.milliProcessors, n * call.memoryMiB, n * call.accelerators, 0};
}

bool LeastSlowdown::canBeDisturbed(const PlacementContext &context, WorkerIndex worker)
{
    if (context.pool.disturbance(worker) != Disturbance::Calm) {
        return true;
    }
    const std::int64_t left =
        context.pool.calmSlots() - context.pool.ledger().capacity(worker).slots;
    const double wanted = 1 + BurstMargin * context.settings.urgentWeight;
    return double(left) >= wanted * double(context.pool.urgentInUse());
}

double LeastSlowdown::costOf(const PlacementContext &context, const PlacementRequest &request,
                             WorkerIndex worker, TimePoint now)
{
    const auto mix = context.mixes.of(worker);
    const double share = shareOf(context, request, worker);
    const auto alone = context.slowdowns.pair(context.service, request.kind, now, share);
    const auto before = context.slowdowns.predict(context.service, mix, now);
    const auto own = context.slowdowns.predict(request.kind, mix, now);
    const double after = before.mean + alone.mean - 1;
    const double w = context.settings.urgentWeight;
    return w * (harmOf(after) - harmOf(before.mean)) + (1 - w) * OwnSlowdownPrice * (own.mean - 1);
}

Placement LeastSlowdown::choose(const PlacementContext &context, const PlacementRequest &request,
                                std::mt19937_64 &random, TimePoint now)
{
    const BatchRoomIndex &index = context.pool.batchRoom();
    const std::int64_t need = request.resources.milliProcessors;
    const std::size_t n = index.count(need);
    const bool scan = n <= context.settings.scanLimit;
    std::optional<Placed> best;
    bool wouldFit = false;
    for (std::size_t i = 0; i < (scan ? n : context.settings.samples); ++i) {
        const std::size_t place = scan ? i : internal::uniformBelow(random, n);
        const WorkerIndex worker = index.nth(need, place);
        if (!isAllowed(context, request, worker) || !fits(context, request, worker)) {
            continue;
        }
        wouldFit = true;
        const Resources &capacity = context.pool.ledger().capacity(worker);
        const Resources batch = context.pool.ledger().batchInUse(worker) + request.resources;
        if (!(batch + keptForUrgent(context, worker)).fitsIn(capacity)
            || !canBeDisturbed(context, worker)) {
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
    return NotNow{wouldFit ? PlacementReason::UrgentRoomKept : PlacementReason::NoRoom};
}

} // namespace firefly
