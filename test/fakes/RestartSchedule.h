#pragma once

#include "fakes/LongRunningTasks.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace firefly {

/// What a RestartSchedule contains beside restarts, links that hold orders, and batch jobs.
struct RestartScheduleContents
{
    /// Orders overtake each other: some are late, others are released in a random order.
    bool hasOvertaking = false;
    bool hasOwnerChanges = false;
    bool hasGangs = false;
    bool hasLongRunning = false;
};

/// A random schedule, drawn from a seed: links hold the orders to workers and release them
/// together, and workers restart under their ids near the release, behind a cut or for no reason,
/// while orders of some kinds are late.
class RestartSchedule
{
public:
    RestartSchedule(std::uint32_t seed, const RestartScheduleContents &contents)
        : m_world(seed, WorkerCount)
        , m_random(seed + 1000)
        , m_contents(contents)
    {
        m_world.keepsOrdersOverRestarts = true;
        m_world.areGangsSynchronized = true;
        m_world.listDelay = Ms(300);
        if (m_contents.hasOvertaking) {
            m_world.lateFractions = {drawFraction(), drawFraction(), drawFraction()};
        }
    }

    void run()
    {
        constexpr Duration FaultTime = std::chrono::seconds(25);
        constexpr Duration SettleTime = std::chrono::seconds(45);
        m_world.run(Ms(500));
        if (m_contents.hasLongRunning) {
            m_world.submit(JobId("long"), makeLongRunning(LongRunningTasks, 1000));
        }
        repeat(Ms(300), Ms(1500), [this] { submitBatch(); });
        repeat(Ms(200), Ms(1500), [this] { injectFault(); });
        if (m_contents.hasOwnerChanges) {
            repeat(Ms(3000), Ms(9000), [this] { replaceOwner(); });
        }
        m_world.run(FaultTime);
        m_isSettling = true;
        m_world.lateFractions = {};
        m_world.run(SettleTime);
    }

    /// Violated invariants, and accepted jobs that aren't as they should be at the end.
    std::vector<std::string> findings() const
    {
        std::vector<std::string> all = m_world.audit.violations;
        for (const std::string &id : m_world.accepted) {
            const JobSpec &spec = m_world.audit.specs.at(id);
            if (!spec.steps.front().isLongRunning && !m_world.isFinished(JobId(id))) {
                all.push_back(id + " isn't finished");
            }
        }
        for (std::uint32_t i = 0; i < LongRunningTasks && m_world.accepted.contains("long"); ++i) {
            if (!isRunning(m_world, {JobId("long"), 0, 0, i})
                && m_world.owner->stateOf(JobId("long")) != JobState::Failed) {
                all.push_back("long." + std::to_string(i) + " doesn't run");
            }
        }
        return all;
    }

    int restarts() const { return m_restarts; }

private:
    using Ms = std::chrono::milliseconds;
    static constexpr int WorkerCount = 6;
    static constexpr std::uint32_t LongRunningTasks = 8;

    /// A random number below \a n.
    int draw(int n) { return std::uniform_int_distribution<int>(0, n - 1)(m_random); }
    Duration drawTime(Ms from, Ms to)
    {
        return from + Ms(draw(static_cast<int>((to - from).count()) + 1));
    }
    double drawFraction() { return 0.15 * draw(3); }

    /// Calls \a action again and again until the faults end.
    template <typename Action>
    void repeat(Ms from, Ms to, Action action)
    {
        m_world.after(drawTime(from, to), [this, from, to, action] {
            if (!m_isSettling) {
                action();
                repeat(from, to, action);
            }
        });
    }

    void submitBatch()
    {
        for (auto &[id, it] : m_world.workers) {
            it->workTime = drawTime(Ms(200), Ms(4000));
        }
        const JobId id("batch" + std::to_string(m_jobs++));
        if (m_contents.hasGangs && draw(3) == 0) {
            JobSpec gang = makeChain(1, static_cast<std::uint32_t>(2 + draw(3)));
            gang.steps.front().isGang = true;
            m_world.submit(id, gang);
            return;
        }
        JobSpec spec = makeChain(1, static_cast<std::uint32_t>(6 + draw(30)));
        spec.steps.front().demand.milliCpu = 250;
        m_world.submit(id, spec);
    }

    void injectFault()
    {
        const std::string id = "w" + std::to_string(draw(WorkerCount));
        switch (draw(4)) {
        case 0:
            restart(id);
            break;
        case 1: {
            // A cut that may outlast the lease, with a restart behind it.
            const Duration span = drawTime(Ms(500), Ms(8000));
            m_world.disconnectWorker(id, span);
            m_world.after(span * draw(11) / 10, [this, id] { restart(id); });
            break;
        }
        default:
            hold(id);
            break;
        }
    }

    void hold(const std::string &id)
    {
        m_world.holdOrders(id, draw(2) == 0);
        const Duration span = drawTime(Ms(300), draw(3) == 0 ? Ms(9000) : Ms(3000));
        m_world.after(span, [this, id, isInOrder = !m_contents.hasOvertaking || draw(2) == 0] {
            m_world.releaseOrders(id, isInOrder);
        });
        for (int i = draw(3); i >= 0; --i) {
            const Duration at =
                draw(2) == 0 ? drawTime(Ms(0), Ms(3000)) : span + drawTime(-Ms(60), Ms(60));
            m_world.after(at, [this, id] { restart(id); });
        }
    }

    void restart(const std::string &id)
    {
        ++m_restarts;
        m_world.restartWorker(id, draw(2) == 0 ? Duration{} : drawTime(Ms(5), Ms(1500)));
    }

    /// The owner resigns, or ends without notice.
    void replaceOwner()
    {
        if (draw(2) == 0) {
            m_world.replaceOwner(m_world.now + drawTime(Ms(5600), Ms(6600)));
        } else {
            m_world.loseOwner(drawTime(Ms(500), Ms(3000)));
        }
    }

    CellWorld m_world;
    std::mt19937 m_random;
    RestartScheduleContents m_contents;
    int m_jobs = 0;
    int m_restarts = 0;
    bool m_isSettling = false;
};

/// Expects no finding in the schedules of the seeds from 1 to \a seedCount.
inline void expectNoFinding(std::uint32_t seedCount, const RestartScheduleContents &contents)
{
    int restarts = 0;
    for (std::uint32_t seed = 1; seed <= seedCount; ++seed) {
        RestartSchedule schedule(seed, contents);
        schedule.run();
        EXPECT_EQ(schedule.findings(), std::vector<std::string>{}) << "seed " << seed;
        restarts += schedule.restarts();
    }
    EXPECT_GT(restarts, 0);
}

} // namespace firefly
