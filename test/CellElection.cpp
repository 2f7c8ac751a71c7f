#include "CellLease/CellElection.h"

#include "CellLease/ClaimRecord.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

CellElection makeElection(const std::string &node)
{
    CellElection::Options options;
    options.holder = node + ".1";
    options.node = node;
    return CellElection(options);
}

/// Appends the next claim of \a election at \a end and lets the election read it.
bool claimOnce(CellElection &election, TimePoint now, std::uint64_t &end)
{
    const auto append = election.next(now);
    if (!append || append->position != end) {
        return false;
    }
    ++end;
    election.onAppended(end, now);
    election.onClaim(append->claim, now);
    election.onRead(end, now);
    return true;
}

TEST(CellElection, TheFirstCandidateClaimsAnEmptyTopicOnce)
{
    CellElection election = makeElection("a");
    const TimePoint now{10s};
    std::uint64_t end = 0;
    EXPECT_FALSE(election.next(now).has_value()) << "the topic has not been read yet";
    election.onRead(end, now);
    ASSERT_TRUE(claimOnce(election, now, end));
    EXPECT_TRUE(election.isOwner());
    EXPECT_EQ(election.epoch(), 1U);
    EXPECT_FALSE(election.next(now + 100ms).has_value()) << "no renewal is due";
}

TEST(CellElection, AnAppendedClaimIsReadBeforeTheNextClaim)
{
    CellElection election = makeElection("a");
    const TimePoint now{10s};
    election.onRead(0, now);
    ASSERT_TRUE(election.next(now).has_value());
    election.onAppended(1, now);
    EXPECT_FALSE(election.next(now + 10ms).has_value());
}

TEST(CellElection, AnOwnerWithoutRenewalsIsReplacedAndItsOrdersExpireFirst)
{
    CellElection owner = makeElection("a");
    CellElection other = makeElection("b");
    TimePoint now{10s};
    std::uint64_t end = 0;
    owner.onRead(end, now);
    const auto claim = owner.next(now);
    ASSERT_TRUE(claim.has_value());
    other.onRead(1, now);
    other.onClaim(claim->claim, now);
    end = 1;
    now += CellElection::OwnerTimeout - 10ms;
    EXPECT_FALSE(other.next(now).has_value());
    now += 20ms;
    ASSERT_TRUE(claimOnce(other, now, end));
    EXPECT_EQ(other.epoch(), 2U);
    EXPECT_GE(other.earlierOrdersExpiry(), TimePoint{10s} + CellElection::OwnerTimeout + 6s);
}

TEST(CellElection, TimeWithoutStoreContactDoesNotCountTowardsTheOwnerTimeout)
{
    CellElection other = makeElection("b");
    TimePoint now{10s};
    other.onRead(1, now);
    other.onClaim({1, "a.1", "a", {}, 1, {}}, now);
    other.onReadFailed();
    now += 20s;
    EXPECT_FALSE(other.next(now).has_value());
    other.onRead(1, now);
    EXPECT_FALSE(other.next(now + 100ms).has_value()) << "the owner must get time to renew";
    EXPECT_TRUE(other.next(now + CellElection::OwnerTimeout + 10ms).has_value());
}

TEST(CellElection, ANewClaimKeepsThePendingCountsOfThePreviousOwner)
{
    CellElection other = makeElection("b");
    const TimePoint now{10s};
    other.onRead(1, now);
    other.onClaim({1, "a.1", "a", {}, 1, {{"q", 7}}}, now);
    const auto append = other.next(now + CellElection::OwnerTimeout + 10ms);
    ASSERT_TRUE(append.has_value());
    EXPECT_EQ(append->claim.pendingByQueue.at("q"), 7);
}

TEST(CellElection, AResignedCellIsClaimedWithoutTheOwnerTimeout)
{
    CellElection other = makeElection("b");
    const TimePoint now{10s};
    other.onRead(2, now);
    other.onClaim({1, "", "a", {}, 2, {}}, now);
    EXPECT_TRUE(other.next(now).has_value());
}

TEST(CellElection, AnOwnerMayGiveNoOrdersOnceItsResignationIsSent)
{
    CellElection election = makeElection("a");
    const TimePoint now{10s};
    std::uint64_t end = 0;
    election.onRead(end, now);
    ASSERT_TRUE(claimOnce(election, now, end));
    EXPECT_GT(election.ordersUntil(), now);
    election.resign();
    ASSERT_TRUE(election.next(now + 10ms).has_value());
    EXPECT_LE(election.ordersUntil(), now);
}

