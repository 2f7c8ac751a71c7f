#include "fakes/FleetWorld.h"

#include <gtest/gtest.h>

#include <chrono>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr int CellCount = 3;
constexpr int WorkerCount = 4; ///< Of each cell.
constexpr std::uint32_t SeedCount = 60;

/// Demands up to which a cell with SettledLoad has room for one more task, whatever its placement.
constexpr std::int64_t MaxSettledDemand = 4400;
constexpr double SettledLoad = 0.45;

/// A random schedule of faults in a fleet, drawn from a seed, while jobs are submitted and
/// cancelled.
class FaultSchedule
{
public:
    explicit FaultSchedule(std::uint32_t seed)
        : m_world(seed, CellCount, WorkerCount)
        , m_random(seed + 1000)
        , m_crowdedCell(draw(CellCount))
    {}

    void run()
    {
        constexpr int EventCount = 120;
        for (int i = 0; i < EventCount; ++i) {
            m_world.run(std::chrono::milliseconds(50 + draw(250)));
            submitRandomJob();
            repeatCancels();
            injectFault();
        }
        endFaults();
        reduceLoad();
        m_world.run(15s);
    }

    /// Violated invariants, and tasks that don't run as they should at the end.
    std::vector<std::string> findings() const
    {
        std::vector<std::string> all = m_world.allViolations();
        for (const auto &[id, job] : m_jobs) {
            const std::size_t expected = isAccepted(id) && !job.isCancelRequested ? 1 : 0;
            for (std::uint32_t i = 0; job.isLongRunning && i < job.taskCount; ++i) {
                const std::size_t count = m_world.countRuns({JobId(id), 0, 0, i});
                if (count != expected) {
                    all.push_back(id + "." + std::to_string(i) + " runs " + std::to_string(count)
                                  + " times instead of " + std::to_string(expected));
                }
            }
        }
        return all;
    }

    /// Number of runs that started in other cells than the home of their job.
    std::size_t countGuestRuns() const
    {
        std::size_t count = 0;
        for (int i = 0; i < CellCount; ++i) {
            for (const auto &[task, runs] : m_world.cell(i).audit.runs) {
                count += m_jobs.at(task.job.value()).home == i ? 0 : runs.size();
            }
        }
        return count;
    }

    int countRevocations() const { return m_world.sentRevocations; }
    int countReturns() const { return m_world.sentReturns; }

    /// Number of long-running tasks that should run at the end.
    std::size_t countRemainingTasks() const
    {
        std::size_t count = 0;
        for (const auto &[id, job] : m_jobs) {
            const bool isRemaining = job.isLongRunning && isAccepted(id) && !job.isCancelRequested;
            count += isRemaining ? job.taskCount : 0;
        }
        return count;
    }

private:
    struct SubmittedJob
    {
        int home = 0;
        bool isLongRunning = false;
        std::uint32_t taskCount = 0; ///< Of each step.
        std::int64_t milliCpu = 0;
        bool isCancelRequested = false;
        bool isCancelConfirmed = false;
    };

    /// A random number below \a n.
    int draw(int n) { return std::uniform_int_distribution<int>(0, n - 1)(m_random); }
    int drawCell() { return draw(2) == 0 ? m_crowdedCell : draw(CellCount); }

    bool isAccepted(const std::string &id) const
    {
        return m_world.cell(m_jobs.at(id).home).accepted.contains(id);
    }

    void submitRandomJob()
    {
        constexpr std::size_t MaxJobs = 40;
        if (m_jobs.size() >= MaxJobs || draw(2) == 0) {
            return;
        }
        const std::string id = "j" + std::to_string(m_jobs.size());
        SubmittedJob job;
        job.home = drawCell();
        job.isLongRunning = draw(3) != 0;
        job.taskCount = static_cast<std::uint32_t>(1 + draw(4));
        job.milliCpu = draw(5) == 0 ? 7000 : 800 + 100 * draw(37);
        const JobSpec spec =
            job.isLongRunning ? makeLongRunning(job.taskCount, job.milliCpu)
                              : makeChain(static_cast<std::uint32_t>(1 + draw(3)), job.taskCount);
        m_jobs[id] = job;
        m_world.cell(job.home).submit(JobId(id), spec);
    }

    void cancel(const std::string &id)
    {
        SubmittedJob &job = m_jobs.at(id);
        CellWorld &home = m_world.cell(job.home);
        job.isCancelRequested = true;
        const bool isKnown = home.owner->cancel(
            JobId(id), home.now, home.unixMs(), [&job](CellScheduler::Verdict verdict) {
                const bool isDurable = verdict == CellScheduler::Verdict::Accepted;
                job.isCancelConfirmed = job.isCancelConfirmed || isDurable;
            });
        EXPECT_TRUE(isKnown) << id;
    }

