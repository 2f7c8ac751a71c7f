#include "fakes/CellWorld.h"

#include <gtest/gtest.h>

#include <string>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;

/// Lets the only start of a job be carried out seconds later; returns the worker that it goes to.
std::string startLate(CellWorld &world)
{
    world.keepsOrdersOverRestarts = true;
    for (auto &[id, worker] : world.workers) {
        worker->workTime = 12s;
    }
    world.run(10s);
    world.submit(JobId("a"), makeChain(1, 1));
    while (world.starts == 0) {
        world.lateOrderFraction = world.accepted.contains("a") ? 1.0 : 0.0;
        world.step();
    }
    world.lateOrderFraction = 0.0;
    for (const auto &[id, worker] : world.owner->state().workers) {
        if (!worker->tasks.empty()) {
            return id;
        }
    }
    return {};
}

void restart(CellWorld &world, const std::string &id)
{
    world.workers.at(id)->reboot(world.now);
    world.owner->onWorkerListed(world.workers.at(id)->describe(), world.now);
}

void expectNoViolation(CellWorld &world, std::uint32_t seed)
{
    world.run(40s);
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << "seed " << seed;
    EXPECT_TRUE(world.isFinished(JobId("a"))) << "seed " << seed;
}

// A task ran twice at the same time: its start wasn't answered, the worker was told to stop it and
// restarted under its id.  The task was started elsewhere, then the worker, which had forgotten the
// stop, carried out the first start.
TEST(RestartedWorkerLateStart, ATaskDoesNotRunTwiceAfterTheWorkerHasForgottenItsStop)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 2);
        const std::string id = startLate(world);
        world.run(1300ms);
        restart(world, id);
        expectNoViolation(world, seed);
    }
}

// A task ran twice at the same time as above: the worker restarted again after it had accepted the
// repeated stop, and forgot that one too.
TEST(RestartedWorkerLateStart, ATaskDoesNotRunTwiceAfterASecondRestart)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        for (const Duration gap : {5ms, 20ms, 35ms, 60ms}) {
            CellWorld world(seed, 2);
            const std::string id = startLate(world);
            world.run(1300ms);
            restart(world, id);
            world.run(gap);
            restart(world, id);
            expectNoViolation(world, seed);
        }
    }
}

/// Cuts the worker \a id off until it has restarted behind the cut, after the end of its lease.
void restartBehindCut(CellWorld &world, const std::string &id, bool isOwnerReplaced)
{
    world.run(500ms);
    world.workers.at(id)->isReachable = false;
    world.run(3500ms);
    if (isOwnerReplaced) {
        world.replaceOwner(world.now + 5600ms);
    }
    world.run(2000ms);
    world.workers.at(id)->reboot(world.now);
    world.run(500ms);
    world.workers.at(id)->isReachable = true;
}

// A task ran twice at the same time: its worker had accepted the stop, so that the task was started
// elsewhere, and then restarted while the first start was still under way.
TEST(RestartedWorkerLateStart, ATaskDoesNotRunTwiceAfterTheRestartOfAWorkerThatItHasLeft)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 2);
        const std::string id = startLate(world);
        world.run(2300ms);
        restart(world, id);
        expectNoViolation(world, seed);
    }
}

// A task ran twice at the same time: its worker was cut off and restarted behind the cut.  The
// owner took the lease for the end of all that was ordered there and started the task elsewhere,
// then the worker carried out the first start, whose deadline was far ahead on its new clock.
TEST(RestartedWorkerLateStart, ATaskDoesNotRunTwiceAfterARestartBehindACut)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 2);
        const std::string id = startLate(world);
        restartBehindCut(world, id, false);
        expectNoViolation(world, seed);
    }
}

// The same over a change of owner: the record of the silent worker named the end of its lease, but
// not how much longer the start might take effect.
TEST(RestartedWorkerLateStart, ATaskDoesNotRunTwiceAfterARestartBehindACutOverAChangeOfOwner)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 2);
        const std::string id = startLate(world);
        restartBehindCut(world, id, true);
        expectNoViolation(world, seed);
    }
}

// A task ran twice at the same time: its worker was cut off until the platform had dropped its
// entry and its lease was over.  The owner forgot the worker, which was then listed again after a
// restart and carried out the first start.
TEST(RestartedWorkerLateStart, ATaskDoesNotRunTwiceAfterItsWorkerIsListedAgain)
{
    for (std::uint32_t seed = 1; seed <= 3 * SeedCount; ++seed) {
        CellWorld world(seed, 2);
        const std::string id = startLate(world);
        FakeCellWorker &worker = *world.workers.at(id);
        world.run(300ms);
        worker.isReachable = false;
        world.run(1500ms);
        worker.isRegistered = false;
        world.owner->onWorkerGone(WorkerId(id), world.now);
        while (world.owner->state().workers.contains(id)) {
            world.step();
        }
        worker.isReachable = true;
        worker.isRegistered = true;
        restart(world, id);
        expectNoViolation(world, seed);
    }
}

// A task could run twice at the same time once a worker had restarted so often under one owner that
// no higher fencing token was left to refuse the orders of before.
TEST(RestartedWorkerLateStart, AnOwnerNeedsANewEpochOnceAWorkerHasUsedUpItsTokens)
{
    CellWorld world(1, 2);
    world.run(1s);
    for (Epoch i = 1; i < FencesPerEpoch; ++i) {
        restart(world, "w0");
        world.run(1s);
        EXPECT_FALSE(world.owner->needsNewEpoch()) << i << " restarts";
    }
    restart(world, "w0");
    world.run(1s);
    EXPECT_TRUE(world.owner->needsNewEpoch());
}

// A cell could change its owner again and again if the platform listed a later start of a worker
// than the worker itself reported: each listing used up a fencing token.
TEST(RestartedWorkerLateStart, AStartThatOnlyTheListShowsUsesUpOneToken)
{
    CellWorld world(1, 2);
    world.run(1s);
    WorkerDescription listed = world.workers.at("w0")->describe();
    listed.incarnationStartUnixMs += 1000;
    for (Epoch i = 0; i <= FencesPerEpoch; ++i) {
        world.owner->onWorkerListed(listed, world.now);
        world.run(1s);
    }
    EXPECT_EQ(world.owner->state().workers.at("w0")->fenceRaises, 1U);
    EXPECT_FALSE(world.owner->needsNewEpoch());
}

} // namespace
} // namespace firefly
