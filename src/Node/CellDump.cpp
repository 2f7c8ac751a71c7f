#include "Node/CellDump.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>
#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace firefly {

const char *toString(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::FencedOff:
        return "fenced";
    case OrderOutcome::OldRun:
        return "old run";
    case OrderOutcome::Late:
        return "late";
    case OrderOutcome::NoRoom:
        return "no room";
    case OrderOutcome::BadTicket:
        return "bad ticket";
    case OrderOutcome::OtherIncarnation:
        return "other incarnation";
    case OrderOutcome::Unhealthy:
        return "unhealthy";
    case OrderOutcome::Invalid:
        return "invalid";
    case OrderOutcome::NotSent:
        return "not sent";
    case OrderOutcome::Refused:
        return "refused";
    case OrderOutcome::Unknown:
        break;
    }
    return "unknown";
}

const char *toString(TaskState state)
{
    switch (state) {
    case TaskState::Unlocated:
        return "unlocated";
    case TaskState::Pending:
        return "pending";
    case TaskState::Starting:
        return "starting";
    case TaskState::Unsettled:
        return "unsettled";
    case TaskState::Running:
        return "running";
    case TaskState::Stopping:
        return "stopping";
    case TaskState::Elsewhere:
        return "elsewhere";
    case TaskState::Done:
        break;
    }
    return "done";
}

const char *toString(JobState state)
{
    switch (state) {
    case JobState::Queued:
        return "queued";
    case JobState::Running:
        return "running";
    case JobState::Completed:
        return "completed";
    case JobState::Failed:
        return "failed";
    case JobState::Canceled:
        break;
    }
    return "canceled";
}

