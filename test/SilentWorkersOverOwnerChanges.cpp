#include "fakes/OwnerChangeSchedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 60;

/// Workers crash, fall silent, restart and drain, and the store fails, while owners follow each
/// other.
class SilenceSchedule : public OwnerChangeSchedule
{
public:
    explicit SilenceSchedule(std::uint32_t seed)
        : OwnerChangeSchedule(seed)
    {
        m_world.hasAppendPauses = true;
        m_world.lateOrderFraction = draw(3) == 0 ? 0.1 : 0.0;
        m_world.keepsOrdersOverRestarts = draw(2) == 0;
    }

    void run()
    {
        constexpr Duration FaultTime = 30s;
        constexpr Duration SettleTime = 40s;
        m_world.run(500ms);
        submitLongRunning();
        m_world.run(1s);
        scheduleBatch();
        scheduleWorkerFault();
        scheduleStoreFault();
        scheduleOwnerChange();
        m_world.run(FaultTime);
        endFaults();
        m_world.run(SettleTime);
    }

    /// Violated invariants, and accepted jobs that aren't as they should be at the end.
    std::vector<std::string> findings() const
    {
        std::vector<std::string> all = m_world.audit.violations;
        for (const std::string &id : m_world.accepted) {
            const bool isFailed = m_world.owner->stateOf(JobId(id)) == JobState::Failed;
            const StepSpec &step = m_world.audit.specs.at(id).steps.front();
            if (isFailed && !mayHaveFailed(id)) {
                all.push_back(id + " failed without cause");
            }
            if (!step.isLongRunning && !m_world.isFinished(JobId(id))) {
                all.push_back(id + " isn't finished");
            }
            for (std::uint32_t i = 0; step.isLongRunning && !isFailed && i < step.taskCount; ++i) {
                if (!isRunning(m_world, {JobId(id), 0, 0, i})) {
                    all.push_back(id + "." + std::to_string(i) + " doesn't run");
                }
            }
        }
        return all;
    }

    int silences() const { return m_silences; }

private:
    /// Below this, no worker leaves for good.
    static constexpr int MinWorkers = 8;

    /// True if the job \a id has lost as many runs to its workers as make an owner give it up.
    bool mayHaveFailed(const std::string &id) const
    {
        constexpr int MaxLostRuns = 2;
        return std::ranges::any_of(m_world.audit.lostRuns, [&id](const auto &it) {
            return it.first.job.value() == id && it.second >= MaxLostRuns;
        });
    }

    void scheduleBatch()
    {
        m_world.after(drawTime(200ms, 800ms), [this] {
            if (!m_isSettling) {
                submitBatch();
                scheduleBatch();
            }
        });
    }

    void scheduleWorkerFault()
    {
        m_world.after(drawTime(100ms, 1200ms), [this] {
            if (!m_isSettling) {
                injectWorkerFault();
                scheduleWorkerFault();
            }
        });
    }

    void injectWorkerFault()
    {
        const int upCount = static_cast<int>(stayingWorkers().size());
        if (upCount < MinWorkers) {
            m_world.joinWorker(drawTime(0ms, 800ms));
            return;
        }
        const std::string id = drawWorker();
        switch (draw(6)) {
        case 0:
            ++m_silences;
            m_world.areCrashesDark = draw(2) == 0;
            m_world.crashWorker(id, drawTime(200ms, 8000ms));
            break;
        case 1:
            ++m_silences;
            m_world.workers.at(id)->isReachable = false;
            m_world.removeWorker(id);
            break;
        case 2:
            ++m_silences;
            m_world.disconnectWorker(id, drawTime(1000ms, 8000ms));
            break;
        case 3:
            m_world.restartWorker(id);
            break;
        case 4:
            m_world.drainWorker(id, drawTime(500ms, 4000ms));
            break;
        default:
            m_world.pauseWorker(id, drawTime(500ms, 4000ms));
            break;
        }
    }

    void scheduleStoreFault()
    {
        m_world.after(drawTime(1000ms, 6000ms), [this] {
            if (m_isSettling) {
                return;
            }
            beginStoreFault();
            m_world.after(drawTime(500ms, 3000ms), [this] {
                endStoreFault();
                scheduleStoreFault();
            });
        });
    }

    void beginStoreFault()
    {
        const double fraction = 0.25 * (1 + draw(3));
        switch (draw(4)) {
        case 0:
            m_world.isStoreDown = true;
            break;
        case 1:
            m_world.storeFaults.lostAnswerFraction = fraction;
            break;
        case 2:
            m_world.storeFaults.lateFraction = fraction;
            break;
        default:
            m_world.storeFaults.lostAnswerFraction = fraction / 2;
            m_world.storeFaults.lateFraction = fraction / 2;
            break;
        }
    }

    void endStoreFault()
    {
        m_world.isStoreDown = false;
        m_world.storeFaults = {};
    }

    void scheduleOwnerChange()
    {
        m_world.after(drawTime(300ms, 4000ms), [this] {
            if (!m_isSettling) {
                changeOwner();
                scheduleOwnerChange();
            }
        });
    }

    void changeOwner()
    {
        // A claim needs the store; loseOwner() waits for it.
        const bool canClaim = !m_world.isStoreDown && !m_world.isOwnerLost;
        m_world.listDelay = drawTime(0ms, 2500ms);
        if (canClaim && draw(3) != 0) {
            replaceOwner(draw(2) == 0);
        } else if (!m_world.isOwnerLost) {
            ++m_ownerChanges;
            m_world.loseOwner(drawTime(300ms, 3000ms));
        }
    }

    void endFaults()
    {
        m_isSettling = true;
        endStoreFault();
        m_world.lateOrderFraction = 0.0;
        m_world.listDelay = 500ms;
        for (auto &[id, it] : m_world.workers) {
            it->workTime = 300ms;
        }
        for (int i = static_cast<int>(stayingWorkers().size()); i < WorkerCount; ++i) {
            m_world.joinWorker(200ms);
        }
    }

    bool m_isSettling = false;
    int m_silences = 0;
};

// Guards against a task that runs twice or is lost because an owner in a series judges by stored
// limits what a silent worker may still run.
TEST(SilentWorkersOverOwnerChanges, NoScheduleOfFaultsViolatesAnInvariant)
{
    int silences = 0;
    int ownerChanges = 0;
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        SilenceSchedule schedule(seed);
        schedule.run();
        EXPECT_EQ(schedule.findings(), std::vector<std::string>{}) << "seed " << seed;
        silences += schedule.silences();
        ownerChanges += schedule.ownerChanges();
    }
    // Below what the schedules cause, but enough that the checks above mean something.
    EXPECT_GT(silences, 800);
    EXPECT_GT(ownerChanges, 500);
}

} // namespace
} // namespace firefly
