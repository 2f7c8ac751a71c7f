#include "Cell/Placement.h"

#include "Cell/TaskLedger.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace firefly {
namespace {

/// An unanswered start can't take effect later than this after it was sent.
constexpr Duration StartWindow = std::chrono::milliseconds(1500);
/// Share of its reservation that a long-running task is expected to use.
constexpr double LongRunningUse = 0.5;
/// Least share of a filler's demand that must be unused on a worker.
constexpr double LeastFillerShare = 0.6;
/// Advantage of the rack that holds the data, in scores that otherwise lie within 0 and 1.
constexpr double DataRackBonus = 10.0;
/// Serving tasks beside others of their image, and beside another image.
constexpr double SameImageBonus = 1.0;
constexpr double OtherImagePenalty = -2.0;
/// Score lost for each serving task pushed over its target.
constexpr double HarmWeight = 4.0;

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Processor time that nobody on \a worker is expected to use, in thousandths of a core.
double expectedUnused(const CellWorker &worker)
{
    const auto longRunning = static_cast<double>(worker.longRunningCpu);
    const auto others = static_cast<double>(worker.used.milliCpu) - longRunning;
    return static_cast<double>(worker.info.capacity.milliCpu) - others
           - LongRunningUse * longRunning - static_cast<double>(worker.fillerCpu);
}

/// -1 for a long-running job, whose users miss each of its tasks at once; 0 for a job that can
/// still be in time, 1 for one that will be late, 2 for one whose client gains nothing any more.
int latenessOf(const CellJob &job, TimePoint now)
{
    if (job.isLongRunning()) {
        return -1;
    }
    if (now > job.giveUpOrder) {
        return 2;
    }
    return now + job.remainingChain() > job.objective ? 1 : 0;
}

/// Serving tasks of one image go together: a filler that presses one image then still has workers
/// where that image is not.
double likenessOf(const CellWorker &worker, ImageIndex image)
{
    double likeness = 0.0;
    for (const TaskRef &it : worker.tasks) {
        if (it.spec().targetMs > 0) {
            likeness = it.image() == image ? std::max(likeness, SameImageBonus) : OtherImagePenalty;
        }
        if (likeness < 0.0) {
            break;
        }
    }
    return likeness;
}

} // namespace

void Placement::run(TimePoint now, std::int64_t nowUnixMs)
{
    m_refused.clear();
    for (CellJob *job : jobsInOrder(now)) {
        for (std::uint32_t k = 0; k < job->occurrences.size(); ++k) {
            if (job->occurrences[k].dueUnixMs > nowUnixMs) {
                continue;
            }
            for (std::uint32_t s = 0; s < job->spec.steps.size(); ++s) {
                if (job->occurrences[k].steps[s].pendingCount == 0
                    || !TaskLedger::isOpen(*job, k, s)) {
                    continue;
                }
                if (job->spec.steps[s].isGang) {
                    startGang(*job, k, s, now);
                } else {
                    startStep(*job, k, s, now);
                }
            }
        }
    }
}

std::vector<CellJob *> Placement::jobsInOrder(TimePoint now) const
{
    std::vector<CellJob *> order;
    for (const auto &[id, job] : m_state.jobs) {
        if (isFinal(job->state) || !job->isDurable) {
            continue;
        }
        const bool hasPending = std::ranges::any_of(job->occurrences, [](const Occurrence &it) {
            return std::ranges::any_of(it.steps,
                                       [](const StepRun &s) { return s.pendingCount > 0; });
        });
        if (hasPending) {
            order.push_back(job.get());
        }
    }
    struct Ranked
    {
        std::tuple<int, int, TimePoint> key;
        CellJob *job;
    };
    std::vector<Ranked> ranked;
    ranked.reserve(order.size());
    for (CellJob *it : order) {
        ranked.push_back({{it->spec.policy.priority, latenessOf(*it, now), it->objective}, it});
    }
    std::ranges::sort(ranked, {}, &Ranked::key);
    std::ranges::transform(ranked, order.begin(), &Ranked::job);
    return order;
}

void Placement::startStep(CellJob &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now)
{
    StepRun &run = job.occurrences[occurrence].steps[step];
    for (std::uint32_t i = 0; i < run.tasks.size(); ++i) {
        CellTask &task = run.tasks[i];
        if (task.state != TaskState::Pending || task.notBefore > now) {
            continue;
        }
        const TaskRef ref{&job, occurrence, step, i};
        if (isHopeless(ref)) {
            return;
        }
        CellWorker *worker = choose(ref, now);
        if (!worker) {
            noteRefused(ref);
            return;
        }
        start(ref, *worker, TaskLedger::nextRun(task, m_state.epoch), now);
    }
}