namespace {

constexpr std::size_t MaxLoggedPieces = 6;
constexpr std::size_t MaxLoggedWaits = 6;

std::int64_t waitedMs(const TaskRef &ref)
{
    const Duration waited = Clock::now() - ref.task().waitingSince;
    return std::chrono::duration_cast<std::chrono::milliseconds>(waited).count();
}

/// Long-running tasks that have run before and wait for a worker, longest wait first; O(tasks).
std::vector<TaskRef> findDisplaced(const CellState &state)
{
    std::vector<TaskRef> displaced;
    for (const auto &[id, job] : state.jobs) {
        if (isFinal(job->state) || !job->isLongRunning()) {
            continue;
        }
        for (std::uint32_t k = 0; k < job->occurrences.size(); ++k) {
            for (std::uint32_t s = 0; s < job->spec.steps.size(); ++s) {
                for (std::uint32_t i = 0; i < job->occurrences[k].steps[s].tasks.size(); ++i) {
                    const TaskRef ref{job.get(), k, s, i};
                    const CellTask &task = ref.task();
                    if (task.state == TaskState::Pending && task.waitingSince != TimePoint{}
                        && ref.spec().isLongRunning && ref.hasRunBefore()) {
                        displaced.push_back(ref);
                    }
                }
            }
        }
    }
    std::ranges::sort(displaced, {}, [](const TaskRef &it) { return it.task().waitingSince; });
    return displaced;
}

std::string describeWait(const TaskRef &ref)
{
    const ResourceVector &demand = ref.spec().demand;
    return ref.job->id.value() + "." + std::to_string(ref.step) + "." + std::to_string(ref.index)
           + " " + std::to_string(demand.milliCpu) + "/" + std::to_string(demand.memoryMb) + " "
           + std::to_string(waitedMs(ref)) + "ms";
}

/// The free capacity of \a worker, what reservations hold of it, what keeps tasks away, and the
/// longest wait among \a displaced, which is sorted, of a task that the free capacity fits.
std::string describePiece(const CellWorker &worker, std::span<const TaskRef> displaced)
{
    const ResourceVector free = worker.freeRoom();
    std::string text = worker.info.id.value() + " " + std::to_string(free.milliCpu) + "/"
                       + std::to_string(free.memoryMb);
    if (worker.held != ResourceVector{}) {
        text += " held " + std::to_string(worker.held.milliCpu) + "/"
                + std::to_string(worker.held.memoryMb);
    }
    if (!worker.isRecorded) {
        text += " unrecorded";
    }
    if (worker.renewFailures > 0) {
        text += " unresponsive";
    }
    if (worker.isPaused(Clock::now())) {
        text += " avoided";
    }
    const auto it = std::ranges::find_if(displaced, [&](const TaskRef &ref) {
        return ref.job->spec.policy.service == worker.info.service
               && free.fits(ref.spec().reservation());
    });
    if (it != displaced.end()) {
        text += " fits " + describeWait(*it);
    }
    return text;
}

/// The longest waits among \a displaced, which is sorted, one for each demand.
nlohmann::json describeLongestWaits(std::span<const TaskRef> displaced)
{
    std::set<std::pair<std::int64_t, std::int64_t>> demands;
    nlohmann::json waits = nlohmann::json::array();
    for (const TaskRef &it : displaced) {
        const ResourceVector &demand = it.spec().demand;
        if (waits.size() == MaxLoggedWaits) {
            break;
        }
        if (demands.insert({demand.milliCpu, demand.memoryMb}).second) {
            waits.push_back(describeWait(it));
        }
    }
    return waits;
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Number of pending tasks of a step that have run before.
int countDisplaced(CellJob &job, std::uint32_t occurrence, std::uint32_t step)
{
    int count = 0;
    for (std::uint32_t i = 0; i < job.spec.steps[step].taskCount; ++i) {
        const TaskRef ref{&job, occurrence, step, i};
        count += ref.task().state == TaskState::Pending && ref.hasRunBefore() ? 1 : 0;
    }
    return count;
}

} // namespace

nlohmann::json summarizeLoad(const CellScheduler &scheduler)
{
    const CellState &state = scheduler.state();
    std::int64_t capacity = 0;
    std::int64_t usableCapacity = 0;
    std::int64_t reserved = 0;
    std::int64_t longRunning = 0;
    std::int64_t fillers = 0;
    std::int64_t freeCpu = 0;
    ResourceVector largestFree;
    int usable = 0;
    int evacuatedWorkers = 0;
    std::size_t evacuatedTasks = 0;
    int overTarget = 0;
    int paced = 0;
    for (const auto &[id, it] : state.workers) {
        if (it->isUsable()) {
            ++usable;
            usableCapacity += it->info.capacity.milliCpu;
            freeCpu += it->freeRoom().milliCpu;
            const ResourceVector free = it->freeRoom();
            largestFree = free.milliCpu > largestFree.milliCpu ? free : largestFree;
        }
        evacuatedWorkers += it->isEvacuated ? 1 : 0;
        evacuatedTasks += it->isEvacuated ? it->tasks.size() : 0;
        capacity += it->info.capacity.milliCpu;
        reserved += it->reserved.milliCpu;
        longRunning += it->longRunningCpu;
        fillers += it->fillerCpu;
        for (const TaskRef &task : it->tasks) {
            overTarget += task.task().overTargetSince != TimePoint{} ? 1 : 0;
            paced += task.task().pace < 100 ? 1 : 0;
        }
    }
    int pendingFillers = 0;
    int pendingOthers = 0;
    int pendingLongRunning = 0;
    int displaced = 0;
    int unlocated = 0;
    int activeJobs = 0;
    for (const auto &[id, job] : state.jobs) {
        if (isFinal(job->state)) {
            continue;
        }
        ++activeJobs;
        for (std::uint32_t k = 0; k < job->occurrences.size(); ++k) {
            const Occurrence &occurrence = job->occurrences[k];
            for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
                const auto pending = static_cast<int>(occurrence.steps[s].pendingCount);
                (job->spec.steps[s].isFiller ? pendingFillers : pendingOthers) += pending;
                if (job->spec.steps[s].isLongRunning && pending > 0) {
                    pendingLongRunning += pending;
                    displaced += countDisplaced(*job, k, s);
                }
                if (state.isLocating) {
                    unlocated += static_cast<int>(std::ranges::count(
                        occurrence.steps[s].tasks, TaskState::Unlocated, &CellTask::state));
                }
            }
        }
    }
    const DelayScheduling::Counters &waits = state.placeWaits.counters();
    return {{"workers", usable},
            {"evacuated_workers", evacuatedWorkers},
            {"evacuated_tasks", evacuatedTasks},
            {"capacity", capacity},
            {"usable_capacity", usableCapacity},
            {"reserved", reserved},
            {"long_running", longRunning},
            {"fillers", fillers},
            {"jobs", activeJobs},
            {"pending_fillers", pendingFillers},
            {"pending_others", pendingOthers},
            {"pending_long_running", pendingLongRunning},
            {"displaced", displaced},
            {"unlocated", unlocated},
            {"free_cpu", freeCpu},
            {"largest_free_cpu", largestFree.milliCpu},
            {"largest_free_memory_mb", largestFree.memoryMb},
            {"over_target", overTarget},
            {"paced", paced},
            {"place_waits_begun", waits.begun},
            {"place_waits_paid", waits.paid},
            {"place_waits_lost", waits.lost},
            {"place_waits_paid_s", toSeconds(waits.paidTime)},
            {"place_waits_lost_s", toSeconds(waits.lostTime)},
            {"locating", state.isLocating}};
}

