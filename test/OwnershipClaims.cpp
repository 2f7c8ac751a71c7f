#include "OwnershipCluster.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace firefly;
using namespace firefly::test;

namespace {

const EntryId A("a");
const EntryId B("b");
const ShardId Shard("z/r0");

} // namespace

TEST(OwnershipClaims, firstOfTwoRacingClaimsInLogOrderWins)
{
    OwnershipFold fold;
    OwnershipFold other;
    for (OwnershipFold *it : {&fold, &other}) {
        EXPECT_EQ(it->apply(5, ShardClaimed{B, Shard, 0}), FoldResult::Accepted);
        EXPECT_EQ(it->apply(6, ShardClaimed{A, Shard, 0}), FoldResult::Stale);
        EXPECT_EQ(it->ownerOf(Shard), (ShardOwner{B, 5}));
    }
    EXPECT_EQ(fold.save(), other.save());
    OwnershipFold restored;
    restored.load(fold.save());
    EXPECT_EQ(restored.ownerOf(Shard), fold.ownerOf(Shard));
}

TEST(OwnershipClaims, claimAppendedTwiceTakesEffectOnce)
{
    OwnershipFold fold;
    ShardAuthority authority(A, shortTimes());
    const ShardClaimed claim{A, Shard, 0};
    const TimePoint readAt(10s);
    ASSERT_EQ(fold.apply(3, claim), FoldResult::Accepted);
    authority.onClaim({3, claim, true, true}, readAt);
    EXPECT_EQ(fold.apply(4, claim), FoldResult::Stale);

    authority.onTailRead(readAt + 4s, 4, 4);
    EXPECT_FALSE(authority.maySync(Shard, readAt + 4s - 1us));
    EXPECT_EQ(authority.maySync(Shard, readAt + 4s), 3U);
}

TEST(OwnershipClaims, releaseIsAcceptedOnceAndOnlyFromTheCurrentOwner)
{
    OwnershipFold fold;
    fold.apply(1, ShardClaimed{A, Shard, 0});
    EXPECT_EQ(fold.apply(2, ShardReleased{B, Shard, 1}), FoldResult::Stale);
    EXPECT_EQ(fold.apply(3, ShardReleased{A, Shard, 1}), FoldResult::Accepted);
    EXPECT_EQ(fold.apply(4, ShardReleased{A, Shard, 1}), FoldResult::Duplicate);
    EXPECT_FALSE(fold.ownerOf(Shard));
    EXPECT_EQ(fold.apply(5, ShardClaimed{B, Shard, 1}), FoldResult::Accepted);
}

TEST(OwnershipClaims, claimOfAnEarlierIncarnationGivesNoAuthority)
{
    ShardAuthority authority(A, shortTimes());
    authority.onClaim({1, {A, Shard, 0}, false, false}, TimePoint(1s));
    authority.onTailRead(TimePoint(20s), 1, 1);
    EXPECT_FALSE(authority.maySync(Shard, TimePoint(20s)));
}

TEST(OwnershipClaims, tailReadIsNoProofUntilItsRecordsAreApplied)
{
    ShardAuthority authority(A, shortTimes());
    authority.onClaim({1, {A, Shard, 0}, true, false}, TimePoint(1s));
    authority.onTailRead(TimePoint(20s), 2, 1);
    EXPECT_FALSE(authority.maySync(Shard, TimePoint(20s)));
    authority.onTailRead(TimePoint(20s), 2, 2);
    EXPECT_TRUE(authority.maySync(Shard, TimePoint(20s)));
}

TEST(OwnershipClaims, newEntryGetsItsShareAFewShardsAtATime)
{
    ClusterOptions options;
    options.entries = 4;
    options.shards = 24;
    options.workersPerShard = 1;
    Cluster cluster(options);
    cluster.kill(cluster.entries[3]);
    cluster.setListed(cluster.entries[3], false);
    cluster.run(20s);
    ASSERT_EQ(cluster.totalServedWorkers(), 24);

    cluster.boot(cluster.entries[3]);
    cluster.setListed(cluster.entries[3], true);
    int fewest = 24;
    for (int i = 0; i < 120; ++i) {
        cluster.run(500ms);
        fewest = std::min(fewest, cluster.totalServedWorkers());
    }
    EXPECT_GE(cluster.servedWorkers(cluster.entries[3]), 3);
    EXPECT_EQ(cluster.totalServedWorkers(), 24);
    EXPECT_GE(fewest, 24 - 3 * ClaimSettings().maxHandovers);
}
