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
    const auto findStart = [this](const CellAction &action) -> std::optional<TaskRef> {
        const auto *order = std::get_if<StartTask>(&action);
        return order ? m_state.findTask(order->task) : std::nullopt;
    };
    // The members of a gang start together or not at all.
    using GangId = std::tuple<const CellJob *, std::uint32_t, std::uint32_t>;
    const auto gangOf = [](const TaskRef &ref) {
        return GangId(ref.job, ref.occurrence, ref.step);
    };
    std::set<GangId> withdrawnGangs;
    for (const CellAction &it : m_state.actions) {
        const auto ref = findStart(it);
        if (ref && ref->spec().isGang && ref->task().worker && ref->task().worker->isEvacuated) {
            withdrawnGangs.insert(gangOf(*ref));
        }
    }
    std::erase_if(m_state.actions, [&](const CellAction &action) {
        const auto ref = findStart(action);
        if (!ref || ref->task().state != TaskState::Starting) {
            return false;
        }
        if (!ref->task().worker->isEvacuated && !withdrawnGangs.contains(gangOf(*ref))) {
            return false;
        }
        TaskLedger::release(*ref);
        return true;
    });
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
