#include "fakes/FleetWorld.h"
#include "fakes/MixedJobs.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SeedCount = 20;
/// Of the tests with long simulated times.
constexpr std::uint32_t FewSeeds = 6;
constexpr int WorkerCount = 12;

/// Submits \a spec with a crashing task \a name and one sound long-running task per worker beside
/// it, and runs the world long enough for a verdict.
void runBesideSoundTasks(CellWorld &world, const JobSpec &spec, const TaskName &name)
{
    world.run(1s);
    world.submit(JobId("sound"), makeSpreadLongRunning(WorkerCount, 2000));
    world.run(1s);
    world.crashingTasks.insert(name);
    world.submit(name.job, spec);
    world.run(60s);
    for (std::uint32_t i = 0; i < WorkerCount; ++i) {
        EXPECT_TRUE(isRunning(world, {JobId("sound"), 0, 0, i})) << i;
    }
    EXPECT_EQ(world.owner->stateOf(name.job), JobState::Failed);
    EXPECT_EQ(world.audit.violations, std::vector<std::string>{});
}

// Guards against a task that crashes one worker after another without end.
TEST(CrashingTasks, ATaskThatCrashesItsWorkersIsGivenUpAndSoundJobsFinish)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, WorkerCount);
        MixedJobs jobs(world, true);
        world.run(1s);
        jobs.run(5s);
        world.run(40s);
        expectSoundOutcome(world, jobs, seed);
    }
}

// Guards against crashes that a new owner doesn't know of.
TEST(CrashingTasks, CrashesBeforeAChangeOfOwnerCount)
{
    for (std::uint32_t seed = 1; seed <= FewSeeds; ++seed) {
        CellWorld world(seed, WorkerCount);
        MixedJobs jobs(world, true);
        world.run(1s);
        jobs.run(3s);
        for (int i = 0; i < 2; ++i) {
            world.run(4s + seed * 300ms);
            world.replaceOwner(world.now + 6s);
        }
        world.run(50s);
        expectSoundOutcome(world, jobs, seed);
    }
}

// Guards against workers that are cut off or leave and are taken for crashed ones.
TEST(CrashingTasks, JobsOutliveWorkersThatAreCutOffOrDrained)
{
    for (std::uint32_t seed = 1; seed <= FewSeeds; ++seed) {
        CellWorld world(seed, WorkerCount);
        MixedJobs jobs(world, false);
        world.run(1s);
        for (int round = 0; round < 4; ++round) {
            const std::string cut = "w" + std::to_string(round);
            const std::string drained = "w" + std::to_string(round + 4);
            jobs.run(1s);
            world.workers.at(cut)->isReachable = false;
            world.workers.at(drained)->isDraining = true;
            world.owner->onWorkerListed(world.workers.at(drained)->describe(), world.now);
            world.run(300ms);
            world.crashWorker(drained, 20s);
            world.run(6500ms);
            world.workers.at(cut)->isReachable = true;
        }
        world.run(30s);
        expectSoundOutcome(world, jobs, seed);
        EXPECT_TRUE(std::ranges::none_of(world.decisions, [](const LogDecision &it) {
            return std::string_view(it.message) == "task given up";
        })) << seed;
    }
}

// Guards against tasks that survive their start and crash the worker later.
TEST(CrashingTasks, ATaskThatCrashesItsWorkersLateIsGivenUp)
{
    for (const Duration delay :
         {Duration(400ms), Duration(700ms), Duration(1500ms), Duration(4s)}) {
        CellWorld world(1, WorkerCount);
        world.crashDelay = delay;
        SCOPED_TRACE(std::to_string(delay / 1ms) + " ms");
        for (auto &[id, worker] : world.workers) {
            worker->workTime = 5s;
        }
        runBesideSoundTasks(world, makeChain(1, 3), {JobId("a"), 0, 0, 1});
    }
}

// Guards against crashes that count only once the worker is back.
TEST(CrashingTasks, ATaskWhoseWorkersStayDownIsGivenUp)
{
    CellWorld world(1, WorkerCount + 6);
    world.crashDowntime = 60s;
    runBesideSoundTasks(world, makeChain(1, 3), {JobId("a"), 0, 0, 1});
}

// Guards against members of a gang that are started again with it without end.
TEST(CrashingTasks, AGangWithACrashingMemberIsGivenUp)
{
    CellWorld world(2, WorkerCount);
    JobSpec spec = makeChain(1, 4);
    spec.steps[0].isGang = true;
    runBesideSoundTasks(world, spec, {JobId("a"), 0, 0, 2});
}

