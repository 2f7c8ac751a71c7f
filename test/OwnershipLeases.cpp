#include "OwnershipCluster.h"

#include <gtest/gtest.h>

using namespace firefly;
using namespace firefly::test;

namespace {

const ShardId Shard("z/r0");
const WorkerId Worker("w0");

/// An owner whose last proof holds from the moment the next claimant reads its claim, and a network
/// that delivers each of its later syncs just before the worker's lease lapses.
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

    /// How long the worker's task outlives the moment at which the claimant places its job again;
    /// negative when all is well.  The owner's last answer comes \a answeredAfter its proof.
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
        claimant.onWitnesses(peers, proof);
        claimant.onClaim({2, {EntryId("b"), Shard, 1}, true, true}, proof);

        FakeWorker worker;
        deliver(owner.takeDueSyncs(proof + answeredAfter), worker, proof + answeredAfter, true);
        worker.tasks.insert(JobId("j"));
        for (TimePoint now = proof + answeredAfter; now < proof + 60s; now += 100ms) {
            for (const SyncDue &it : owner.takeDueSyncs(now)) {
                const TimePoint latest = std::max(now, worker.leaseEnds - 1ms);
                deliver({it}, worker, latest, false);
            }
        }
        return worker.leaseEnds - *claimant.lostWorkerStopsAt(Shard, Worker);
    }

    void deliver(const std::vector<SyncDue> &syncs, FakeWorker &worker, TimePoint at, bool answer)
    {
        for (const SyncDue &it : syncs) {
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

TEST(OwnershipLeases, lateRenewalsEndBeforeTheJobIsPlacedAgain)
{
    EXPECT_LT(worstOverlap({shortTimes(), {}}), Duration::zero());
}

TEST(OwnershipLeases, oneLeaseIsNotEnough)
{
    SafetySwitches switches;
    switches.secondLease = false;
    EXPECT_GT(worstOverlap({shortTimes(), switches}), Duration::zero());
}

TEST(OwnershipLeases, chainedRenewalsOutliveEveryFixedWait)
{
    SafetySwitches switches;
    switches.singleRenewal = false;
    EXPECT_GT(worstOverlap({shortTimes(), switches}), Duration::zero());
}

TEST(OwnershipLeases, withoutHoldOffTheProofOutlivesTheWait)
{
    OwnershipTimes times = shortTimes();
    times.holdOff = Duration::zero();
    EXPECT_GT(worstOverlap({times, {}}), Duration::zero());
}

TEST(OwnershipLeases, withoutProofRenewalsNeverEnd)
{
    SafetySwitches switches;
    switches.needsProof = false;
    switches.singleRenewal = false;
    EXPECT_GT(worstOverlap({shortTimes(), switches}), 60s);
}

TEST(OwnershipLeases, lateStartIsRefusedByARestartedWorker)
{
    for (const bool checksBoot : {true, false}) {
        FakeWorker worker;
        worker.checksBoot = checksBoot;
        ShardAuthority owner(EntryId("a"), shortTimes());
        owner.setWorkers(Shard, std::span(&Worker, 1));
        owner.onClaim({1, {EntryId("a"), Shard, 0}, true, false}, TimePoint(1s));
        owner.onTailRead(TimePoint(1s), 1, 1);
        const SyncDue sync = owner.takeDueSyncs(TimePoint(1s)).at(0);
        ASSERT_TRUE(worker.sync(sync.term, sync.number, TimePoint(1s), 6s));
        owner.onSyncReply(sync, {true, sync.term, worker.bootName()}, TimePoint(1s));

        StartTask start;
        start.term = sync.term;
        start.leaseNumber = owner.lease(Shard, Worker).number;
        start.boot = owner.lease(Shard, Worker).boot;
        worker.reset();
        worker.sync(sync.term, sync.number, TimePoint(2s), 6s);
        worker.start(start, TimePoint(2s));
        EXPECT_EQ(worker.tasks.empty(), checksBoot);
    }
}

TEST(OwnershipLeases, repeatedAndForeignAnswersAreIgnored)
{
    LeaseRenewal renewal;
    const OwnershipTimes times = shortTimes();
    const TimePoint now(10s);
    ASSERT_EQ(renewal.next(now, times), 1U);
    EXPECT_FALSE(renewal.next(now + 500ms, times));
    renewal.onFailure(1);
    EXPECT_EQ(renewal.next(now + 1s, times), 1U);
    EXPECT_FALSE(renewal.onAnswer(2, now + 1s));
    EXPECT_TRUE(renewal.onAnswer(1, now + 1s));
    EXPECT_FALSE(renewal.onAnswer(1, now + 1s));
    EXPECT_EQ(renewal.next(now + 3s, times), 2U);
}

TEST(OwnershipLeases, timesThatAreNotSafeAreRefusedTogether)
{
    OwnershipTimes times = shortTimes();
    times.holdOff = times.proofDuration + times.drift;
    times.lease = 1s;
    try {
        const ShardAuthority authority(EntryId("a"), times);
        FAIL() << "must refuse";
    } catch (const OwnershipTimesError &e) {
        EXPECT_NE(std::string(e.what()).find("holdOff must"), std::string::npos);
        EXPECT_NE(std::string(e.what()).find("lease must"), std::string::npos);
    }
}