    /// A cancel that wasn't durable is lost with its owner.
    void repeatCancels()
    {
        for (const auto &[id, job] : m_jobs) {
            if (job.isCancelRequested && !job.isCancelConfirmed) {
                cancel(id);
            }
        }
    }

    void cancelRandomJob()
    {
        if (m_jobs.empty()) {
            return;
        }
        const auto it = std::next(m_jobs.begin(), draw(static_cast<int>(m_jobs.size())));
        if (isAccepted(it->first) && !it->second.isCancelRequested) {
            cancel(it->first);
        }
    }

    void reboot(CellWorld &cell, FakeCellWorker &worker)
    {
        worker.reboot(cell.now);
        cell.owner->onWorkerListed(worker.describe(), cell.now);
    }

    void replaceOwner(CellWorld &cell)
    {
        if (!cell.isStoreDown) {
            cell.replaceOwner(cell.now + 9s);
        }
    }

    void injectFault()
    {
        CellWorld &cell = m_world.cell(drawCell());
        const std::string name = "w" + std::to_string(draw(WorkerCount));
        FakeCellWorker &worker = *cell.workers.at(name);
        worker.workTime = std::chrono::milliseconds(100 + draw(2500));
        switch (draw(12)) {
        case 0:
        case 1:
            drain(cell, name);
            break;
        case 2:
            reboot(cell, worker);
            break;
        case 3:
        case 4:
            replaceOwner(cell);
            break;
        case 5:
            cell.isStoreDown = !cell.isStoreDown;
            break;
        case 6:
            m_world.lostFraction = 0.3 * draw(3);
            break;
        case 7:
            m_world.lateFraction = 0.3 * draw(3);
            m_world.duplicateFraction = 0.3 * draw(3);
            break;
        case 8:
            cancelRandomJob();
            break;
        default:
            for (const auto &it : m_world.cells) {
                it->isStoreDown = it->isStoreDown && draw(2) == 0;
            }
            break;
        }
    }

    void endFaults()
    {
        m_world.lostFraction = 0.0;
        m_world.lateFraction = 0.0;
        m_world.duplicateFraction = 0.0;
        for (const auto &cell : m_world.cells) {
            cell->isStoreDown = false;
            for (auto &[id, it] : cell->workers) {
                it->workTime = 300ms;
                if (it->isDraining) {
                    reboot(*cell, *it);
                }
            }
        }
        m_world.run(2s);
    }

    /// Cancels jobs until each cell has room for all of its tasks.
    void reduceLoad()
    {
        for (const auto &[id, job] : m_jobs) {
            if (job.isLongRunning && job.milliCpu > MaxSettledDemand && isAccepted(id)
                && !job.isCancelRequested) {
                cancel(id);
            }
        }
        m_world.run(2s);
        for (int i = 0; i < CellCount; ++i) {
            while (m_world.cell(i).owner->load().longRunning > SettledLoad
                   && cancelLongRunningJobOf(i)) {
                m_world.run(500ms);
            }
        }
        repeatCancels();
    }

    /// Cancels a job with tasks in \a cell; false if there is none.
    bool cancelLongRunningJobOf(int cell)
    {
        for (const auto &[id, known] : m_world.cell(cell).owner->state().jobs) {
            const SubmittedJob &job = m_jobs.at(id);
            if (job.isLongRunning && !isFinal(known->state) && !job.isCancelRequested) {
                cancel(id);
                return true;
            }
        }
        return false;
    }

    FleetWorld m_world;
    std::mt19937 m_random;
    int m_crowdedCell;
    std::map<std::string, SubmittedJob> m_jobs; ///< By id.
};

// Guards against a delegated task that is lost, runs in two cells or outlives its job when owners
// change, stores fail or requests between cells are lost, late or repeated.
TEST(TaskDelegationFaults, NoScheduleOfFaultsLosesOrDoublesATask)
{
    std::size_t guestRuns = 0;
    std::size_t remainingTasks = 0;
    int revocations = 0;
    int returns = 0;
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        FaultSchedule schedule(seed);
        schedule.run();
        EXPECT_EQ(schedule.findings(), std::vector<std::string>{}) << "seed " << seed;
        guestRuns += schedule.countGuestRuns();
        remainingTasks += schedule.countRemainingTasks();
        revocations += schedule.countRevocations();
        returns += schedule.countReturns();
    }
    // Far below what the schedules cause, but enough that the checks above mean something.
    EXPECT_GT(guestRuns, 500U);
    EXPECT_GT(remainingTasks, 300U);
    EXPECT_GT(revocations, 300);
    EXPECT_GT(returns, 100);
}

} // namespace
} // namespace firefly
