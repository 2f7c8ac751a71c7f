#include "Cell/CellJob.h"

#include "Cell/CellState.h"

namespace firefly {
namespace {

/// Added to the computed end of a lease, for orders in flight.
constexpr Duration LeaseMargin = std::chrono::milliseconds(200);
/// Lowest rate of a worker's steady clock relative to this process.
constexpr double SlowestClock = 0.98;

/// Longest time in which a worker's clock advances by \a duration.
Duration longestOnClock(Duration duration)
{
    return std::chrono::duration_cast<Duration>(duration / SlowestClock);
}

/// Length of the critical path; only steps for which \a isIncluded holds count with their estimate.
template <typename IsIncluded>
Duration criticalPath(const JobSpec &spec, const IsIncluded &isIncluded)
{
    std::vector<Duration> endOf(spec.steps.size());
    Duration longest{};
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        Duration begin{};
        for (const std::uint32_t it : spec.steps[i].after) {
            begin = std::max(begin, endOf[it]);
        }
        const Duration own = std::chrono::milliseconds(spec.steps[i].estimateMs);
        endOf[i] = begin + (isIncluded(i) ? own : Duration{});
        longest = std::max(longest, endOf[i]);
    }
    return longest;
}

} // namespace

Duration CellJob::criticalPathOf(const JobSpec &spec)
{
    return criticalPath(spec, [](std::size_t) { return true; });
}

Duration CellJob::remainingCriticalPath() const
{
    if (occurrences.empty()) {
        return criticalPathOf(spec);
    }
    const std::vector<StepRun> &steps = occurrences.back().steps;
    return criticalPath(spec, [&steps](std::size_t i) { return !steps[i].isDone(); });
}

TimePoint CellWorker::leaseEnd() const
{
    if (!isContacted) {
        return earlierLeaseEnd;
    }
    const TimePoint end = clockAt
                          + longestOnClock(std::chrono::milliseconds(grantedDeadlineMs - clockMs))
                          + LeaseMargin;
    return std::max(end, earlierGrantsEnd);
}

Duration CellWorker::longestGrant(Duration maxLease)
{
    return longestOnClock(maxLease) + LeaseMargin;
}

void CellWorker::extendEarlierGrants(TimePoint now, Duration maxLease)
{
    earlierGrantsEnd = std::max(earlierGrantsEnd, now + longestGrant(maxLease));
}

TimePoint CellWorker::startEnd(const CellTask &task) const
{
    const bool mayStillStart = isRegistered && !isReplaced && !task.acceptedMs;
    return mayStillStart ? task.startSentAt + CellBounds::OrderLifetime : TimePoint{};
}

TimePoint CellWorker::startsEnd() const
{
    if (!isContacted) {
        // Before the list has been read no worker is registered yet.
        return !hasLeft && !isReplaced ? earlierStartsEnd : TimePoint{};
    }
    TimePoint end = openStartsEnd();
    for (const TaskRef &it : tasks) {
        end = std::max(end, startEnd(it.task()));
    }
    return end;
}

TimePoint CellWorker::openStartsEnd() const
{
    TimePoint end{};
    for (const OpenStart &it : openStarts) {
        end = std::max(end, it.end);
    }
    return end;
}

ResourceVector CellWorker::freeRoom() const
{
    ResourceVector room = info.capacity;
    room.subtract(reserved);
    room.subtract(untracked);
    for (const OpenStart &it : openStarts) {
        const bool isReserved = std::ranges::any_of(
            tasks, [&it](const TaskRef &placed) { return placed.name() == it.task; });
        if (!isReserved) {
            room.subtract(it.reservation);
        }
    }
    return room;
}

std::string CellWorker::describeLoss(const CellTask &task, TimePoint now) const
{
    const auto survived = survivedMs(task);
    const Duration silence = silentSince == TimePoint{} ? Duration{} : now - silentSince;
    const auto silentMs = std::chrono::duration_cast<std::chrono::milliseconds>(silence).count();
    const auto placedMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - task.startedAt).count();
    return "failed_renewals=" + std::to_string(renewFailures) + " silent_ms="
           + std::to_string(silentMs) + " replaced=" + std::to_string(static_cast<int>(isReplaced))
           + " refusing=" + std::to_string(static_cast<int>(isRefusing))
           + " draining=" + std::to_string(static_cast<int>(info.isDraining))
           + " survived_ms=" + (survived ? std::to_string(*survived) : "unconfirmed")
           + " incarnation=" + std::to_string(incarnationStartUnixMs)
           + " stopping=" + std::to_string(task.state == TaskState::Stopping ? 1 : 0)
           + " placed_ms=" + std::to_string(placedMs) + " " + describeLease(now);
}

std::string CellWorker::describeLease(TimePoint now) const
{
    const char *grants = "own";
    if (!isContacted) {
        grants = "earlier_owner";
    } else if (leaseEnd() == earlierGrantsEnd) {
        grants = "earlier_incarnation";
    }
    const auto leftMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(leaseEnd() - now).count();
    return std::string("grants=") + grants + " lease_left_ms=" + std::to_string(leftMs)
           + " token_raises=" + std::to_string(fenceRaises);
}

CellLoad CellJob::outstandingDemand(double milliCpu) const
{
    CellLoad demand;
    for (const Occurrence &occurrence : occurrences) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            const StepSpec &step = spec.steps[s];
            const bool isReady = std::ranges::all_of(step.after, [&occurrence](std::uint32_t it) {
                return occurrence.steps[it].isDone();
            });
            if (!isReady) {
                continue;
            }
            const StepRun &run = occurrence.steps[s];
            const auto count =
                static_cast<double>(run.tasks.size() - run.doneCount - run.elsewhereCount);
            const double share = count * static_cast<double>(step.demand.milliCpu) / milliCpu;
            (step.isFiller ? demand.fillers : demand.reserved) += share;
            if (!step.isLongRunning || step.isFiller) {
                continue;
            }
            demand.longRunning += share;
            if (run.pendingCount > 0) {
                const auto waiting = std::ranges::count_if(run.tasks, [this](const CellTask &it) {
                    return it.state == TaskState::Pending && (it.run > 0 || isFromEarlierOwner);
                });
                demand.displaced += static_cast<double>(waiting)
                                    * static_cast<double>(step.demand.milliCpu) / milliCpu;
            }
        }
    }
    return demand;
}

} // namespace firefly
