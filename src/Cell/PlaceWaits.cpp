#include "Cell/PlaceWaits.h"

#include "Cell/CrashDetector.h"
#include "Cell/PlacementRules.h"

#include <algorithm>
#include <utility>

namespace firefly {
namespace {

/// Utilisation above which a worker that is taken for longer denies others something.
constexpr double BusyUtilization = 0.7;

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Duration scale(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

void PlaceWaits::beginPass(std::int64_t nowUnixMs)
{
    m_nowUnixMs = nowUnixMs;
    m_forecasts.clear();
    m_contention.clear();
    m_contested = std::exchange(m_waitedFor, {});
}

bool PlaceWaits::isEligible(const TaskRef &ref) const
{
    const StepSpec &spec = ref.spec();
    const bool hasNearPlace = spec.isGang ? spec.hasRackAffinity : !spec.dataRack.empty();
    return hasNearPlace && m_state.bounds.farFactor > 1.0 && !spec.isLongRunning && !spec.isFiller
           && !CrashDetector::isSuspect(ref.task());
}

bool PlaceWaits::shouldWait(const TaskRef &ref, TimePoint now)
{
    if (!m_state.bounds.hasPlaceWaits) {
        return false;
    }
    const StepSpec &spec = ref.spec();
    RackForecast &forecast = forecastOf(spec.dataRack, now);
    const auto place = forecast.findEarliest(spec.reservation(), [&](const std::string &worker) {
        return canEverTake(ref, worker, now);
    });
    if (!decide(ref, spec.dataRack, place ? std::optional(place->at) : std::nullopt, now)) {
        return false;
    }
    forecast.take(*place, spec.reservation(), std::chrono::milliseconds(spec.estimateMs));
    return true;
}

bool PlaceWaits::shouldGangWait(const TaskRef &leader, TimePoint now)
{
    if (!m_state.bounds.hasPlaceWaits) {
        return false;
    }
    const StepSpec &spec = leader.spec();
    std::set<std::string> racks;
    for (const auto &[id, worker] : m_state.workers) {
        racks.insert(worker->info.rack);
    }
    const std::string *best = nullptr;
    std::optional<TimePoint> bestAt;
    std::optional<RackForecast> bestForecast;
    for (const std::string &rack : racks) {
        RackForecast forecast = forecastOf(rack, now);
        TimePoint last = now;
        bool hasRoom = true;
        for (std::uint32_t i = 0; i < spec.taskCount && hasRoom; ++i) {
            const auto place =
                forecast.findEarliest(spec.reservation(), [&](const std::string &worker) {
                    return canEverTake(leader, worker, now);
                });
            hasRoom = place.has_value();
            if (place) {
                last = std::max(last, place->at);
                forecast.take(*place, spec.reservation(),
                              DelayScheduling::MaxWait
                                  + std::chrono::milliseconds(spec.estimateMs));
            }
        }
        if (hasRoom && (!bestAt || last < *bestAt)) {
            best = &rack;
            bestAt = last;
            bestForecast = std::move(forecast);
        }
    }
    if (!best || !decide(leader, *best, bestAt, now)) {
        return false;
    }
    m_forecasts[*best] = std::move(*bestForecast);
    return true;
}

bool PlaceWaits::decide(const TaskRef &ref, const std::string &rack,
                        std::optional<TimePoint> nearAt, TimePoint now)
{
    CellTask &task = ref.task();
    PlacementOption option;
    option.duration = std::chrono::milliseconds(ref.spec().estimateMs);
    option.farFactor = m_state.bounds.farFactor;
    option.slack = ref.job->objective - now - ref.job->remainingCriticalPath();
    option.contention = contention(ref.job->spec.policy.service);
    option.since = possibleSince(ref, now);
    option.nearAt = nearAt;
    const auto wait = m_state.placeWaits.decide(rack, option, task.placeWait, now);
    if (!wait) {
        return false;
    }
    if (!task.placeWait) {
        m_state.placeWaits.onBegun();
        m_state.logDecision("waits for a place near its data", ref,
                            "rack=" + rack + " free_in_ms=" + std::to_string(toMs(*nearAt - now))
                                + " until_ms=" + std::to_string(toMs(wait->until - now))
                                + " duration_ms=" + std::to_string(ref.spec().estimateMs)
                                + " slack_ms=" + std::to_string(toMs(option.slack))
                                + " contention=" + std::to_string(option.contention)
                                + " trust=" + std::to_string(m_state.placeWaits.trust(rack, now)));
    }
    task.placeWait = wait;
    m_waitedFor.insert(rack);
    // No event may come before the wait ends.
    m_state.wantsPlacement = true;
    return true;
}

void PlaceWaits::onStart(const TaskRef &ref, bool isNear, TimePoint now)
{
    CellTask &task = ref.task();
    const auto wait = std::exchange(task.placeWait, std::nullopt);
    if (!wait) {
        return;
    }
    m_state.placeWaits.onEnded(*wait, isNear, now);
    m_state.logDecision(isNear ? "wait for a near place paid" : "wait for a near place lost", ref,
                        "rack=" + wait->rack
                            + " waited_ms=" + std::to_string(toMs(now - wait->begin)));
}

void PlaceWaits::onPlaced(const TaskRef &ref, const CellWorker &worker, TimePoint now)
{
    const auto it = m_forecasts.find(worker.info.rack);
    if (it != m_forecasts.end()) {
        it->second.take({worker.info.id.value(), now}, ref.spec().reservation(),
                        expectedDuration(ref, worker));
    }
}

Duration PlaceWaits::expectedDuration(const TaskRef &ref, const CellWorker &worker) const
{
    const StepSpec &spec = ref.spec();
    const Duration estimate = std::chrono::milliseconds(spec.estimateMs);
    const bool isFar = !spec.dataRack.empty() && spec.dataRack != worker.info.rack;
    return isFar ? scale(estimate, m_state.bounds.farFactor) : estimate;
}

RackForecast &PlaceWaits::forecastOf(const std::string &rack, TimePoint now)
{
    const auto [entry, isNew] = m_forecasts.try_emplace(rack);
    RackForecast &forecast = entry->second;
    if (!isNew) {
        return forecast;
    }
    for (const auto &[id, worker] : m_state.workers) {
        if (worker->info.rack != rack) {
            continue;
        }
        ResourceVector free = worker->freeRoom();
        free.subtract(worker->held);
        forecast.addWorker(id, free, now);
        for (const TaskRef &ref : worker->tasks) {
            const CellTask &task = ref.task();
            if (task.state == TaskState::Stopping) {
                forecast.addRoom(id, now + m_state.bounds.stopTimeout, ref.spec().reservation());
                continue;
            }
            if (ref.spec().isLongRunning) {
                continue;
            }
            RunProgress run{expectedDuration(ref, *worker), std::nullopt, task.percent};
            // A run that resumes from a checkpoint reports the progress of earlier ones as well.
            if (task.acceptedMs && !ref.spec().isCheckpointing) {
                run.elapsed = std::chrono::milliseconds(
                    std::max<std::int64_t>(0, worker->clockAtLeast(now) - *task.acceptedMs));
            }
            if (const auto left = expectedRemaining(run)) {
                forecast.addRoom(id, now + *left, ref.spec().reservation());
            }
        }
    }
    return forecast;
}

bool PlaceWaits::canEverTake(const TaskRef &ref, const std::string &worker, TimePoint now) const
{
    const CellWorker &candidate = *m_state.workers.at(worker);
    return !PlacementRules::findObstacle(candidate, candidate.info.capacity,
                                         m_reservations.countOfStep(ref, candidate), ref, now);
}

double PlaceWaits::contention(const std::string &service)
{
    const auto [entry, isNew] = m_contention.try_emplace(service, 0.0);
    if (!isNew) {
        return entry->second;
    }
    double capacity = 0.0;
    double reserved = 0.0;
    for (const auto &[id, worker] : m_state.workers) {
        if (worker->isRegistered && worker->acceptsTasks() && worker->info.service == service) {
            capacity += static_cast<double>(worker->info.capacity.milliCpu);
            reserved += static_cast<double>(worker->reserved.milliCpu);
        }
    }
    const double utilization = capacity > 0.0 ? reserved / capacity : 0.0;
    entry->second = std::clamp((utilization - BusyUtilization) / (1.0 - BusyUtilization), 0.0, 1.0);
    return entry->second;
}

TimePoint PlaceWaits::possibleSince(const TaskRef &ref, TimePoint now) const
{
    const CellTask &task = ref.task();
    if (task.run > 0) {
        // It has lost time already.
        return {};
    }
    if (task.placeWait) {
        return task.placeWait->since;
    }
    if (!ref.job->isFromEarlierOwner) {
        return now;
    }
    // The earlier owner may have let it wait from the submission on.
    const std::int64_t since =
        std::max(ref.job->submittedAtUnixMs, ref.job->occurrences[ref.occurrence].dueUnixMs);
    return now - std::chrono::milliseconds(std::max<std::int64_t>(0, m_nowUnixMs - since));
}

} // namespace firefly
