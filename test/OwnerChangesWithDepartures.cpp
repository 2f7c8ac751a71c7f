#include "fakes/OwnerChangeSchedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;

/// After MaxDowntime, how long the platform waits for a run of a task that has capacity.
constexpr Duration RestartTime = 3s;

/// Workers drain and leave two at a time, and as many join, while the owner changes.
class DepartureSchedule : public OwnerChangeSchedule
{
public:
    explicit DepartureSchedule(std::uint32_t seed)
        : OwnerChangeSchedule(seed)
    {
        m_world.storeFaults.maxDelay = 150ms;
    }

    void run()
    {
        constexpr Duration Span = 60s;
        m_world.run(500ms);
        submitLongRunning();
        m_world.run(2s);
        for (const TaskName &it : m_longRunning) {
            if (!isRunning(m_world, it)) {
                m_findings.push_back(nameOf(it) + " doesn't start");
            }
            m_watches[it] = {m_world.now, m_world.now, true};
        }
        const TimePoint end = m_world.now + Span;
        scheduleDepartures();
        scheduleOwnerChange();
        scheduleBatch();
        while (m_world.now < end) {
            m_world.step();
            checkRestarts();
        }
    }

    /// Violated invariants, and long-running tasks that weren't restarted in time.
    std::vector<std::string> findings() const
    {
        std::vector<std::string> all = m_world.audit.violations;
        all.insert(all.end(), m_findings.begin(), m_findings.end());
        return all;
    }

    int interruptions() const { return m_interruptions; }
    Duration longestDowntime() const { return m_longestDowntime; }

private:
    static constexpr Duration DrainTime = 2s;

    struct Watch
    {
        TimePoint lastRunAt{};
        TimePoint dueSince{}; ///< Since then a run is due and there is capacity for it.
        bool wasRunning = false;
    };

    static std::string nameOf(const TaskName &task)
    {
        return task.job.value() + "." + std::to_string(task.index);
    }

    void scheduleDepartures()
    {
        const Duration pause = drawTime(1000ms, 4000ms);
        m_leaveAt = m_world.now + pause + DrainTime;
        m_world.after(pause, [this] {
            constexpr int Count = 2;
            for (int i = 0; i < Count; ++i) {
                m_world.drainWorker(drawWorker(), DrainTime);
                m_world.joinWorker(drawTime(200ms, 800ms));
            }
            m_world.after(DrainTime, [this] { scheduleDepartures(); });
        });
    }

    void scheduleOwnerChange()
    {
        constexpr auto MinPause = 1500ms;
        constexpr auto MaxPause = 4000ms;
        Duration pause = drawTime(MinPause, MaxPause);
        const Duration untilLeave = m_leaveAt - m_world.now;
        if (untilLeave >= MinPause && untilLeave <= MaxPause && draw(2) == 0) {
            pause = untilLeave + drawTime(0ms, 300ms);
        }
        m_world.after(pause, [this] {
            replaceOwner(draw(4) != 0);
            scheduleOwnerChange();
        });
    }

    void scheduleBatch()
    {
        m_world.after(drawTime(400ms, 1200ms), [this] {
            submitBatch();
            scheduleBatch();
        });
    }

    /// True if the workers that stay have capacity for \a task twice over.
    bool hasRoom(const TaskName &task) const
    {
        const StepSpec &step = *m_world.audit.stepOf(task);
        std::int64_t places = 0;
        for (const std::string &id : stayingWorkers()) {
            const FakeCellWorker &worker = *m_world.workers.at(id);
            const auto used = m_world.audit.used.find(id);
            const std::int64_t usedCpu =
                used == m_world.audit.used.end() ? 0 : used->second.milliCpu;
            if (worker.isRegistered && (step.maxPerWorker != 1 || !runsStepOf(task, id))) {
                const std::int64_t fitting =
                    (worker.capacity.milliCpu - usedCpu) / step.demand.milliCpu;
                places += step.maxPerWorker == 1 ? std::min<std::int64_t>(fitting, 1) : fitting;
            }
        }
        return places >= 2;
    }

    bool runsStepOf(const TaskName &task, const std::string &worker) const
    {
        return std::ranges::any_of(m_longRunning, [&](const TaskName &it) {
            return it.job == task.job && isRunningOn(m_world, it, worker);
        });
    }

    /// Each task must run again within RestartTime once it has been down for MaxDowntime and as
    /// long as it has capacity.
    void checkRestarts()
    {
        const TimePoint now = m_world.now;
        for (auto &[task, watch] : m_watches) {
            const bool runs = isRunning(m_world, task);
            m_interruptions += watch.wasRunning && !runs ? 1 : 0;
            watch.wasRunning = runs;
            if (runs) {
                watch.lastRunAt = now;
            }
            const Duration downtime = now - watch.lastRunAt;
            m_longestDowntime = std::max(m_longestDowntime, downtime);
            if (downtime < MaxDowntime || !hasRoom(task)) {
                watch.dueSince = now;
            }
            if (now - watch.dueSince < RestartTime) {
                continue;
            }
            const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
                watch.lastRunAt.time_since_epoch());
            m_findings.push_back(nameOf(task) + " doesn't run from " + std::to_string(at.count())
                                 + " ms on");
            watch.dueSince = TimePoint::max(); // Reported once for each time that it is down.
        }
    }

    std::map<TaskName, Watch> m_watches;
    std::vector<std::string> m_findings;
    TimePoint m_leaveAt{}; ///< When the next two workers leave, or the latest have left.
    int m_interruptions = 0;
    Duration m_longestDowntime{};
};

// Guards against long-running tasks that stay down because each new owner waits for the leases of
// workers that have left.
TEST(OwnerChangesWithDepartures, LongRunningTasksAreRestartedInTime)
{
    int interruptions = 0;
    int ownerChanges = 0;
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        DepartureSchedule schedule(seed);
        schedule.run();
        EXPECT_EQ(schedule.findings(), std::vector<std::string>{}) << "seed " << seed;
        interruptions += schedule.interruptions();
        ownerChanges += schedule.ownerChanges();
    }
    // Below what the schedules cause, but enough that the checks above mean something.
    EXPECT_GT(interruptions, 400);
    EXPECT_GT(ownerChanges, 300);
}

} // namespace
} // namespace firefly
