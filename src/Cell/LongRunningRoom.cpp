#include "Cell/LongRunningRoom.h"

#include <algorithm>
#include <functional>

namespace firefly {
namespace {

/// True if \a ref runs on a worker that is about to end it.
bool isOnDrainingWorker(const TaskRef &ref)
{
    const CellTask &task = ref.task();
    return isPlaced(task.state) && task.worker->info.isDraining;
}

bool needsRoom(const TaskRef &ref)
{
    const TaskState state = ref.task().state;
    return state == TaskState::Pending || state == TaskState::Unlocated || isOnDrainingWorker(ref);
}

bool isDisplaced(const TaskRef &ref)
{
    return ref.task().state != TaskState::Pending || ref.hasRunBefore();
}

bool hasLabel(const CellWorker &worker, const std::string &label)
{
    return label.empty()
           || std::ranges::find(worker.info.labels, label) != worker.info.labels.end();
}

/// Tasks of the step of \a first on \a worker.
std::size_t countPlaced(const CellWorker &worker, const std::optional<TaskRef> &first)
{
    if (!first) {
        return 0;
    }
    return static_cast<std::size_t>(std::ranges::count_if(worker.tasks, [&](const TaskRef &it) {
        return it.job == first->job && it.occurrence == first->occurrence && it.step == first->step;
    }));
}

} // namespace

LongRunningRoom::LongRunningRoom(const CellState &state, std::string_view service)
    : m_state(state)
{
    addPieces(service);
    addWaiting(service);
}

void LongRunningRoom::addPieces(std::string_view service)
{
    bool hasUncontacted = false;
    for (const auto &[id, worker] : m_state.workers) {
        if (!worker->isRegistered || worker->info.service != service || worker->info.isDraining) {
            continue;
        }
        hasUncontacted = hasUncontacted || !worker->isContacted;
        if (!worker->isContacted || !worker->acceptsTasks()) {
            continue;
        }
        Piece piece{worker.get(), worker->info.capacity};
        for (const TaskRef &it : worker->tasks) {
            if (it.spec().isLongRunning) {
                piece.free.subtract(it.spec().reservation());
            }
        }
        m_pieces.push_back(piece);
    }
    m_isKnown = !hasUncontacted && !m_pieces.empty();
}

void LongRunningRoom::addWaiting(std::string_view service)
{
    for (const auto &[id, job] : m_state.jobs) {
        if (isFinal(job->state) || job->spec.policy.service != service) {
            continue;
        }
        for (std::uint32_t k = 0; k < job->occurrences.size(); ++k) {
            for (std::uint32_t s = 0; s < job->spec.steps.size(); ++s) {
                const StepSpec &step = job->spec.steps[s];
                if (!step.isLongRunning) {
                    continue;
                }
                StepDemand demand{&step, TaskRef{job.get(), k, s, 0}, 0};
                for (std::uint32_t i = 0; i < step.taskCount; ++i) {
                    const TaskRef ref{job.get(), k, s, i};
                    demand.count += needsRoom(ref) ? 1 : 0;
                    m_displacedCount += needsRoom(ref) && isDisplaced(ref) ? 1 : 0;
                }
                if (demand.count > 0) {
                    m_waiting.push_back(demand);
                }
            }
        }
    }
    std::ranges::stable_sort(m_waiting, std::greater(),
                             [](const StepDemand &it) { return it.step->reservation().milliCpu; });
}

bool LongRunningRoom::place(const StepDemand &demand, std::vector<Piece> &pieces)
{
    const StepSpec &step = *demand.step;
    const ResourceVector amount = step.reservation();
    std::vector<std::size_t> taken(pieces.size(), 0);
    if (step.maxPerWorker > 0) {
        std::ranges::transform(pieces, taken.begin(), [&](const Piece &it) {
            return countPlaced(*it.worker, demand.first);
        });
    }
    for (std::uint32_t placed = 0; placed < demand.count; ++placed) {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < pieces.size(); ++i) {
            const bool isAtLimit = step.maxPerWorker > 0 && taken[i] >= step.maxPerWorker;
            if (isAtLimit || !pieces[i].free.fits(amount)
                || !hasLabel(*pieces[i].worker, step.requiredLabel)) {
                continue;
            }
            if (!best || pieces[i].free.milliCpu < pieces[*best].free.milliCpu) {
                best = i;
            }
        }
        if (!best) {
            return false;
        }
        pieces[*best].free.subtract(amount);
        ++taken[*best];
    }
    return true;
}

bool LongRunningRoom::fits(const JobSpec &spec) const
{
    std::vector<Piece> pieces = m_pieces;
    for (const StepDemand &it : m_waiting) {
        place(it, pieces);
    }
    return std::ranges::all_of(spec.steps, [&](const StepSpec &it) {
        return !it.isLongRunning || place({&it, std::nullopt, it.taskCount}, pieces);
    });
}

} // namespace firefly
