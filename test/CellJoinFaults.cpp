#include "fakes/FleetWorld.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t CellSeedCount = 200;
constexpr std::uint32_t FleetSeedCount = 60;

/// Time in which a cell settles once the faults have ended.
constexpr Duration SettleTime = 40s;

/// Random faults of one cell: workers that come and go, a store that is slow or loses answers, and
/// owners that are lost.
class CellFaults
{
public:
    /// \a random outlives this object.
    CellFaults(CellWorld &world, std::mt19937 &random)
        : m_world(world)
        , m_random(random)
        , m_minWorkers(countUp() - 1)
        , m_hasFailingRuns(draw(3) == 0)
        , m_hasDepartures(draw(2) == 0)
    {
        m_world.hasAppendPauses = true;
        m_world.areGangsSynchronized = true;
        m_world.lateOrderFraction = draw(3) == 0 ? 0.1 : 0.0;
    }

    /// Injects at most one further fault, and ends those that are over.
    void inject()
    {
        endDueFaults();
        m_world.listDelay = drawTime(0ms, 2500ms);
        FakeCellWorker &worker = *m_world.workers.at(drawWorker());
        worker.workTime = drawTime(300ms, 6000ms);
        worker.hasFailingRuns = m_hasFailingRuns && draw(8) == 0;
        if (m_storeFaultsEnd || m_world.isOwnerLost) {
            drawWorkerFault();
            return;
        }
        switch (draw(8)) {
        case 0:
            beginStoreFaults(drawTime(500ms, 6000ms));
            break;
        case 1:
            loseOwner();
            break;
        case 2:
            loseOwnerAfterJoin();
            break;
        default:
            drawWorkerFault();
            break;
        }
    }

    /// Ends all faults, and adds workers until there are \a workerCount.
    void end(int workerCount)
    {
        endStoreFaults();
        m_ownerLossAt.reset();
        m_world.lateOrderFraction = 0.0;
        m_world.listDelay = 500ms;
        for (auto &[id, it] : m_world.workers) {
            it->isReachable = true;
            it->hasFailingRuns = false;
            it->workTime = 300ms;
        }
        for (int i = countUp(); i < workerCount; ++i) {
            m_world.joinWorker(200ms);
        }
    }

    int lossesDuringOutage() const { return m_lossesDuringOutage; }

private:
    /// A random number below \a n.
    int draw(int n) { return std::uniform_int_distribution<int>(0, n - 1)(m_random); }
    Duration drawTime(std::chrono::milliseconds from, std::chrono::milliseconds to)
    {
        return from + std::chrono::milliseconds(draw(static_cast<int>((to - from).count()) + 1));
    }

    /// Ids of the workers that run, and that stay as far as is known.
    std::vector<std::string> upWorkers() const
    {
        std::vector<std::string> ids;
        for (const auto &[id, it] : m_world.workers) {
            if (it->state == FakeCellWorker::State::Up && !it->isDraining) {
                ids.push_back(id);
            }
        }
        return ids;
    }
    int countUp() const { return static_cast<int>(upWorkers().size()); }
    std::string drawWorker()
    {
        const std::vector<std::string> ids = upWorkers();
        return ids[static_cast<std::size_t>(draw(static_cast<int>(ids.size())))];
    }

    void drawWorkerFault()
    {
        const int kind = draw(20);
        if (kind == 0) {
            join();
        } else if (kind == 1) {
            crash();
        } else if (kind < 5 && m_hasDepartures) {
            depart();
        }
    }

    /// Takes a worker away for a time or for good, so that the next owners may have to wait for it.
    void depart()
    {
        const std::string id = drawWorker();
        const bool mayEnd = countUp() > m_minWorkers;
        switch (draw(3)) {
        case 0:
            m_world.workers.at(id)->isReachable = false;
            break;
        case 1:
            if (mayEnd) {
                m_world.removeWorker(id);
            }
            break;
        default:
            if (mayEnd) {
                m_world.drainWorker(id, drawTime(500ms, 4000ms));
            }
            break;
        }
    }

    /// While the store is faulty a worker joins, and the owner is lost soon after.
    void loseOwnerAfterJoin()
    {
        const Duration toLoss = drawTime(1000ms, 3000ms);
        beginStoreFaults(toLoss + drawTime(0ms, 2000ms));
        m_ownerLossAt = m_world.now + toLoss;
        for (int i = draw(3); i >= 0; --i) {
            draw(2) == 0 ? join() : crash();
        }
    }

