#include "fakes/FleetWorld.h"
#include "fakes/SingleTaskJobs.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 5;
constexpr std::int64_t Demand = 8000; ///< A whole worker.
constexpr int WorkersPerCell = 32;
constexpr int UsableWorkers = 20; ///< Of each cell once the queues have formed.
constexpr int LongQueue = 12;     ///< Displaced tasks of the cell 0.
constexpr int ShortQueue = 2;     ///< Displaced tasks of the cell 1.
constexpr Duration ReplacementInterval = 1s;
constexpr int ReplacementCount = 14;
/// Time without a run after which the platform counts a task as lost, if it had room.
constexpr Duration MaxWait = MaxDowntime + 3s;

/// Two full cells in which displaced tasks wait, in the order of their jobs.  Each job has one
/// task, which needs a whole worker.
class FullCells
{
public:
    explicit FullCells(std::uint32_t seed)
        : world(seed, 2, WorkersPerCell)
    {
        world.run(500ms);
        for (int i = UsableWorkers + ShortQueue; i < WorkersPerCell; ++i) {
            drain(world.cell(1), "w" + std::to_string(i));
        }
        submit(0, UsableWorkers + LongQueue);
        submit(1, UsableWorkers + ShortQueue);
        world.run(2s);
        for (int i = 0; i < LongQueue; ++i) {
            displaceNext(0);
        }
        for (int i = 0; i < ShortQueue; ++i) {
            displaceNext(1);
        }
    }

    /// Ends a task in each cell, so that its worker becomes free, and displaces another one.
    void replaceTasks()
    {
        for (int cell = 0; cell < world.cellCount(); ++cell) {
            endTask(cell);
            displaceNext(cell);
        }
    }

    /// Advances by \a span; counts the starts and those past a task that has waited too long.
    void run(Duration span)
    {
        for (const TimePoint end = world.now() + span; world.now() < end;) {
            world.step();
            for (Job &it : m_jobs) {
                updateDisplaced(it);
            }
        }
    }

    FleetWorld world;
    int restartCount = 0;
    int overtakingCount = 0;

private:
    struct Job
    {
        std::string id;
        int home = 0;
        bool isDisplaced = false;
        std::optional<TimePoint> stoppedAt; ///< End of its run, once it is displaced.
        bool hasRestarted = false;
        bool isCanceled = false;
    };

    void submit(int cell, int count)
    {
        for (int i = 0; i < count; ++i) {
            m_jobs.push_back({"long" + std::to_string(m_jobs.size()), cell});
            world.cell(cell).submit(JobId(m_jobs.back().id), makeLongRunning(1, Demand));
            world.run(5ms);
        }
    }

    void displaceNext(int cell)
    {
        const auto it = std::ranges::find_if(m_jobs, [&](const Job &job) {
            return !job.isDisplaced && isRunning(world.cell(cell), taskOf(job.id));
        });
        ASSERT_NE(it, m_jobs.end());
        displace(world.cell(cell), it->id);
        it->isDisplaced = true;
    }

    void updateDisplaced(Job &job)
    {
        const bool isRunning = world.countRuns(taskOf(job.id)) > 0;
        if (!job.isDisplaced || job.hasRestarted) {
            return;
        }
        if (!isRunning && !job.stoppedAt) {
            job.stoppedAt = world.now();
        } else if (isRunning && job.stoppedAt) {
            job.hasRestarted = true;
            ++restartCount;
            overtakingCount += hasLongerWaitingTask(*job.stoppedAt) ? 1 : 0;
        }
    }

    /// Ends one task of \a cell, of those that were displaced before if there is one.
    void endTask(int cell)
    {
        Job *chosen = nullptr;
        for (Job &it : m_jobs) {
            const bool isRunningHere = !it.isCanceled && isRunning(world.cell(cell), taskOf(it.id));
            if (isRunningHere && (!chosen || !chosen->hasRestarted)) {
                chosen = &it;
            }
        }
        ASSERT_NE(chosen, nullptr);
        cancel(world.cell(chosen->home), chosen->id);
        chosen->isCanceled = true;
    }

    /// True if a task that was stopped before \a time still waits, for longer than MaxWait.
    bool hasLongerWaitingTask(TimePoint time) const
    {
        return std::ranges::any_of(m_jobs, [&](const Job &it) {
            return it.stoppedAt && !it.hasRestarted && *it.stoppedAt < time
                   && world.now() - *it.stoppedAt > MaxWait;
        });
    }

    std::vector<Job> m_jobs; ///< In the order of their submission.
};

// A long-running task waited in the long queue of its cell for over nine seconds while another full
// cell started tasks that had waited for two.
TEST(DisplacedTaskQueues, NoTaskWaitsInALongQueueWhileAnotherCellStartsLaterOnes)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FullCells fleet(seed);
        for (int i = 0; i < ReplacementCount; ++i) {
            fleet.run(ReplacementInterval);
            fleet.replaceTasks();
        }
        EXPECT_GE(fleet.restartCount, 2 * (ReplacementCount - 2)) << "seed " << seed;
        EXPECT_EQ(fleet.overtakingCount, 0) << "seed " << seed;
        EXPECT_EQ(fleet.world.allViolations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
