#include "Cell/CrashDetector.h"

#include <algorithm>
#include <chrono>

namespace firefly {
namespace {

/// Longest time from a start to the silence of a worker that the start has crashed.
constexpr Duration PromptTime = std::chrono::milliseconds(500);
/// Time from a suspect's start in which other jobs start nothing beside it.
constexpr Duration ObservationTime = std::chrono::milliseconds(1000);
/// A run that has survived this long, in ms, has nothing to do with a crash of its worker.
constexpr std::int64_t SettledMs = 10000;
/// Other workers without a fresh task that fall silent within this time of a worker, for a reason
/// that is none of its tasks.
constexpr Duration CommonCauseWindow = std::chrono::milliseconds(1000);
constexpr std::size_t CommonCauseCount = 2;
/// Other workers, whatever they run, whose silence within this time makes that reason possible.
constexpr Duration CrowdWindow = std::chrono::milliseconds(300);
constexpr std::size_t CrowdCount = 3;
/// Time within which an answer decides on a silent loss.
constexpr Duration UndecidedMemory = std::chrono::seconds(60);
/// Time for which losses are compared; longer than a lease, the longest time to a judgement.
constexpr Duration LossMemory = std::chrono::seconds(15);

/// Weight of a crash soon after the start of a single job's tasks, and of any other.
constexpr std::uint32_t ClearEvidence = 2;
constexpr std::uint32_t SharedEvidence = 1;
/// A task is convicted from this evidence and number of certain crashes on.
constexpr std::uint32_t ConvictingEvidence = 4;
constexpr std::uint32_t ConvictingCrashes = 2;
/// Without enough evidence a task is given up after this many losses.  The platform tolerates five
/// crashes; a suspect by two early ones leaves one that no owner may have seen.
constexpr std::uint32_t MaxLosses = 5;
constexpr std::uint32_t MaxLossesOfSuspect = 4;
constexpr std::uint32_t SuspectEarlyCrashes = 2;
/// A suspect that has waited this long may start beside fresh tasks of other jobs.
constexpr Duration SeparationPatience = std::chrono::milliseconds(2000);
/// Late crashes from which on a task is a suspect.
constexpr std::uint32_t SuspectLateCrashes = 2;

bool hasSurvived(const CellTask &task, const CellWorker &worker, std::int64_t ms)
{
    const auto survivedMs = worker.survivedMs(task);
    return survivedMs && *survivedMs >= ms;
}

void noteCrash(CellTask &task, const Endpoint &endpoint, TimePoint now)
{
    task.suspectSince = now;
    task.crashAddress = endpoint.address;
}

} // namespace

bool CrashDetector::isAtCrashAddress(const CellTask &task, const CellWorker &worker)
{
    return !task.crashAddress.empty() && task.crashAddress == worker.info.endpoint.address;
}

bool CrashDetector::isSuspect(const CellTask &task)
{
    return task.crashes.early > 0 || task.crashes.late >= SuspectLateCrashes;
}

bool CrashDetector::isFresh(const CellTask &task, const CellWorker &worker)
{
    return !hasSurvived(task, worker, FreshMs);
}

bool CrashDetector::hasFreshTasks(const CellWorker &worker)
{
    return std::ranges::any_of(worker.tasks,
                               [&worker](const TaskRef &it) { return isFresh(it.task(), worker); });
}

bool CrashDetector::isJudged(const WorkerId &worker, TimePoint silentSince) const
{
    return std::ranges::any_of(m_losses, [&](const RecentLoss &it) {
        return it.worker == worker && it.silentSince == silentSince;
    });
}

CrashDetector::Coincidence CrashDetector::findCoincidence(const CellWorker &worker,
                                                          TimePoint silentSince, TimePoint now)
{
    std::erase_if(m_losses,
                  [now](const RecentLoss &it) { return now - it.silentSince > LossMemory; });
    std::vector<RecentLoss> others;
    std::ranges::copy_if(m_losses, std::back_inserter(others), [&](const RecentLoss &it) {
        return it.worker != worker.info.id || it.silentSince != silentSince;
    });
    for (const auto &entry : m_state.workers) {
        const CellWorker &other = *entry.second;
        // A silent worker without tasks has been judged already, or had none to judge.
        if (&other == &worker || other.renewFailures == 0 || other.tasks.empty()
            || other.info.isDraining || isJudged(other.info.id, other.silentSince)) {
            continue;
        }
        others.push_back({other.info.id, other.silentSince, hasFreshTasks(other)});
    }
    std::size_t unexplained = 0;
    std::size_t crowd = 0;
    for (const RecentLoss &it : others) {
        const Duration distance = std::chrono::abs(it.silentSince - silentSince);
        unexplained += distance <= CommonCauseWindow && !it.hasFreshTasks ? 1 : 0;
        crowd += distance <= CrowdWindow ? 1 : 0;
    }
    if (unexplained >= CommonCauseCount) {
        return Coincidence::CommonCause;
    }
    return crowd >= CrowdCount ? Coincidence::Crowd : Coincidence::None;
}

std::vector<TaskRef> CrashDetector::onRunsLost(const CellWorker &worker,
                                               std::span<const TaskRef> lost, Loss loss,
                                               TimePoint now)
{
    if (worker.info.isDraining || lost.empty()) {
        return {};
    }
    const TimePoint silentSince = worker.silentSince == TimePoint{} ? now : worker.silentSince;
    const Coincidence coincidence = findCoincidence(worker, silentSince, now);
    std::vector<TaskRef> fresh;
    std::ranges::copy_if(lost, std::back_inserter(fresh),
                         [&worker](const TaskRef &it) { return isFresh(it.task(), worker); });
    // Its confirmed runs are lost with its lease, the others later.
    if (!isJudged(worker.info.id, silentSince)) {
        m_losses.push_back({worker.info.id, silentSince, hasFreshTasks(worker)});
    }
    if (loss == Loss::Silent) {
        std::vector<TaskName> names;
        std::ranges::transform(fresh, std::back_inserter(names), &TaskRef::name);
        m_undecided.push_back({worker.info.id, worker.incarnationStartUnixMs, worker.info.endpoint,
                               now, coincidence, std::move(names)});
        return {};
    }
    std::vector<TaskRef> marked;
    const bool isOneJob = std::ranges::all_of(
        fresh, [&fresh](const TaskRef &it) { return it.job == fresh.front().job; });
    for (const TaskRef &it : fresh) {
        const bool isPrompt = silentSince - it.task().startedAt <= PromptTime;
        const bool isClear = isOneJob && isPrompt && loss == Loss::Crashed;
        if (mark(it, worker.info.endpoint, coincidence, isClear ? ClearEvidence : SharedEvidence,
                 loss == Loss::Crashed, now)) {
            marked.push_back(it);
        }
    }
    if (!fresh.empty() || coincidence == Coincidence::CommonCause || loss != Loss::Crashed) {
        return marked;
    }
    for (const TaskRef &it : lost) {
        CellTask &task = it.task();
        if (hasSurvived(task, worker, SettledMs) || isAtCrashAddress(task, worker)) {
            continue;
        }
        noteCrash(task, worker.info.endpoint, now);
        ++task.crashes.late;
        marked.push_back(it);
    }
    return marked;
}

bool CrashDetector::mark(const TaskRef &ref, const Endpoint &endpoint, Coincidence coincidence,
                         std::uint32_t evidence, bool isCertain, TimePoint now)
{
    CellTask &task = ref.task();
    if (coincidence == Coincidence::CommonCause && task.crashes.early == 0) {
        return false;
    }
    const bool isSameMachine = task.crashAddress == endpoint.address;
    noteCrash(task, endpoint, now);
    ++task.crashes.early;
    task.crashes.certain += isCertain ? 1 : 0;
    if (coincidence == Coincidence::None && !isSameMachine) {
        task.crashes.evidence += evidence;
    }
    return true;
}

template <typename Predicate>
std::vector<TaskRef> CrashDetector::decide(Predicate isCrash, TimePoint now)
{
    std::vector<TaskRef> marked;
    std::erase_if(m_undecided, [&](const UndecidedLoss &loss) {
        if (!isCrash(loss)) {
            return now - loss.lostAt > UndecidedMemory;
        }
        for (const TaskName &name : loss.fresh) {
            const auto ref = m_state.findTask(name);
            const bool isUnfinished =
                ref && !isFinal(ref->job->state) && ref->task().state != TaskState::Done;
            if (isUnfinished
                && mark(*ref, loss.endpoint, loss.coincidence, SharedEvidence, true, now)) {
                marked.push_back(*ref);
            }
        }
        return true;
    });
    return marked;
}

std::vector<TaskRef> CrashDetector::onAnswer(const CellWorker &worker, TimePoint now)
{
    std::erase_if(m_undecided, [&worker](const UndecidedLoss &it) {
        return it.worker == worker.info.id
               && it.incarnationStartUnixMs == worker.incarnationStartUnixMs;
    });
    return decide(
        [&worker](const UndecidedLoss &it) {
            const bool isSameWorker = it.worker == worker.info.id;
            const bool isLater = worker.incarnationStartUnixMs > it.incarnationStartUnixMs;
            return isLater && (isSameWorker || it.endpoint == worker.info.endpoint);
        },
        now);
}

std::vector<TaskRef> CrashDetector::onReplaced(const CellWorker &worker, TimePoint now)
{
    return decide([&worker](const UndecidedLoss &it) { return it.worker == worker.info.id; }, now);
}

bool CrashDetector::onAlive(const TaskRef &ref, CellWorker &worker)
{
    CrashHistory &crashes = ref.task().crashes;
    if (crashes.isEmpty()) {
        return false;
    }
    CrashHistory left = crashes;
    if (hasSurvived(ref.task(), worker, SettledMs)) {
        left = {};
    } else if (left.early > 0 && hasSurvived(ref.task(), worker, FreshMs)) {
        // It may still crash its worker later.
        left = {0, 0, 0, left.early + left.late};
    }
    if (left == crashes) {
        return false;
    }
    crashes = left;
    if (!isSuspect(ref.task()) && worker.observedJob == ref.job->id) {
        worker.observedUntil = {};
    }
    return true;
}

void CrashDetector::onStart(const TaskRef &ref, CellWorker &worker, TimePoint now)
{
    const CrashHistory &crashes = ref.task().crashes;
    if (!isSuspect(ref.task())) {
        return;
    }
    worker.observedJob = ref.job->id;
    worker.observedUntil =
        now
        + (crashes.late >= SuspectLateCrashes ? std::chrono::milliseconds(SettledMs)
                                              : ObservationTime);
}

bool CrashDetector::isSeparable(const TaskRef &ref, const CellWorker &worker, TimePoint now)
{
    if (now < worker.observedUntil && worker.observedJob != ref.job->id) {
        return false;
    }
    const CellTask &task = ref.task();
    return !isSuspect(task) || now - task.suspectSince >= SeparationPatience
           || std::ranges::all_of(worker.tasks, [&](const TaskRef &it) {
                  return it.job == ref.job || !isFresh(it.task(), worker);
              });
}

bool CrashDetector::isConvicted(const CellTask &task)
{
    const CrashHistory &crashes = task.crashes;
    // Crashes beside those of other workers give no evidence.
    const bool isBlamed = crashes.early >= SuspectEarlyCrashes && crashes.evidence > 0;
    return (crashes.certain >= ConvictingCrashes && crashes.evidence >= ConvictingEvidence)
           || crashes.early + crashes.late >= (isBlamed ? MaxLossesOfSuspect : MaxLosses);
}

} // namespace firefly
