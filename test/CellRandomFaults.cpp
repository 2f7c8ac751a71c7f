#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

struct ScheduleOptions
{
    int failureOdds = 8; ///< One in so many workers fails the runs that start there.
    std::uint32_t maxAttempts = 4;
    bool losesOwners = false; ///< Owners are lost without notice, also while the store is down.
};

/// Runs one random schedule of faults, drawn from \a seed, while jobs are submitted.  Returns the
/// violated invariants and the accepted jobs that weren't finished.
std::vector<std::string> runFaultSchedule(std::uint32_t seed, const ScheduleOptions &options = {})
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
            JobSpec spec = makeChain(steps, width);
            spec.policy.maxAttempts = options.maxAttempts;
            world.submit(JobId("j" + std::to_string(jobs++)), spec);
        }
        FakeCellWorker &worker = *world.workers.at("w" + std::to_string(draw(5)));
        worker.workTime = std::chrono::milliseconds(100 + draw(2500));
        worker.hasFailingRuns = draw(options.failureOdds) == 0;
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
            if (options.losesOwners) {
                world.loseOwner(std::chrono::milliseconds(100 + draw(500)));
                const bool endsOutage = draw(2) == 0;
                world.isStoreDown = world.isStoreDown && !endsOutage;
            } else if (!world.isStoreDown) {
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

// Guards against starts beyond the attempts of tasks that fail beside changes of owner, outages of
// the store and silent workers, also by the seeds that have shown them.
TEST(CellRandomFaults, NoTaskStartsAfterItsLastAttemptHasFailed)
{
    constexpr std::uint32_t SeedCount = 100;
    std::vector<std::uint32_t> seeds{527,  1782, 2940, 3128, 3259, 3419,
                                     3730, 4283, 4331, 5374, 5755};
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        seeds.push_back(seed);
    }
    const ScheduleOptions options{.failureOdds = 2, .maxAttempts = 3, .losesOwners = true};
    for (const std::uint32_t it : seeds) {
        EXPECT_EQ(runFaultSchedule(it, options), std::vector<std::string>{}) << "seed " << it;
    }
}

} // namespace
} // namespace firefly
