#include "OwnershipCluster.h"

#include <gtest/gtest.h>

using namespace firefly;
using namespace firefly::test;

namespace {

const ShardId Shard("z/r0");
const WorkerId Worker("w0");

/// Worst case for the claimant's wait: the owner's last proof dates from the moment at which the
/// claimant reads its claim, and each later sync of the owner arrives just before the lease
/// expires.
struct WorstCase
{
    explicit WorstCase(const UncheckedTimes &times)
        : owner(EntryId("a"), times)
        , claimant(EntryId("b"), times)
        , settings(times.times)
    {
        owner.setWorkers(Shard, std::span(&Worker, 1));
        claimant.setWorkers(Shard, std::span(&Worker, 1));
    }

    /// Time from when the claimant may place the job again until the worker's task stops; negative
    /// when the task stops first.  The owner gets its last answer \a answeredAfter its proof.
    Duration overlap(Duration answeredAfter)
    {
        const TimePoint proof(100s);
        owner.onClaim({1, {EntryId("a"), Shard, 0}, true, false}, proof - 30s);
        owner.onTailRead(proof, 1, 1);
        PeerTable peers(EntryId("b"), shortMembership());
        const EntryInfo self{EntryId("b")};
        for (TimePoint it = proof - 30s; it <= proof; it += 1s) {
            peers.onVmList({{}, {self}}, it);
        }
        claimant.updateFromPeers(peers, proof);
        claimant.onClaim({2, {EntryId("b"), Shard, 1}, true, true}, proof);

        FakeWorker worker;
        deliver(owner.beginDueSyncs(proof + answeredAfter), worker, proof + answeredAfter, true);
        worker.tasks.insert(JobId("j"));
        for (TimePoint now = proof + answeredAfter; now < proof + 60s; now += 100ms) {
            for (const DueSync &it : owner.beginDueSyncs(now)) {
                const TimePoint latest = std::max(now, worker.leaseExpiresAt - 1ms);
                deliver({it}, worker, latest, false);
            }
        }
        return worker.leaseExpiresAt - *claimant.lostWorkerExpiresAt(Shard, Worker);
    }

    void deliver(const std::vector<DueSync> &syncs, FakeWorker &worker, TimePoint at, bool answer)
    {
        for (const DueSync &it : syncs) {
            const bool accepted = worker.sync(it.term, it.number, at, settings.lease);
            if (answer) {
                owner.onSyncReply(it, {accepted, worker.highestTerm, worker.bootName()}, at);
            }
        }
    }

    ShardAuthority owner;
    ShardAuthority claimant;
    OwnershipTimes settings;
};

Duration worstOverlap(const UncheckedTimes &times)
{
    Duration worst = Duration::min();
    for (Duration it = 0ms; it < 3s; it += 100ms) {
        worst = std::max(worst, WorstCase(times).overlap(it));
    }
    return worst;
}

} // namespace

TEST(OwnershipLeases, taskWithLateRenewalsStopsBeforeItsJobIsPlacedAgain)
{
    EXPECT_LT(worstOverlap({shortTimes(), {}}), Duration::zero());
}

TEST(OwnershipLeases, taskOutlivesAWaitOfOneLease)
{
    SafetySwitches switches;
    switches.awaitsTwoLeases = false;
    EXPECT_GT(worstOverlap({shortTimes(), switches}), Duration::zero());
}

TEST(OwnershipLeases, taskOutlivesTheWaitWithSeveralRenewalsInFlight)
{
    SafetySwitches switches;
    switches.singleRenewal = false;
    EXPECT_GT(worstOverlap({shortTimes(), switches}), Duration::zero());
}

TEST(OwnershipLeases, taskOutlivesTheWaitWithoutHoldOff)
{
    OwnershipTimes times = shortTimes();
    times.holdOff = Duration::zero();
    EXPECT_GT(worstOverlap({times, {}}), Duration::zero());
}

TEST(OwnershipLeases, taskIsRenewedForeverWithoutProof)
{
    SafetySwitches switches;
    switches.needsProof = false;
    switches.singleRenewal = false;
    EXPECT_GT(worstOverlap({shortTimes(), switches}), 60s);
}

TEST(OwnershipLeases, restartedWorkerRefusesALateStartByItsBoot)
{
    for (const bool checksBoot : {true, false}) {
        FakeWorker worker;
        worker.checksBoot = checksBoot;
        ShardAuthority owner(EntryId("a"), shortTimes());
        owner.setWorkers(Shard, std::span(&Worker, 1));
        owner.onClaim({1, {EntryId("a"), Shard, 0}, true, false}, TimePoint(1s));
        owner.onTailRead(TimePoint(1s), 1, 1);
        const DueSync sync = owner.beginDueSyncs(TimePoint(1s)).at(0);
        ASSERT_TRUE(worker.sync(sync.term, sync.number, TimePoint(1s), 6s));
        owner.onSyncReply(sync, {true, sync.term, worker.bootName()}, TimePoint(1s));

        StartAttempt start;
        start.term = sync.term;
        start.leaseNumber = owner.lease(Shard, Worker).number;
        start.boot = owner.lease(Shard, Worker).boot;
        worker.reset();
        worker.sync(sync.term, sync.number, TimePoint(2s), 6s);
        worker.start(start, TimePoint(2s));
        EXPECT_EQ(worker.tasks.empty(), checksBoot);
    }
}

TEST(OwnershipLeases, repeatedAnswersAndUnknownNumbersAreIgnored)
{
    LeaseRenewal renewal;
    const OwnershipTimes times = shortTimes();
    const TimePoint now(10s);
    ASSERT_EQ(renewal.nextNumber(now, times), 1U);
    EXPECT_FALSE(renewal.nextNumber(now + 500ms, times));
    renewal.onFailure(1);
    EXPECT_EQ(renewal.nextNumber(now + 1s, times), 1U);
    EXPECT_FALSE(renewal.onAnswer(2, now + 1s));
    EXPECT_TRUE(renewal.onAnswer(1, now + 1s));
    EXPECT_FALSE(renewal.onAnswer(1, now + 1s));
    EXPECT_EQ(renewal.nextNumber(now + 3s, times), 2U);
}

TEST(OwnershipLeases, unsafeTimesAreRejectedWithAllViolations)
{
    OwnershipTimes times = shortTimes();
    times.holdOff = times.proofDuration + times.drift;
    times.lease = 1s;
    try {
        const ShardAuthority authority(EntryId("a"), times);
        FAIL() << "OwnershipTimesError expected";
    } catch (const OwnershipTimesError &e) {
        EXPECT_NE(std::string(e.what()).find("holdOff must"), std::string::npos);
        EXPECT_NE(std::string(e.what()).find("lease must"), std::string::npos);
    }
}
