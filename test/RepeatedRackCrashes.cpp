#include "fakes/MixedJobs.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr int WorkerCount = 12;

// Guards against sound jobs that are given up because their workers crash with many others.
TEST(RepeatedRackCrashes, JobsOutliveRepeatedCrashesOfManyWorkers)
{
    for (const std::uint32_t seed : {1U, 2U, 3U, 53U, 123U, 425U}) {
        CellWorld world(seed, WorkerCount);
        MixedJobs jobs(world, false);
        world.run(1s);
        for (int round = 0; round < 6; ++round) {
            jobs.run(2s);
            std::vector<std::string> up;
            for (const auto &[id, worker] : world.workers) {
                if (worker->state == FakeCellWorker::State::Up) {
                    up.push_back(id);
                }
            }
            std::ranges::shuffle(up, world.random);
            up.resize(std::min<std::size_t>(up.size(), WorkerCount / 3));
            for (const std::string &it : up) {
                world.crashWorker(it, world.crashDowntime);
            }
            world.run(2s);
        }
        world.run(40s);
        expectSoundOutcome(world, jobs, seed);
    }
}

} // namespace
} // namespace firefly
