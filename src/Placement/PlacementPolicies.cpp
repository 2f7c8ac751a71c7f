#include "Placement/PlacementPolicies.h"

#include "Routing/UniformBelow.h"

#include <algorithm>
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
    const auto kept = std::int64_t(context.settings.urgentWeight * double(slots));
    const std::int64_t n = std::max(kept, context.pool.view(worker).outstanding);
    return {n * call.milliProcessors, n * call.memoryMiB, n * call.accelerators, 0};
}

double LeastSlowdown::costOf(const PlacementContext &context, const PlacementRequest &request,
                             WorkerIndex worker, TimePoint now)
{
    const auto mix = context.mixes.of(worker);
    const WorkloadShare added{request.kind, shareOf(context, request, worker)};
    const auto alone = context.slowdowns.predict(context.service, {&added, 1}, now);
    const auto before = context.slowdowns.predict(context.service, mix, now);
    const auto own = context.slowdowns.predict(request.kind, mix, now);
    const WorkerView &view = context.pool.view(worker);
    const double urgentLoad =
        double(view.outstanding + 1) / double(std::max<std::int64_t>(1, view.info.capacity.slots));
    // A call avoids a worker that is slow already, so more of the same costs little there.
    const double urgentCost = urgentLoad * (alone.pessimistic() - 1) / before.mean;
    const double w = context.settings.urgentWeight;
    return w * urgentCost + (1 - w) * (own.mean - 1);
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
        if (!(batch + keptForUrgent(context, worker)).fitsIn(capacity)) {
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