    void join()
    {
        const std::string id = m_world.joinWorker(drawTime(0ms, 800ms));
        m_world.workers.at(id)->workTime = drawTime(300ms, 6000ms);
    }
    void crash()
    {
        if (countUp() > 1) {
            m_world.crashWorker(drawWorker(), drawTime(200ms, 1500ms));
        }
    }

    void loseOwner()
    {
        m_lossesDuringOutage += m_storeFaultsEnd && !m_world.isOwnerLost ? 1 : 0;
        m_world.loseOwner(drawTime(300ms, 3000ms));
    }

    void beginStoreFaults(Duration span)
    {
        m_storeFaultsEnd = m_world.now + span;
        StoreFaults &faults = m_world.storeFaults;
        const double fraction = 0.25 * (2 + draw(3));
        switch (draw(6)) {
        case 0:
            m_world.isStoreDown = true;
            break;
        case 1:
            faults.maxDelay = drawTime(500ms, 4000ms);
            faults.minDelay = faults.maxDelay / 4;
            break;
        case 2:
            faults.lostAnswerFraction = fraction;
            break;
        case 3:
            faults.lateFraction = fraction;
            break;
        case 4:
            faults.droppedFraction = fraction;
            break;
        default:
            faults.lostAnswerFraction = fraction / 3;
            faults.lateFraction = fraction / 3;
            faults.droppedFraction = fraction / 3;
            break;
        }
    }

    void endStoreFaults()
    {
        m_storeFaultsEnd.reset();
        m_world.isStoreDown = false;
        m_world.storeFaults = {};
    }

    void endDueFaults()
    {
        if (m_ownerLossAt && m_world.now >= *m_ownerLossAt) {
            m_ownerLossAt.reset();
            loseOwner();
        }
        if (m_storeFaultsEnd && m_world.now >= *m_storeFaultsEnd) {
            endStoreFaults();
        }
        for (auto &[id, it] : m_world.workers) {
            it->isReachable = it->isReachable || draw(5) == 0;
        }
    }

    CellWorld &m_world;
    std::mt19937 &m_random;
    int m_minWorkers; ///< Below this, no worker leaves for good.
    bool m_hasFailingRuns;
    bool m_hasDepartures;
    std::optional<TimePoint> m_storeFaultsEnd; ///< Set while the store is faulty.
    std::optional<TimePoint> m_ownerLossAt;
    int m_lossesDuringOutage = 0;
};

/// Number of runs that started on workers that joined after the beginning.
std::size_t countRunsOnJoined(const CellWorld &world)
{
    std::size_t count = 0;
    for (const auto &[task, workers] : world.audit.startedOn) {
        count += static_cast<std::size_t>(std::ranges::count_if(
            workers, [](const std::string &it) { return !it.starts_with('w') || it.size() > 2; }));
    }
    return count;
}

/// True if a task of the job \a id has failed, or has lost as many runs to crashes of workers as
/// make an owner give up the job.
bool mayHaveFailed(const CellWorld &world, const std::string &id)
{
    constexpr int MaxLostRuns = 2;
    return std::ranges::any_of(world.audit.everFailed,
                               [&id](const TaskName &it) { return it.job.value() == id; })
           || std::ranges::any_of(world.audit.lostRuns, [&id](const auto &it) {
                  return it.first.job.value() == id && it.second >= MaxLostRuns;
              });
}

/// A random schedule of faults in one cell, drawn from a seed, while jobs are submitted.
class CellSchedule
{
public:
    explicit CellSchedule(std::uint32_t seed)
        : m_world(seed, WorkerCount)
        , m_random(seed + 1000)
        , m_faults(m_world, m_random)
    {}

    void run()
    {
        constexpr int EventCount = 120;
        for (int i = 0; i < EventCount; ++i) {
            m_world.run(std::chrono::milliseconds(50 + draw(200)));
            submitRandomJob();
            m_faults.inject();
        }
        m_faults.end(WorkerCount);
        m_world.run(SettleTime);
    }