nlohmann::json summarizeFreePieces(const CellScheduler &scheduler)
{
    const CellState &state = scheduler.state();
    std::vector<const CellWorker *> workers;
    std::size_t unknown = 0;
    for (const auto &[id, it] : state.workers) {
        if (!it->isRegistered || !it->acceptsTasks()) {
            continue;
        }
        unknown += it->isContacted ? 0 : 1;
        if (it->isContacted) {
            workers.push_back(it.get());
        }
    }
    const auto end =
        workers.begin() + static_cast<std::ptrdiff_t>(std::min(MaxLoggedPieces, workers.size()));
    std::ranges::partial_sort(workers, end, std::greater(),
                              [](const CellWorker *it) { return it->freeRoom().milliCpu; });
    const std::vector<TaskRef> displaced = findDisplaced(state);
    nlohmann::json pieces = nlohmann::json::array();
    std::ranges::transform(workers.begin(), end, std::back_inserter(pieces),
                           [&](const CellWorker *it) { return describePiece(*it, displaced); });
    return {{"pieces", std::move(pieces)},
            {"unknown_workers", unknown},
            {"displaced", displaced.size()},
            {"longest_waits", describeLongestWaits(displaced)}};
}

nlohmann::json dumpCell(const CellElection &election, const CellScheduler &scheduler)
{
    const CellState &state = scheduler.state();
    nlohmann::json workers = nlohmann::json::object();
    for (const auto &[id, it] : state.workers) {
        workers[id] = {{"registered", it->isRegistered},    {"contacted", it->isContacted},
                       {"recorded", it->isRecorded},        {"draining", it->info.isDraining},
                       {"service", it->info.service},       {"cpu", it->info.capacity.milliCpu},
                       {"cpu_used", it->reserved.milliCpu}, {"filler_cpu", it->fillerCpu},
                       {"tasks", it->tasks.size()},         {"evacuated", it->isEvacuated},
                       {"strikes", it->failedTasks.size()}, {"renew_failures", it->renewFailures}};
    }
    std::map<std::string, int> jobs;
    std::map<std::string, int> tasks;
    for (const auto &[id, job] : state.jobs) {
        ++jobs[toString(job->state)];
        for (const Occurrence &occurrence : job->occurrences) {
            for (const StepRun &step : occurrence.steps) {
                for (const CellTask &task : step.tasks) {
                    ++tasks[toString(task.state)];
                }
            }
        }
    }
    return {{"epoch", election.epoch()},
            {"owner", election.claim().node},
            {"isOwner", election.isOwner()},
            {"locating", state.isLocating},
            {"evacuated_zones", state.evacuatedZones},
            {"starts_suspended", state.areStartsSuspended},
            {"jobs", jobs},
            {"tasks", tasks},
            {"workers", workers}};
}

} // namespace firefly