// Guards against occurrences of a job whose crashes don't count.
TEST(CrashingTasks, AScheduledJobWithACrashingTaskIsGivenUp)
{
    CellWorld world(3, WorkerCount);
    JobSpec spec = makeChain(1, 3);
    spec.repetitions = 3;
    spec.startAtUnixMs = world.unixMs() + 3000;
    spec.intervalMs = 1000;
    runBesideSoundTasks(world, spec, {JobId("a"), 1, 0, 2});
}

// Guards against long-running tasks that are restarted for ever however they end.
TEST(CrashingTasks, ALongRunningTaskThatCrashesItsWorkersIsGivenUp)
{
    CellWorld world(4, WorkerCount);
    runBesideSoundTasks(world, makeLongRunning(3, 1000), {JobId("a"), 0, 0, 1});
}

// Guards against delegated tasks that crash the guest's workers without end, or that their home
// waits for.
TEST(CrashingTasks, ADelegatedTaskThatCrashesItsWorkersFailsItsJobAtHome)
{
    constexpr int Home = 0;
    constexpr int Guest = 1;
    for (std::uint32_t seed = 1; seed <= FewSeeds; ++seed) {
        FleetWorld world(seed, 2, 4);
        world.run(500ms);
        world.cell(Home).submit(JobId("full"), makeSpreadLongRunning(4, 7000));
        world.run(1s);
        world.cell(Guest).crashingTasks.insert({JobId("a"), 0, 0, 0});
        world.cell(Home).submit(JobId("a"), makeLongRunning(1, 7000));
        world.run(40s);
        const CellWorld &guest = world.cell(Guest);
        EXPECT_GE(guest.crashCount, 2) << seed;
        EXPECT_EQ(world.cell(Home).owner->stateOf(JobId("a")), JobState::Failed) << seed;
        EXPECT_EQ(world.allViolations(), std::vector<std::string>{}) << seed;
    }
}

/// Lets only the worker \a id take tasks; all if it is empty.
void acceptOnlyOn(CellWorld &world, const std::string &id)
{
    for (const auto &[name, worker] : world.workers) {
        WorkerDescription info = worker->describe();
        info.isDraining = !id.empty() && name != id;
        info.remaining = 100s;
        world.owner->onWorkerListed(info, world.now);
    }
}

// Guards against one crash that counts as that of two workers, and so as none of its task: the runs
// of a silent worker that are confirmed are lost with its lease, those that aren't later.
TEST(CrashingTasks, ACrashOfAWorkerThatStaysListedCounts)
{
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        CellWorld world(seed, 4);
        for (const auto &[id, worker] : world.workers) {
            worker->workTime = 60s;
        }
        world.run(2s);
        acceptOnlyOn(world, "w1");
        world.submit(JobId("elsewhere"), makeChain(1, 1));
        world.run(2s);
        acceptOnlyOn(world, "w0");
        world.submit(JobId("beside"), makeChain(1, 1));
        world.run(2s);
        world.lateOrderFraction = 1.0;
        world.submit(JobId("suspect"), makeChain(1, 1));
        for (const auto before = world.starts; world.starts == before;) {
            world.step();
        }
        world.lateOrderFraction = 0.0;
        acceptOnlyOn(world, {});
        world.workers.at("w0")->isReachable = false;
        world.workers.at("w1")->isReachable = false;
        world.run(14s);
        FakeCellWorker &worker = *world.workers.at("w0");
        worker.reboot(world.now);
        worker.isReachable = true;
        world.owner->onWorkerListed(worker.describe(), world.now);
        world.run(1s);
        const CellJob &job = *world.owner->state().jobs.at("suspect");
        // It counts as a late one once the next run has survived its start.
        const CrashHistory &crashes = job.occurrences[0].steps[0].tasks[0].crashes;
        EXPECT_EQ(crashes.early + crashes.late, 1U) << seed;
        EXPECT_EQ(world.audit.violations, std::vector<std::string>{}) << seed;
    }
}

// Guards against crashes that are forgotten when a task goes to another cell, or that an earlier
// version can't read.
TEST(CrashingTasks, RecordsKeepTheCrashesOfATask)
{
    TaskProgress task;
    task.index = 1;
    task.crashes = {2, 1, 3, 1};
    JobProgress progress;
    progress.tasks = {TaskProgress{}, task};
    const JobProgress restored = JobRecords::decodeProgress(JobRecords::encodeProgress(progress));
    EXPECT_EQ(restored.tasks.at(0).crashes, CrashHistory{});
    EXPECT_EQ(restored.tasks.at(1).crashes, task.crashes);

    task.guest = 1;
    const TaskDelegation delegation{0, makeChain(1, 2), {task}};
    const std::string record = JobRecords::encodeDelegation(delegation);
    EXPECT_EQ(JobRecords::decodeDelegation(record).tasks.at(0).crashes, task.crashes);
}

} // namespace
} // namespace firefly
