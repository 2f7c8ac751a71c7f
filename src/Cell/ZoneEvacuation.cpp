/// \file Evacuations of zones, as part of CellScheduler.

#include "Cell/CellScheduler.h"
#include "Cell/TaskLedger.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>
#include <variant>

namespace firefly {

void CellScheduler::setEvacuatedZones(std::set<std::string> zones)
{
    m_state.areStartsSuspended = false;
    m_state.wantsPlacement = true;
    m_state.evacuatedZones = std::move(zones);
    for (const auto &[id, worker] : m_state.workers) {
        worker->isEvacuated = m_state.evacuatedZones.contains(worker->info.zone);
    }
    withdrawStarts();
}

void CellScheduler::withdrawStarts()
{
    std::vector<TaskRef> starts;
    const auto addStart = [this, &starts](const StartTask &order) {
        const auto ref = m_state.findTask(order.task);
        if (ref && ref->task().state == TaskState::Starting && ref->task().run == order.run) {
            starts.push_back(*ref);
        }
    };
    for (const CellAction &it : m_state.actions) {
        if (const auto *order = std::get_if<StartTask>(&it)) {
            addStart(*order);
        }
    }
    for (const CellState::UnrecordedStart &it : m_state.unrecordedStarts) {
        addStart(it.order);
    }
    // The members of a gang start together or not at all.
    using GangId = std::tuple<const CellJob *, std::uint32_t, std::uint32_t>;
    const auto gangOf = [](const TaskRef &ref) {
        return GangId(ref.job, ref.occurrence, ref.step);
    };
    std::set<GangId> withdrawnGangs;
    for (const TaskRef &it : starts) {
        if (it.spec().isGang && it.task().worker->isEvacuated) {
            withdrawnGangs.insert(gangOf(it));
        }
    }
    std::set<TaskName> withdrawn;
    for (const TaskRef &it : starts) {
        if (it.task().worker->isEvacuated || withdrawnGangs.contains(gangOf(it))) {
            withdrawn.insert(it.name());
            releaseTask(it);
        }
    }
    std::erase_if(m_state.actions, [&withdrawn](const CellAction &action) {
        const auto *order = std::get_if<StartTask>(&action);
        return order && withdrawn.contains(order->task);
    });
    std::erase_if(m_state.unrecordedStarts,
                  [&withdrawn](const auto &it) { return withdrawn.contains(it.order.task); });
}

double CellScheduler::evacuatedMilliCpu() const
{
    std::int64_t milliCpu = 0;
    for (const auto &[id, worker] : m_state.workers) {
        milliCpu += worker->isEvacuated ? worker->info.capacity.milliCpu : 0;
    }
    return static_cast<double>(milliCpu);
}

bool CellScheduler::isEvacuated(const std::string &service) const
{
    bool hasEvacuated = false;
    for (const auto &[id, worker] : m_state.workers) {
        if (!worker->isRegistered || worker->info.service != service) {
            continue;
        }
        if (worker->acceptsTasks()) {
            return false;
        }
        hasEvacuated = hasEvacuated || worker->isEvacuated;
    }
    return hasEvacuated;
}

} // namespace firefly
