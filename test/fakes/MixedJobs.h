#pragma once

#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace firefly {

/// Jobs of two steps with six tasks that arrive every 100 ms; one in ten has a task that crashes
/// its workers, if \a hasCrashingTasks.
class MixedJobs
{
public:
    MixedJobs(CellWorld &world, bool hasCrashingTasks)
        : m_world(world)
        , m_hasCrashingTasks(hasCrashingTasks)
    {
        for (auto &[id, worker] : world.workers) {
            worker->workTime = std::chrono::seconds(1);
        }
    }

    void run(Duration span)
    {
        for (const TimePoint end = m_world.now + span; m_world.now < end;) {
            const std::string id = "job" + std::to_string(m_count);
            if (m_hasCrashingTasks && m_count % 10 == 4) {
                m_crashing.push_back({JobId(id), 0, static_cast<std::uint32_t>(m_count / 10 % 2),
                                      static_cast<std::uint32_t>(m_count / 10 % 6)});
                m_world.crashingTasks.insert(m_crashing.back());
            } else {
                m_sound.emplace_back(id);
            }
            JobSpec spec = makeChain(2, 6);
            spec.steps[1].demand.milliCpu = 500;
            m_world.submit(JobId(id), spec);
            ++m_count;
            m_world.run(std::chrono::milliseconds(100));
        }
    }

    std::vector<std::string> unfinishedSoundJobs() const
    {
        std::vector<std::string> ids;
        for (const JobId &it : m_sound) {
            if (m_world.owner->stateOf(it) != JobState::Completed) {
                ids.push_back(it.value());
            }
        }
        return ids;
    }

    /// Jobs with a crashing task that aren't shown as failed.
    std::vector<std::string> unfailedCrashingJobs() const
    {
        std::vector<std::string> ids;
        for (const TaskName &it : m_crashing) {
            if (m_world.owner->stateOf(it.job) != JobState::Failed) {
                ids.push_back(it.job.value());
            }
        }
        return ids;
    }

private:
    CellWorld &m_world;
    bool m_hasCrashingTasks;
    int m_count = 0;
    std::vector<JobId> m_sound;
    std::vector<TaskName> m_crashing;
};

/// Expects that \a jobs ended as they should, within the platform's limits.
inline void expectSoundOutcome(const CellWorld &world, const MixedJobs &jobs, std::uint32_t seed)
{
    EXPECT_EQ(jobs.unfailedCrashingJobs(), std::vector<std::string>{}) << seed;
    EXPECT_EQ(jobs.unfinishedSoundJobs(), std::vector<std::string>{}) << seed;
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << seed;
}

} // namespace firefly
