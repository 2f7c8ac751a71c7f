#pragma once

#include "fakes/LongRunningTasks.h"

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace firefly {

/// Base of random schedules, drawn from a seed, in which the owner of a cell changes every few
/// seconds while its workers run long-running tasks and batch jobs.
class OwnerChangeSchedule
{
public:
    explicit OwnerChangeSchedule(std::uint32_t seed)
        : m_world(seed, WorkerCount)
        , m_random(seed + 1000)
    {
        m_world.listDelay = std::chrono::milliseconds(300);
    }

    const CellWorld &world() const { return m_world; }
    int ownerChanges() const { return m_ownerChanges; }

protected:
    static constexpr int WorkerCount = 12;
    /// Time from the beginning of an owner until the leases of one that resigned are over.
    static constexpr auto MinLocateTime = std::chrono::milliseconds(5600);
    static constexpr auto MaxLocateTime = std::chrono::milliseconds(6600);
    /// The same after an owner that ended without notice.
    static constexpr auto LocateTimeAfterLoss = std::chrono::milliseconds(8800);

    /// A random number below \a n.
    int draw(int n) { return std::uniform_int_distribution<int>(0, n - 1)(m_random); }
    Duration drawTime(std::chrono::milliseconds from, std::chrono::milliseconds to)
    {
        return from + std::chrono::milliseconds(draw(static_cast<int>((to - from).count()) + 1));
    }

    /// Ids of the workers that run and don't drain.
    std::vector<std::string> stayingWorkers() const
    {
        std::vector<std::string> ids;
        for (const auto &[id, it] : m_world.workers) {
            if (it->state == FakeCellWorker::State::Up && !it->isDraining) {
                ids.push_back(id);
            }
        }
        return ids;
    }
    std::string drawWorker()
    {
        const std::vector<std::string> ids = stayingWorkers();
        return ids[static_cast<std::size_t>(draw(static_cast<int>(ids.size())))];
    }

    /// Submits long-running tasks for a third of the workers' capacity.
    void submitLongRunning()
    {
        constexpr std::int64_t Total = WorkerCount * 8000 / 3;
        for (std::int64_t demand = 0; demand < Total;) {
            const auto count = static_cast<std::uint32_t>(1 + draw(3));
            const std::int64_t milliCpu = 1000 + (500 * draw(5));
            const JobId id("long" + std::to_string(m_longRunning.size()));
            m_world.submit(id, draw(2) == 0 ? makeLongRunning(count, milliCpu)
                                            : makeSpreadLongRunning(count, milliCpu));
            for (std::uint32_t i = 0; i < count; ++i) {
                m_longRunning.push_back({id, 0, 0, i});
            }
            demand += count * milliCpu;
        }
    }

    void submitBatch()
    {
        for (auto &[id, it] : m_world.workers) {
            it->workTime =
                drawTime(std::chrono::milliseconds(300), std::chrono::milliseconds(3000));
        }
        const JobId id("batch" + std::to_string(m_batchJobs++));
        m_world.submit(id, makeChain(static_cast<std::uint32_t>(1 + draw(2)),
                                     static_cast<std::uint32_t>(1 + draw(3))));
    }

    /// The owner resigns, or ends without notice, and the next one begins.
    void replaceOwner(bool isPlanned)
    {
        ++m_ownerChanges;
        m_world.replaceOwner(
            m_world.now
            + (isPlanned ? drawTime(MinLocateTime, MaxLocateTime) : Duration(LocateTimeAfterLoss)));
    }

    CellWorld m_world;
    std::mt19937 m_random;
    std::vector<TaskName> m_longRunning;
    int m_batchJobs = 0;
    int m_ownerChanges = 0;
};

} // namespace firefly