    /// Violated invariants, and jobs that aren't as they should be at the end.
    std::vector<std::string> findings() const
    {
        std::vector<std::string> all = m_world.audit.violations;
        for (const std::string &id : m_world.accepted) {
            const auto state = m_world.owner->stateOf(JobId(id));
            const StepSpec &step = m_world.audit.specs.at(id).steps.front();
            if (state == JobState::Failed && !mayHaveFailed(m_world, id)) {
                all.push_back(id + " failed without cause");
            }
            if (!step.isLongRunning && !m_world.isFinished(JobId(id))) {
                all.push_back(id + " isn't finished");
            }
            const bool shouldRun = step.isLongRunning && state != JobState::Failed;
            for (std::uint32_t i = 0; shouldRun && i < step.taskCount; ++i) {
                if (!isRunning(m_world, {JobId(id), 0, 0, i})) {
                    all.push_back(id + "." + std::to_string(i) + " doesn't run");
                }
            }
        }
        return all;
    }

    const CellWorld &world() const { return m_world; }
    const CellFaults &faults() const { return m_faults; }

private:
    static constexpr int WorkerCount = 5;

    /// A random number below \a n.
    int draw(int n) { return std::uniform_int_distribution<int>(0, n - 1)(m_random); }

    void submitRandomJob()
    {
        constexpr int MaxJobs = 80;
        constexpr int MaxLongRunning = 5;
        if (m_jobCount >= MaxJobs || draw(3) == 0) {
            return;
        }
        const auto width = static_cast<std::uint32_t>(1 + draw(4));
        JobSpec spec = makeChain(1, 1);
        switch (draw(6)) {
        case 0:
            spec = makeChain(1, width + 1);
            spec.steps.front().isGang = true;
            break;
        case 1:
            if (m_longRunningCount < MaxLongRunning) {
                ++m_longRunningCount;
                spec = makeLongRunning(1 + width / 3, 500 + 100 * draw(15));
            }
            break;
        case 2:
            break;
        default:
            spec = makeChain(static_cast<std::uint32_t>(1 + draw(4)), 2 * width);
            break;
        }
        m_world.submit(JobId("j" + std::to_string(m_jobCount++)), spec);
    }

    CellWorld m_world;
    std::mt19937 m_random;
    CellFaults m_faults;
    int m_jobCount = 0;
    int m_longRunningCount = 0;
};

/// The same in a fleet whose first cell is crowded, so that its tasks run in guest cells.
class FleetSchedule
{
public:
    explicit FleetSchedule(std::uint32_t seed)
        : m_world(seed, CellCount, WorkerCount)
        , m_random(seed + 1000)
    {
        for (const auto &it : m_world.cells) {
            m_faults.emplace_back(*it, m_random);
        }
    }

    void run()
    {
        constexpr int EventCount = 120;
        for (int i = 0; i < EventCount; ++i) {
            m_world.run(std::chrono::milliseconds(50 + draw(200)));
            submitRandomJob();
            drawRequestFaults();
            for (CellFaults &it : m_faults) {
                it.inject();
            }
        }
        endRequestFaults();
        for (CellFaults &it : m_faults) {
            it.end(SettledWorkerCount);
        }
        m_world.run(SettleTime);
    }

    /// Violated invariants, and jobs that aren't as they should be at the end.
    std::vector<std::string> findings() const
    {
        std::vector<std::string> all = m_world.allViolations();
        for (int i = 0; i < CellCount; ++i) {
            for (const std::string &id : m_world.cell(i).accepted) {
                checkJob(m_world.cell(i), id, all);
            }
        }
        return all;
    }

    /// Number of runs in guest cells.
    std::size_t countGuestRuns() const
    {
        std::size_t count = 0;
        for (int i = 1; i < CellCount; ++i) {
            for (const auto &[task, runs] : m_world.cell(i).audit.runs) {
                count += m_world.cell(i).accepted.contains(task.job.value()) ? 0 : runs.size();
            }
        }
        return count;
    }

    int lossesDuringOutage() const
    {
        int count = 0;
        for (const CellFaults &it : m_faults) {
            count += it.lossesDuringOutage();
        }
        return count;
    }

private:
    static constexpr int CellCount = 3;
    static constexpr int WorkerCount = 4;
    /// Of each cell at the end, so that any of them has room for all long-running tasks.
    static constexpr int SettledWorkerCount = 8;
    static constexpr std::int64_t MaxLongRunningDemand = 44000;