void Placement::startGang(CellJob &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now)
{
    StepRun &run = job.occurrences[occurrence].steps[step];
    if (run.pendingCount != run.tasks.size()) {
        return;
    }
    std::uint32_t number = 0;
    std::string checkpoint;
    for (const CellTask &it : run.tasks) {
        number = std::max(number, TaskLedger::nextRun(it, m_state.epoch));
        checkpoint = std::max(checkpoint, it.checkpoint);
    }
    // Members are placed on paper first: a gang that doesn't fit whole must not start at all.
    std::vector<std::pair<TaskRef, CellWorker *>> chosen;
    for (std::uint32_t i = 0; i < run.tasks.size(); ++i) {
        const TaskRef ref{&job, occurrence, step, i};
        CellWorker *worker = choose(ref, now);
        if (!worker) {
            break;
        }
        TaskLedger::place(ref, *worker, TaskState::Starting, number);
        chosen.emplace_back(ref, worker);
    }
    for (const auto &[ref, worker] : chosen) {
        TaskLedger::release(ref);
    }
    if (chosen.size() != run.tasks.size()) {
        return;
    }
    for (const auto &[ref, worker] : chosen) {
        ref.task().checkpoint = checkpoint;
        start(ref, *worker, number, now);
    }
}

bool Placement::isHopeless(const TaskRef &ref) const
{
    const StepSpec &spec = ref.spec();
    return std::ranges::any_of(m_refused, [&](const Refused &it) {
        return it.isFiller == spec.isFiller && (!spec.isFiller || it.image == ref.image())
               && it.service == ref.job->spec.policy.service && spec.demand.fits(it.demand);
    });
}

void Placement::noteRefused(const TaskRef &ref)
{
    const StepSpec &spec = ref.spec();
    if (spec.requiredLabel.empty() && spec.maxPerWorker == 0) {
        m_refused.push_back(
            {ref.job->spec.policy.service, spec.isFiller, ref.image(), spec.demand});
    }
}

CellWorker *Placement::choose(const TaskRef &ref, TimePoint now) const
{
    CellWorker *best = nullptr;
    double bestScore = -std::numeric_limits<double>::infinity();
    for (const auto &[id, worker] : m_state.workers) {
        if (!mayHost(*worker, ref, now)) {
            continue;
        }
        const auto value = score(*worker, ref, now);
        if (value && *value > bestScore) {
            bestScore = *value;
            best = worker.get();
        }
    }
    return best;
}

bool Placement::mayHost(const CellWorker &worker, const TaskRef &ref, TimePoint now) const
{
    const StepSpec &spec = ref.spec();
    if (!worker.isRegistered || !worker.isContacted || worker.info.isDraining
        || worker.avoidUntil > now || worker.renewFailures > 0
        || worker.info.service != ref.job->spec.policy.service
        || !worker.freeRoom().fits(spec.reservation())) {
        return false;
    }
    if (spec.isFiller
        && (worker.noFillersUntil > now
            || expectedUnused(worker)
                   < LeastFillerShare * static_cast<double>(spec.demand.milliCpu))) {
        return false;
    }
    if (!spec.requiredLabel.empty()
        && std::ranges::find(worker.info.labels, spec.requiredLabel) == worker.info.labels.end()) {
        return false;
    }
    if (spec.maxPerWorker > 0) {
        const auto same = std::ranges::count_if(worker.tasks, [&ref](const TaskRef &it) {
            return it.job == ref.job && it.occurrence == ref.occurrence && it.step == ref.step;
        });
        if (same >= static_cast<std::ptrdiff_t>(spec.maxPerWorker)) {
            return false;
        }
    }
    return true;
}

std::optional<double> Placement::score(CellWorker &worker, const TaskRef &ref, TimePoint now) const
{
    const StepSpec &spec = ref.spec();
    const double capacity =
        std::max<double>(1.0, static_cast<double>(worker.info.capacity.milliCpu));
    double value = 0.0;
    if (spec.isFiller) {
        value = expectedUnused(worker) / capacity;
        const double harm = m_interference.harmOf(worker, ref, now);
        if (!InterferenceGuard::isWorthHarm(spec, harm)) {
            return std::nullopt;
        }
        value -= HarmWeight * harm;
    } else {
        value = -static_cast<double>(worker.freeRoom().milliCpu) / capacity;
        if (spec.targetMs > 0) {
            value += likenessOf(worker, ref.image());
        }
    }
    if (!spec.dataRack.empty() && worker.info.rack == spec.dataRack) {
        value += DataRackBonus;
    }
    return value;
}

void Placement::start(const TaskRef &ref, CellWorker &worker, std::uint32_t run, TimePoint now)
{
    TaskLedger::place(ref, worker, TaskState::Starting, run);
    CellTask &task = ref.task();
    task.startedAt = now;
    const Duration left = std::min(StartWindow, m_state.ordersUntil - now);
    task.startDeadlineMs = worker.clockAtLeast(now) + std::max<std::int64_t>(1, toMs(left));
    worker.grantedDeadlineMs = std::max(worker.grantedDeadlineMs, task.startDeadlineMs);
    StartTask order;
    order.worker = worker.info.id;
    order.task = ref.name();
    order.run = run;
    order.payload = ref.job->spec.payload;
    order.deadlineMs = task.startDeadlineMs;
    order.checkpoint = task.checkpoint;
    m_state.actions.emplace_back(std::move(order));
}

} // namespace firefly
