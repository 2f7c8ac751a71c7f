#include "Cell/PlacementRules.h"
#include "fakes/CellWorld.h"
#include "fakes/LongRunningTasks.h"
#include "fakes/SingleTaskJobs.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 5;
constexpr int WorkerCount = 250; ///< Enough for several ticks between two placement passes.
constexpr std::uint32_t TasksPerJob = 10;
constexpr std::int64_t Demand = 5000; ///< Fits a worker only alone.

std::string jobId(int i)
{
    return "job" + std::to_string(i);
}

/// True if the owner knows of free capacity that a displaced task could use.
bool hasStandingCapacity(const CellWorld &cell)
{
    const CellState &state = cell.owner->state();
    return std::ranges::any_of(state.jobs, [&](const auto &entry) {
        CellJob &job = *entry.second;
        if (isFinal(job.state) || job.occurrences.empty()) {
            return false;
        }
        const std::uint32_t count = job.spec.steps.front().taskCount;
        for (std::uint32_t i = 0; i < count; ++i) {
            const TaskRef ref{&job, 0, 0, i};
            if (ref.task().state != TaskState::Pending || !ref.hasRunBefore()
                || ref.task().notBefore > cell.now) {
                continue;
            }
            const bool fits = std::ranges::any_of(state.workers, [&](const auto &it) {
                ResourceVector available = it.second->freeRoom();
                available.subtract(it.second->held);
                return !PlacementRules::findObstacle(*it.second, available, 0, ref, cell.now);
            });
            if (fits) {
                return true;
            }
        }
        return false;
    });
}

// Guards against capacity of ended tasks that stands until the next placement pass beside displaced
// tasks that it fits.
TEST(FreedCapacity, ADisplacedTaskStartsWithTheReportThatListsTheEnd)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld cell(seed, WorkerCount);
        cell.run(500ms);
        for (int i = 0; i < WorkerCount / static_cast<int>(TasksPerJob); ++i) {
            cell.submit(JobId(jobId(i)), makeLongRunning(TasksPerJob, Demand));
        }
        cell.run(3s);
        for (int i = 0; i < 20; ++i) {
            drain(cell, "w" + std::to_string(i));
        }
        cell.run(2s);
        int standing = 0;
        for (int i = 0; i < 4; ++i) {
            cancel(cell, jobId(i));
            const TimePoint end = cell.now + 500ms;
            while (cell.now < end) {
                cell.step();
                standing += hasStandingCapacity(cell) ? 1 : 0;
            }
        }
        EXPECT_EQ(standing, 0) << "ticks, seed " << seed;
    }
}

} // namespace
} // namespace firefly
