#include "OwnershipCluster.h"

#include <gtest/gtest.h>

using namespace firefly;
using namespace firefly::test;

namespace {

constexpr int WorkerCount = 8;

class OwnershipFaults : public testing::Test
{
protected:
    void SetUp() override
    {
        cluster.run(20s);
        ASSERT_EQ(cluster.totalServedWorkers(), WorkerCount);
        ASSERT_EQ(cluster.runningTasks(), 2);
        claimsBefore = cluster.acceptedClaims;
    }
    /// Runs until every worker has an owner again, for at most 5 min; returns the time it took.
    Duration runUntilAllServed()
    {
        const TimePoint start = Clock::now();
        while (cluster.totalServedWorkers() < WorkerCount && Clock::now() - start < 5min) {
            cluster.run(250ms);
        }
        return Clock::now() - start;
    }
    void report(const char *name, Duration value)
    {
        RecordProperty(name, std::to_string(value.count() / 1000) + " ms");
        std::cout << name << ": " << value.count() / 1000 << " ms\n";
    }
    Cluster cluster{ClusterOptions{}};
    int claimsBefore = 0;
};

} // namespace

TEST_F(OwnershipFaults, logOutageOfTenMinutesStopsNoWorker)
{
    cluster.setLogUp(false);
    for (int i = 0; i < 600; ++i) {
        cluster.run(1s);
        ASSERT_EQ(cluster.totalServedWorkers(), WorkerCount) << "second " << i;
        ASSERT_EQ(cluster.runningTasks(), 2) << "second " << i;
    }
    cluster.setLogUp(true);
    cluster.run(30s);
    EXPECT_EQ(cluster.acceptedClaims, claimsBefore);
    EXPECT_EQ(cluster.evictions, 0);
}

TEST_F(OwnershipFaults, shardsOfADeadEntryAreClaimedOnlyAfterTheLogOutage)
{
    FakeEntry &dead = cluster.ownerOf(cluster.workers[0]);
    const int lost = cluster.servedWorkers(dead);
    cluster.setLogUp(false);
    cluster.run(10s);
    cluster.kill(dead);
    cluster.setListed(dead, false);
    for (int i = 0; i < 120; ++i) {
        cluster.run(1s);
        ASSERT_EQ(cluster.totalServedWorkers(), WorkerCount - lost) << "second " << i;
    }
    EXPECT_EQ(cluster.acceptedClaims, claimsBefore);
    cluster.setLogUp(true);
    report("takeover after the log is back", runUntilAllServed());
    EXPECT_EQ(cluster.totalServedWorkers(), WorkerCount);
}

TEST_F(OwnershipFaults, withoutFencingADeadEntryStopsAllWorkDuringLogOutageUntilUnlisted)
{
    ClusterOptions options;
    options.times.times.hasWorkerFencing = false;
    Cluster unfenced(options);
    unfenced.run(20s);
    FakeEntry &dead = unfenced.ownerOf(unfenced.workers[0]);
    const int lost = unfenced.servedWorkers(dead);
    unfenced.setLogUp(false);
    unfenced.run(10s);
    unfenced.kill(dead);
    unfenced.run(5s);
    EXPECT_EQ(unfenced.totalServedWorkers(), 0);
    unfenced.setListed(dead, false);
    unfenced.run(10s);
    EXPECT_EQ(unfenced.totalServedWorkers(), WorkerCount - lost);
}

TEST_F(OwnershipFaults, entryDisconnectedFromLogKeepsItsShards)
{
    FakeEntry &entry = cluster.ownerOf(cluster.workers[0]);
    const int served = cluster.servedWorkers(entry);
    cluster.disconnect(entry.info.id.value(), "log");
    for (int i = 0; i < 120; ++i) {
        cluster.run(1s);
        ASSERT_EQ(cluster.servedWorkers(entry), served) << "second " << i;
    }
    EXPECT_EQ(cluster.acceptedClaims, claimsBefore);
}

namespace {

/// Disconnects two of three entries from the log and from the third, which takes their shards over.
void disconnectMajorityFromLog(Cluster &cluster)
{
    cluster.run(20s);
    for (const char *it : {"e0", "e1"}) {
        cluster.disconnect(it, "log");
        cluster.disconnect(it, "e2");
    }
    cluster.run(30s);
}

} // namespace

TEST_F(OwnershipFaults, newOwnerFencesWorkersOfMajorityDisconnectedFromLog)
{
    disconnectMajorityFromLog(cluster);
    for (const FakeWorker &it : cluster.workers) {
        EXPECT_EQ(cluster.entries[2].memory->authority.mayGiveWork(
                      it.info.shard(), it.info.id, cluster.localTime(cluster.entries[2])),
                  it.highestTerm);
    }
}