    /// A random number below \a n.
    int draw(int n) { return std::uniform_int_distribution<int>(0, n - 1)(m_random); }

    void submitRandomJob()
    {
        constexpr int MaxJobs = 60;
        if (m_jobCount >= MaxJobs || draw(2) == 0) {
            return;
        }
        const auto width = static_cast<std::uint32_t>(1 + draw(4));
        const std::int64_t milliCpu = 800 + 100 * draw(18);
        const std::int64_t demand = width * milliCpu;
        const JobId id("j" + std::to_string(m_jobCount++));
        if (m_longRunningDemand + demand <= MaxLongRunningDemand && draw(4) != 0) {
            m_longRunningDemand += demand;
            m_world.cell(0).submit(id, makeLongRunning(width, milliCpu));
            return;
        }
        m_world.cell(draw(CellCount))
            .submit(id, makeChain(static_cast<std::uint32_t>(1 + draw(3)), width));
    }

    void drawRequestFaults()
    {
        if (draw(20) == 0) {
            m_world.lostFraction = 0.3 * draw(3);
            m_world.lateFraction = 0.3 * draw(3);
            m_world.duplicateFraction = 0.3 * draw(3);
        }
    }

    void endRequestFaults()
    {
        m_world.lostFraction = 0.0;
        m_world.lateFraction = 0.0;
        m_world.duplicateFraction = 0.0;
    }

    void checkJob(const CellWorld &home, const std::string &id, std::vector<std::string> &all) const
    {
        const auto state = home.owner->stateOf(JobId(id));
        if (state == JobState::Failed) {
            if (std::ranges::none_of(m_world.cells,
                                     [&id](const auto &it) { return mayHaveFailed(*it, id); })) {
                all.push_back(id + " failed without cause");
            }
            return;
        }
        const StepSpec &step = home.audit.specs.at(id).steps.front();
        if (!step.isLongRunning && !home.isFinished(JobId(id))) {
            all.push_back(id + " isn't finished");
        }
        for (std::uint32_t i = 0; step.isLongRunning && i < step.taskCount; ++i) {
            const std::size_t count = m_world.countRuns({JobId(id), 0, 0, i});
            if (count != 1) {
                all.push_back(id + "." + std::to_string(i) + " runs " + std::to_string(count)
                              + " times");
            }
        }
    }

    FleetWorld m_world;
    std::mt19937 m_random;
    std::vector<CellFaults> m_faults; ///< By cell.
    int m_jobCount = 0;
    std::int64_t m_longRunningDemand = 0;
};

// Guards against a task that runs twice or is lost because the next owner doesn't know the worker
// that runs it, when workers join while the store is slow or loses answers.
TEST(CellJoinFaults, NoScheduleOfFaultsViolatesAnInvariant)
{
    std::size_t runsOnJoined = 0;
    int lossesDuringOutage = 0;
    for (std::uint32_t seed = 1; seed <= CellSeedCount; ++seed) {
        CellSchedule schedule(seed);
        schedule.run();
        EXPECT_EQ(schedule.findings(), std::vector<std::string>{}) << "seed " << seed;
        runsOnJoined += countRunsOnJoined(schedule.world());
        lossesDuringOutage += schedule.faults().lossesDuringOutage();
    }
    // Far below what the schedules cause, but enough that the checks above mean something.
    EXPECT_GT(runsOnJoined, 8000U);
    EXPECT_GT(lossesDuringOutage, 150);
}

// Guards against the same with tasks that a home cell has delegated to guest cells.
TEST(CellJoinFaults, NoScheduleOfFaultsLosesOrDoublesADelegatedTask)
{
    std::size_t guestRuns = 0;
    int lossesDuringOutage = 0;
    for (std::uint32_t seed = 1; seed <= FleetSeedCount; ++seed) {
        FleetSchedule schedule(seed);
        schedule.run();
        EXPECT_EQ(schedule.findings(), std::vector<std::string>{}) << "seed " << seed;
        guestRuns += schedule.countGuestRuns();
        lossesDuringOutage += schedule.lossesDuringOutage();
    }
    EXPECT_GT(guestRuns, 200U);
    EXPECT_GT(lossesDuringOutage, 150);
}

} // namespace
} // namespace firefly