TEST(CellElection, AfterAResignationOrdersExpireWithTheLeases)
{
    CellElection other = makeElection("b");
    const TimePoint now{10s};
    std::uint64_t end = 2;
    other.onRead(end, now);
    other.onClaim({1, "", "a", {}, 2, {}}, now);
    ASSERT_TRUE(claimOnce(other, now, end));
    EXPECT_GE(other.earlierOrdersExpiry(), now + 6s);
    EXPECT_LT(other.earlierOrdersExpiry(), now + 7s);
}

TEST(CellElection, AClaimIsUnchangedAfterEncodingAndDecoding)
{
    const OwnershipClaim claim{3, "a.1", "a", {"10.0.0.1", 7720}, 9, {{"q", 2}}};
    const OwnershipClaim decoded = decodeClaim(encodeClaim(claim));
    EXPECT_EQ(decoded.epoch, 3U);
    EXPECT_EQ(decoded.endpoint, claim.endpoint);
    EXPECT_EQ(decoded.pendingByQueue, claim.pendingByQueue);
    EXPECT_THROW(decodeClaim("{"), ClaimRecordError);
}

TEST(CellElection, ACandidateWithBetterCandidatesDelaysItsClaim)
{
    const TimePoint start{10s};
    CellElection busy = makeElection("busy");
    CellElection idle = makeElection("idle");
    busy.setClaimRank(1);
    busy.onRead(0, start);
    idle.onRead(0, start);
    EXPECT_FALSE(busy.next(start).has_value());
    EXPECT_TRUE(idle.next(start).has_value());
    EXPECT_TRUE(idle.isClaiming());
}

TEST(CellElection, TheClaimDelayOfACandidateWithManyBetterOnesIsLimited)
{
    const TimePoint start{10s};
    CellElection election = makeElection("lone");
    election.setClaimRank(146);
    election.onRead(0, start);
    EXPECT_TRUE(election.next(start + 1200ms).has_value());
}

TEST(CellElection, AnOwnerThatYieldsGivesNoOrdersAndMayClaimAgainUnderANewEpoch)
{
    CellElection election = makeElection("a");
    TimePoint now{10s};
    std::uint64_t end = 0;
    election.onRead(end, now);
    ASSERT_TRUE(claimOnce(election, now, end));
    election.yield();
    const auto release = election.next(now + 10ms);
    ASSERT_TRUE(release.has_value());
    EXPECT_TRUE(release->claim.holder.empty());
    EXPECT_LE(election.ordersUntil(), now) << "others may have read the release";
    election.onAppended(++end, now);
    election.onClaim(release->claim, now);
    election.onRead(end, now);
    election.setClaimRank(2);
    const Duration delay = 2 * CellElection::ClaimDelayPerRank;
    EXPECT_FALSE(election.next(now + delay - 1ms).has_value()) << "better candidates go first";
    const auto claim = election.next(now + delay + 10ms);
    ASSERT_TRUE(claim.has_value());
    EXPECT_EQ(claim->claim.epoch, 2U);
}

// A release whose append got no answer may be stored: a renewal under the same epoch would bring
// two owners about.
TEST(CellElection, AReleaseWithoutAnAnswerIsNeverFollowedByARenewal)
{
    CellElection election = makeElection("a");
    TimePoint now{10s};
    std::uint64_t end = 0;
    election.onRead(end, now);
    ASSERT_TRUE(claimOnce(election, now, end));
    election.yield();
    ASSERT_TRUE(election.next(now + 10ms).has_value());
    election.onAppendFailed(now + 20ms);
    now += 1s;
    const auto next = election.next(now);
    ASSERT_TRUE(next.has_value());
    EXPECT_TRUE(next->claim.holder.empty());
    EXPECT_EQ(next->claim.epoch, 1U);
    EXPECT_LE(election.ordersUntil(), now);
}

TEST(CellElection, AnOwnerThatGaveUpClaimsUnderANewEpoch)
{
    CellElection election = makeElection("a");
    TimePoint now{10s};
    std::uint64_t end = 0;
    election.onRead(0, now);
    ASSERT_TRUE(claimOnce(election, now, end));
    ASSERT_TRUE(election.isOwner());
    election.giveUp();
    EXPECT_FALSE(election.isOwner());
    EXPECT_EQ(election.ordersUntil(), TimePoint{});
    now += CellElection::RenewInterval;
    const auto append = election.next(now);
    ASSERT_TRUE(append.has_value());
    EXPECT_EQ(append->claim.epoch, 2U);
}

} // namespace
} // namespace firefly