TEST_F(OwnershipFaults, majorityDisconnectedFromLogViolatesInvariantsWithoutFence)
{
    ClusterOptions options;
    options.times.switches.needsFence = false;
    Cluster unfenced(options);
    EXPECT_THROW(disconnectMajorityFromLog(unfenced), InvariantViolation);
}

TEST_F(OwnershipFaults, isolatedOwnerStopsWhenItsProofExpires)
{
    FakeEntry &entry = cluster.ownerOf(cluster.workers[0]);
    cluster.disconnect(entry.info.id.value(), "log");
    for (const FakeEntry &it : cluster.entries) {
        cluster.disconnect(entry.info.id.value(), it.info.id.value());
    }
    const TimePoint start = Clock::now();
    while (cluster.servedWorkers(entry) > 0) {
        cluster.run(250ms);
        ASSERT_LE(Clock::now() - start, shortTimes().proofDuration + 500ms);
    }
    report("cut-off owner stops after", Clock::now() - start);
    report("further time to takeover", runUntilAllServed());
    EXPECT_EQ(cluster.servedWorkers(entry), 0);
    EXPECT_EQ(cluster.totalServedWorkers(), WorkerCount);
}

TEST_F(OwnershipFaults, resumedOwnerGivesNoWorkAndItsLateMessagesAreRefused)
{
    FakeWorker &worker = cluster.workers[0];
    FakeEntry &entry = cluster.ownerOf(worker);
    const Term oldTerm = worker.highestTerm;
    cluster.pause(entry);
    report("takeover from a paused owner", [&] {
        cluster.run(5s);
        return 5s + runUntilAllServed();
    }());
    EXPECT_FALSE(cluster.mayGiveWork(entry, worker));
    cluster.resume(entry);
    EXPECT_FALSE(cluster.mayGiveWork(entry, worker));
    cluster.run(30s);
    ASSERT_GT(worker.highestTerm, oldTerm);

    StartAttempt late;
    late.term = oldTerm;
    late.job = JobId("late");
    late.leaseNumber = worker.number;
    worker.start(late, Clock::now());
    EXPECT_FALSE(worker.tasks.contains(JobId("late")));
    EXPECT_FALSE(worker.sync(oldTerm, worker.number + 1, Clock::now(), 6s));
}

TEST_F(OwnershipFaults, jobOfAPausedOwnerIsEvictedAfterItsLeaseExpired)
{
    ClusterOptions options;
    options.jobs = 1;
    Cluster single(options);
    single.run(20s);
    FakeWorker &worker = *std::ranges::find_if(
        single.workers, [](const FakeWorker &it) { return !it.tasks.empty(); });
    FakeEntry &holder = single.ownerOf(worker);
    for (const FakeEntry &it : single.entries) {
        if (it.info.id != holder.info.id) {
            single.disconnect(it.info.id.value(), worker.info.id.value());
        }
    }
    single.pause(holder);
    const TimePoint start = Clock::now();
    while (single.evictions == 0 && Clock::now() - start < 2min) {
        single.run(250ms);
    }
    ASSERT_EQ(single.evictions, 1);
    EXPECT_TRUE(worker.tasks.empty());
    EXPECT_GE(Clock::now() - start, shortTimes().expiryAfterClaim());
    report("job of a paused holder is evicted after", Clock::now() - start);
    single.run(5s);
    EXPECT_EQ(single.runningTasks(), 1);
}

TEST_F(OwnershipFaults, drainingEntryHandsOverItsShardsWithoutEvictions)
{
    FakeEntry &entry = cluster.ownerOf(cluster.workers[0]);
    entry.memory->draining = true;
    report("handover of a draining entry", [&] {
        cluster.run(500ms);
        return 500ms + runUntilAllServed();
    }());
    EXPECT_EQ(cluster.servedWorkers(entry), 0);
    EXPECT_EQ(cluster.totalServedWorkers(), WorkerCount);
    EXPECT_EQ(cluster.evictions, 0);
}

TEST_F(OwnershipFaults, workersAreServedAgainAfterAllEntriesRestart)
{
    for (FakeEntry &it : cluster.entries) {
        cluster.kill(it);
        cluster.boot(it);
    }
    EXPECT_EQ(cluster.totalServedWorkers(), 0);
    report("all entries restarted, every worker served after", runUntilAllServed());
    cluster.run(10s);
    EXPECT_EQ(cluster.totalServedWorkers(), WorkerCount);
    EXPECT_EQ(cluster.runningTasks(), 2);
}
