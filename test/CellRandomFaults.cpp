#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// Runs one random schedule of faults, drawn from \a seed, while jobs are submitted.  Returns the
/// violated invariants and the accepted jobs that weren't finished.
std::vector<std::string> runFaultSchedule(std::uint32_t seed)
{
    CellWorld world(seed, 5);
    std::mt19937 random(seed + 1000);
    const auto draw = [&random](int n) {
        return std::uniform_int_distribution<int>(0, n - 1)(random);
    };
    world.lateOrderFraction = draw(3) == 0 ? 0.1 : 0.0;
    int jobs = 0;
    for (int i = 0; i < 120; ++i) {
        world.run(std::chrono::milliseconds(50 + draw(200)));
        if (jobs < 25) {
            const auto steps = static_cast<std::uint32_t>(1 + draw(3));
            const auto width = static_cast<std::uint32_t>(1 + draw(4));
            world.submit(JobId("j" + std::to_string(jobs++)), makeChain(steps, width));
        }
        FakeCellWorker &worker = *world.workers.at("w" + std::to_string(draw(5)));
        worker.workTime = std::chrono::milliseconds(100 + draw(2500));
        worker.hasFailingRuns = draw(8) == 0;
        switch (draw(14)) {
        case 0:
            worker.reboot(world.now);
            world.owner->onWorkerListed(worker.describe(), world.now);
            break;
        case 1:
            worker.isReachable = false;
            break;
        case 2:
            world.isStoreDown = !world.isStoreDown;
            break;
        case 3:
            if (!world.isStoreDown) {
                world.replaceOwner(world.now + 9s);
            }
            break;
        default:
            for (auto &[id, it] : world.workers) {
                it->isReachable = it->isReachable || draw(4) == 0;
            }
            break;
        }
    }
    world.lateOrderFraction = 0.0;
    world.isStoreDown = false;
    for (auto &[id, it] : world.workers) {
        it->isReachable = true;
        it->hasFailingRuns = false;
        it->workTime = 300ms;
    }
    world.run(40s);
    std::vector<std::string> findings = world.audit.violations;
    for (const std::string &it : world.accepted) {
        if (!world.isFinished(JobId(it))) {
            findings.push_back("not finished: " + it);
        }
    }
    return findings;
}

TEST(CellRandomFaults, NoScheduleOfFaultsViolatesAnInvariant)
{
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        EXPECT_EQ(runFaultSchedule(seed), std::vector<std::string>{}) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
