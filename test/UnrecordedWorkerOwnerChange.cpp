#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

#include <string>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;

/// Id of the worker that is up in place of \a crashed.
std::string replacementOf(const CellWorld &world, const std::string &crashed)
{
    for (const auto &[id, worker] : world.workers) {
        if (id.starts_with(crashed + ".") && worker->state == FakeCellWorker::State::Up) {
            return id;
        }
    }
    return {};
}

void setWorkTime(CellWorld &world, Duration time)
{
    for (auto &[id, worker] : world.workers) {
        worker->workTime = time;
    }
}

/// Starts \a spec as the job \a id, with w3 out of reach.
void startJob(CellWorld &world, const std::string &id, const JobSpec &spec)
{
    world.workers.at("w3")->isReachable = false;
    world.run(500ms);
    world.submit(JobId(id), spec);
    world.run(500ms);
    EXPECT_TRUE(world.accepted.contains(id));
}

/// While the store takes no records, the worker of the first task of \a job crashes and is back
/// under another id; returns that id.  w0 to w2 are full, so that it alone has room.
std::string joinDuringOutage(CellWorld &world, const std::string &job)
{
    const std::string crashed = *world.audit.runningOn.at({JobId(job), 0, 0, 0}).begin();
    world.isStoreDown = true;
    world.crashWorker(crashed, 500ms);
    world.run(2s);
    return replacementOf(world, crashed);
}

/// Replaces the owner, with w3 reachable again.  The next owner reads the platform's list a short
/// time after the records.
void loseOwner(CellWorld &world, const std::string &joined)
{
    world.workers.at("w3")->isReachable = true;
    world.isStoreDown = false;
    FakeCellWorker &worker = *world.workers.at(joined);
    worker.isRegistered = false;
    world.replaceOwner(world.now + 9s);
    world.run(100ms);
    worker.isRegistered = true;
    world.owner->onWorkerListed(worker.describe(), world.now);
}

void expectNoViolation(CellWorld &world, std::uint32_t seed)
{
    world.run(40s);
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    for (const std::string &it : world.accepted) {
        EXPECT_TRUE(world.isFinished(JobId(it))) << "seed " << seed;
    }
}

// A task ran twice at the same time after its owner was lost: the first run was on a worker whose
// record the store didn't hold yet, so that the next owner didn't ask it.
TEST(UnrecordedWorkerOwnerChange, ATaskDoesNotRunTwiceAfterItsOwnerIsLost)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 4);
        setWorkTime(world, 8s);
        startJob(world, "a", makeChain(1, 24));
        const std::string joined = joinDuringOutage(world, "a");
        loseOwner(world, joined);
        expectNoViolation(world, seed);
    }
}

// A task was started again although its run had ended as done on such a worker.
TEST(UnrecordedWorkerOwnerChange, ATaskIsNotStartedAgainAfterItsRunHasEndedAsDone)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 4);
        setWorkTime(world, 3s);
        startJob(world, "a", makeChain(1, 24));
        const std::string joined = joinDuringOutage(world, "a");
        world.run(3s);
        loseOwner(world, joined);
        expectNoViolation(world, seed);
    }
}

// The same with a gang, whose members all run on such a worker.
TEST(UnrecordedWorkerOwnerChange, AGangDoesNotRunTwiceAfterItsOwnerIsLost)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 4);
        setWorkTime(world, 8s);
        startJob(world, "a", makeChain(1, 16));
        JobSpec gang = makeChain(1, 8);
        gang.steps.front().isGang = true;
        startJob(world, "g", gang);
        const std::string joined = joinDuringOutage(world, "g");
        loseOwner(world, joined);
        expectNoViolation(world, seed);
    }
}

TEST(UnrecordedWorkerOwnerChange, AWorkerTakesTasksOnceItsRecordIsStored)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 4);
        setWorkTime(world, 8s);
        startJob(world, "a", makeChain(1, 24));
        const std::string joined = joinDuringOutage(world, "a");
        EXPECT_TRUE(world.workers.at(joined)->isIdle()) << "seed " << seed;
        world.isStoreDown = false;
        world.run(200ms);
        EXPECT_FALSE(world.workers.at(joined)->isIdle()) << "seed " << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    }
}

} // namespace
} // namespace firefly
