#include "CellLease/CellElection.h"

#include "CellLease/ClaimRecord.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr Epoch FirstEpoch = FencesPerEpoch;
constexpr Epoch SecondEpoch = 2 * FencesPerEpoch;
constexpr Epoch ThirdEpoch = 3 * FencesPerEpoch;

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
    EXPECT_EQ(election.epoch(), FirstEpoch);
    EXPECT_FALSE(election.next(now + 100ms).has_value()) << "no renewal is due";
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
    EXPECT_EQ(other.epoch(), SecondEpoch);
    EXPECT_GE(other.earlierOrdersExpiry(), TimePoint{10s} + CellElection::OwnerTimeout + 6s);
}

TEST(CellElection, TimeWithoutStoreContactDoesNotCountTowardsTheOwnerTimeout)
{
    CellElection other = makeElection("b");
    TimePoint now{10s};
    other.onRead(1, now);
    other.onClaim({FirstEpoch, "a.1", "a", {}, 1, {}}, now);
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
    other.onClaim({FirstEpoch, "a.1", "a", {}, 1, {{"q", 7}}}, now);
    const auto append = other.next(now + CellElection::OwnerTimeout + 10ms);
    ASSERT_TRUE(append.has_value());
    EXPECT_EQ(append->claim.pendingByQueue.at("q"), 7);
}

TEST(CellElection, AResignedCellIsClaimedWithoutTheOwnerTimeout)
{
    CellElection other = makeElection("b");
    const TimePoint now{10s};
    other.onRead(2, now);
    other.onClaim({FirstEpoch, "", "a", {}, 2, {}}, now);
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
    other.onClaim({FirstEpoch, "", "a", {}, 2, {}}, now);
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
    EXPECT_EQ(claim->claim.epoch, SecondEpoch);
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
    EXPECT_EQ(next->claim.epoch, FirstEpoch);
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
    EXPECT_EQ(append->claim.epoch, SecondEpoch);
}

// Guards against an owner that begins only when its own claim is read, up to a held read's wait
// after the store has acknowledged it.
TEST(CellElection, AStoredClaimCountsBeforeItIsRead)
{
    CellElection election = makeElection("a");
    const TimePoint now{10s};
    election.onRead(0, now);
    ASSERT_TRUE(election.next(now).has_value());
    EXPECT_FALSE(election.isOwner());
    election.onAppended(1, now + 5ms);
    EXPECT_TRUE(election.isOwner());
    EXPECT_EQ(election.epoch(), FirstEpoch);
    EXPECT_TRUE(election.isExclusiveOwner(now + 5ms));
    EXPECT_GT(election.ordersUntil(), now + 5ms);
    EXPECT_FALSE(election.next(now + 10ms).has_value()) << "no renewal is due";
    const auto renewal = election.next(now + CellElection::RenewInterval);
    ASSERT_TRUE(renewal.has_value());
    EXPECT_EQ(renewal->position, 1U);
    EXPECT_EQ(renewal->claim.epoch, FirstEpoch);
}

// Guards against a released cell that a late read of an older claim gives back to its last owner.
TEST(CellElection, ALateRecordOfAnOlderClaimDoesNotBringBackAReleasedCell)
{
    CellElection election = makeElection("a");
    TimePoint now{10s};
    election.onRead(0, now);
    const auto claim = election.next(now);
    ASSERT_TRUE(claim.has_value());
    election.onAppended(1, now);
    ASSERT_TRUE(election.isOwner());
    election.yield();
    now += 10ms;
    const auto release = election.next(now);
    ASSERT_TRUE(release.has_value());
    ASSERT_TRUE(release->claim.holder.empty());
    EXPECT_EQ(release->position, 1U);
    election.onAppended(2, now);
    EXPECT_FALSE(election.isOwner());
    EXPECT_FALSE(election.hasOwner());
    election.setClaimRank(2);
    now += 50ms;
    election.onClaim(claim->claim, now);
    election.onRead(1, now);
    EXPECT_FALSE(election.isOwner());
    EXPECT_FALSE(election.hasOwner());
    election.onClaim(release->claim, now);
    election.onRead(2, now);
    EXPECT_EQ(election.claimSeenAt(), TimePoint{10s} + 10ms);
    const auto next = election.next(now + 50ms);
    ASSERT_TRUE(next.has_value()) << "late records must not extend the claim delay";
    EXPECT_EQ(next->claim.epoch, SecondEpoch);
    EXPECT_EQ(next->position, 2U);
}

// Guards against a claim that is sent after an own append whose response reports a later end: the
// records between them are unknown.
TEST(CellElection, RecordsAfterAnOwnAppendAreReadBeforeTheNextClaim)
{
    CellElection election = makeElection("a");
    TimePoint now{10s};
    election.onRead(0, now);
    ASSERT_TRUE(election.next(now).has_value());
    election.onAppended(2, now);
    election.giveUp();
    now += CellElection::OwnerTimeout;
    EXPECT_FALSE(election.next(now).has_value());
    election.onRead(2, now);
    const auto append = election.next(now);
    ASSERT_TRUE(append.has_value());
    EXPECT_EQ(append->position, 2U);
}

// Guards against a refused claim that is sent again at its old position, which the store refuses
// each time.
TEST(CellElection, ARefusedClaimIsNotRepeatedBeforeTheTopicIsRead)
{
    CellElection election = makeElection("a");
    TimePoint now{10s};
    election.onRead(0, now);
    ASSERT_TRUE(election.next(now).has_value());
    election.onAppendRefused(2, now);
    EXPECT_TRUE(election.hasUnreadClaims());
    EXPECT_EQ(election.topicEnd(), 2U);
    now += 300ms;
    EXPECT_FALSE(election.next(now).has_value());
    election.onClaim({FirstEpoch, "b.1", "b", {}, 1, {}}, now);
    election.onClaim({FirstEpoch, "", "b", {}, 2, {}}, now);
    election.onRead(2, now);
    EXPECT_FALSE(election.hasUnreadClaims());
    const auto append = election.next(now);
    ASSERT_TRUE(append.has_value());
    EXPECT_EQ(append->position, 2U);
    EXPECT_EQ(append->claim.epoch, SecondEpoch);
}

// Guards against a process that answers for a cell whose release it has sent: another owner may
// already know jobs that it doesn't.
TEST(CellElection, AnOwnerIsNotExclusiveOnceItsReleaseIsSent)
{
    CellElection election = makeElection("a");
    TimePoint now{10s};
    std::uint64_t end = 0;
    election.onRead(end, now);
    ASSERT_TRUE(claimOnce(election, now, end));
    election.yield();
    EXPECT_TRUE(election.isExclusiveOwner(now));
    now += 10ms;
    ASSERT_TRUE(election.next(now).has_value());
    EXPECT_FALSE(election.isExclusiveOwner(now));
}

// Guards against a new owner that starts tasks before the orders of the earlier owner have expired,
// when its claim counts without being read or is read again later.
TEST(CellElection, AStoredClaimWaitsForTheOrdersOfTheEarlierOwner)
{
    CellElection election = makeElection("b");
    TimePoint now{10s};
    election.onClaim({FirstEpoch, "a.1", "a", {}, 1, {}}, now);
    election.onRead(1, now);
    now += CellElection::OwnerTimeout + 10ms;
    const auto claim = election.next(now);
    ASSERT_TRUE(claim.has_value());
    election.onAppended(2, now + 5ms);
    ASSERT_TRUE(election.isOwner());
    const TimePoint expiry = election.earlierOrdersExpiry();
    EXPECT_GE(expiry, TimePoint{10s} + CellElection::OwnerTimeout + 6s);
    EXPECT_LT(expiry, TimePoint{10s} + CellElection::OwnerTimeout + 7s);
    election.onClaim(claim->claim, now + 1s);
    EXPECT_EQ(election.earlierOrdersExpiry(), expiry);
}

// Guards against an owner that has lost the cell and is brought back by the late answer to its own
// append, after the claim of its successor was read.
TEST(CellElection, ALateAnswerDoesNotBringBackAnEarlierEpoch)
{
    CellElection election = makeElection("a");
    const TimePoint now{10s};
    election.onRead(0, now);
    const auto claim = election.next(now);
    ASSERT_TRUE(claim.has_value());
    election.onClaim(claim->claim, now + 20ms);
    election.onClaim({SecondEpoch, "b.1", "b", {}, 1, {}}, now + 30ms);
    election.onRead(2, now + 30ms);
    election.onAppended(1, now + 40ms);
    EXPECT_FALSE(election.isOwner());
    EXPECT_EQ(election.epoch(), SecondEpoch);
    EXPECT_EQ(election.claim().holder, "b.1");
}

// Guards against a cell that nobody schedules while its next owner loads the jobs.
TEST(CellElection, AnOwnerThatHandsOverGoesOnUntilAnotherProcessIsReady)
{
    CellElection owner = makeElection("a");
    CellElection candidate = makeElection("b");
    TimePoint now{10s};
    std::uint64_t end = 0;
    owner.onRead(end, now);
    ASSERT_TRUE(claimOnce(owner, now, end));
    owner.handOver(now + 1s);
    owner.resign();
    now += 10ms;
    const auto announcement = owner.next(now);
    ASSERT_TRUE(announcement.has_value());
    EXPECT_TRUE(decodeClaim(encodeClaim(announcement->claim)).isLeaving);
    owner.onAppended(++end, now);
    EXPECT_TRUE(owner.isOwner());
    EXPECT_GT(owner.ordersUntil(), now + 5s);
    EXPECT_FALSE(owner.isExclusiveOwner(now)) << "others may claim";
    EXPECT_FALSE(owner.next(now + 10ms).has_value()) << "announced once";

    candidate.onClaim(announcement->claim, now);
    candidate.onRead(end, now);
    EXPECT_FALSE(candidate.next(now + 300ms).has_value()) << "the jobs aren't loaded";
    now += 400ms;
    candidate.setReadySince(now);
    const auto claim = candidate.next(now);
    ASSERT_TRUE(claim.has_value());
    EXPECT_EQ(claim->claim.epoch, SecondEpoch);
    EXPECT_FALSE(claim->claim.isLeaving);
    candidate.onAppended(++end, now);
    EXPECT_LE(owner.ordersUntil(), candidate.earlierOrdersExpiry());
    owner.onClaim(claim->claim, now);
    owner.onRead(end, now);
    EXPECT_FALSE(owner.isOwner());
    EXPECT_FALSE(owner.next(now + 10s).has_value()) << "it makes no further claims";
}

// Guards against a process that can't stop, or a better owner that never gets the cell, as nobody
// prepares to take it over.
TEST(CellElection, AnOwnerThatNobodyReplacesReleasesTheCellInTime)
{
    CellElection election = makeElection("a");
    TimePoint now{10s};
    std::uint64_t end = 0;
    election.onRead(end, now);
    ASSERT_TRUE(claimOnce(election, now, end));
    election.handOver(now + 1s);
    ASSERT_TRUE(election.next(now + 10ms).has_value());
    election.onAppended(++end, now + 20ms);
    election.handOver(now + 9s);
    const auto release = election.next(now + 1s);
    ASSERT_TRUE(release.has_value());
    EXPECT_TRUE(release->claim.holder.empty());
    EXPECT_LE(election.ordersUntil(), now + 1s);
}

// Guards against orders of an owner that hands over which outlive what the next owner, or one after
// it, takes for their end: a task would run twice.
TEST(CellElection, RepeatedAnnouncementsDoNotExtendTheOrders)
{
    CellElection election = makeElection("a");
    TimePoint now{10s};
    std::uint64_t end = 0;
    election.onRead(end, now);
    ASSERT_TRUE(claimOnce(election, now, end));
    election.handOver(now + 9s);
    now += 10ms;
    ASSERT_TRUE(election.next(now).has_value());
    const TimePoint until = election.ordersUntil();
    EXPECT_EQ(until, now + 6s);
    election.onAppendFailed(now); // May be stored.
    ASSERT_TRUE(election.next(now + 400ms).has_value());
    election.onAppended(++end, now + 500ms);
    ASSERT_TRUE(election.next(now + 2s).has_value());
    EXPECT_EQ(election.ordersUntil(), until);
}

// Guards against an ownership that ends as soon as it begins, as the process once yielded the cell
// and another process claimed it before the release was sent.
TEST(CellElection, AnEarlierHandOverHasNoEffectOnALaterOwnership)
{
    CellElection election = makeElection("a");
    TimePoint now{10s};
    std::uint64_t end = 0;
    election.onRead(end, now);
    ASSERT_TRUE(claimOnce(election, now, end));
    election.handOver(now + 1s);
    election.yield();
    election.onClaim({SecondEpoch, "b.1", "b", {}, 1, {}}, now);
    election.onClaim({SecondEpoch, "", "b", {}, 2, {}}, now);
    end = 3;
    election.onRead(end, now);
    now += 10ms;
    ASSERT_TRUE(claimOnce(election, now, end));
    EXPECT_EQ(election.epoch(), ThirdEpoch);
    EXPECT_TRUE(election.isExclusiveOwner(now));
    EXPECT_FALSE(election.next(now + 10ms).has_value());
    const auto renewal = election.next(now + CellElection::RenewInterval);
    ASSERT_TRUE(renewal.has_value());
    EXPECT_FALSE(renewal->claim.isLeaving);
    EXPECT_FALSE(renewal->claim.holder.empty());
}

// Guards against orders of an owner that are refused by its predecessor's token: one of an older
// build claims the next number, not the next multiple.
TEST(CellElection, AClaimExceedsAllTokensOfAnEarlierOwnerOfAnyBuild)
{
    CellElection election = makeElection("a");
    const TimePoint now{10s};
    election.onClaim({FirstEpoch + 1, "", "b", {}, 1, {}}, now);
    election.onRead(1, now);
    const auto claim = election.next(now);
    ASSERT_TRUE(claim.has_value());
    EXPECT_EQ(claim->claim.epoch, SecondEpoch);
}

// Guards against an append without an answer that is stored late: it counts once it is read.
TEST(CellElection, AClaimStoredAfterItsTimeoutCountsWhenItIsRead)
{
    CellElection election = makeElection("a");
    TimePoint now{10s};
    election.onRead(0, now);
    const auto first = election.next(now);
    ASSERT_TRUE(first.has_value());
    now += 1600ms;
    election.onAppendFailed(now);
    EXPECT_FALSE(election.isOwner());
    now += 300ms;
    const auto second = election.next(now);
    ASSERT_TRUE(second.has_value());
    EXPECT_EQ(second->position, 0U);
    election.onAppendFailed(now + 10ms);
    election.onClaim(first->claim, now + 20ms);
    election.onRead(1, now + 20ms);
    EXPECT_TRUE(election.isOwner());
    EXPECT_EQ(election.epoch(), FirstEpoch);
}

// Random schedules

/// A read of the topic that awaits its answer.
struct Read
{
    std::size_t from = 0;
    std::optional<std::size_t> end; ///< Set if the records were read when the call was made.
    TimePoint answeredAt{};
};

/// Candidates of one cell on a topic whose calls are delayed, lost or processed late.
class RandomElections
{
public:
    explicit RandomElections(std::uint32_t seed, bool hasHandOvers = false)
        : m_random(seed)
        , m_hasHandOvers(hasHandOvers)
    {
        for (int i = 0; i < CandidateCount; ++i) {
            m_candidates.push_back(std::make_unique<Candidate>());
            restart(i);
        }
    }

    void run(Duration duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += Step) {
            for (int i = 0; i < CandidateCount; ++i) {
                advance(i);
            }
            checkOwners();
            if (testing::Test::HasFailure()) {
                return;
            }
        }
    }

    int ownerships() const { return m_ownerships; }
    int lateRecords() const { return m_lateRecords; }
    /// Claims over an owner that announced that it leaves.
    int takeOvers() const { return m_takeOvers; }

private:
    static constexpr int CandidateCount = 4;
    static constexpr Duration Step = 10ms;
    static constexpr Duration MaxReadDelay = 1s;
    static constexpr Duration AppendTimeout = 1600ms;

    struct SentAppend
    {
        CellElection::Append append;
        TimePoint processedAt{};
        TimePoint answeredAt{};
        bool isProcessed = false;
        bool isStored = false;
        bool isAnswerLost = false;
        bool isAnswered = false;
    };
    struct Candidate
    {
        std::unique_ptr<CellElection> election;
        int incarnation = 0;
        std::size_t position = 0;
        bool needsSnapshot = true;
        std::optional<Read> read;
        std::vector<SentAppend> appends;
        TimePoint pausedUntil{};
        std::pair<Epoch, std::uint64_t> version; ///< Epoch and renewal of the latest known claim.
        Epoch releasedEpoch = 0;
        bool wasOwner = false;
    };

    Duration randomDelay(Duration max)
    {
        return std::chrono::milliseconds(
            m_random() % (std::chrono::duration_cast<std::chrono::milliseconds>(max).count() + 1));
    }

    /// True about once in \a mean.
    bool occurs(Duration mean) { return m_random() % (mean / Step) == 0; }

    void restart(int i)
    {
        Candidate &it = *m_candidates[static_cast<std::size_t>(i)];
        CellElection::Options options;
        options.node = std::to_string(i);
        options.holder = options.node + "." + std::to_string(++it.incarnation);
        it.election = std::make_unique<CellElection>(options);
        it.election->setClaimRank(i);
        it.needsSnapshot = true;
        it.read.reset();
        it.version = {};
        it.releasedEpoch = 0;
        it.wasOwner = false;
        for (SentAppend &append : it.appends) {
            append.isAnswered = true; // There is nobody left to answer.
        }
    }

    void advance(int i)
    {
        Candidate &it = *m_candidates[static_cast<std::size_t>(i)];
        processAppends(it);
        if (m_now < it.pausedUntil) {
            return;
        }
        disturb(i);
        finishRead(it);
        finishAppend(it);
        send(it);
    }

    void disturb(int i)
    {
        Candidate &it = *m_candidates[static_cast<std::size_t>(i)];
        if (occurs(20s)) {
            restart(i);
        }
        if (occurs(5s)) {
            it.election->yield();
        }
        if (it.election->isOwner() && occurs(10s)) {
            it.election->giveUp();
        }
        if (m_hasHandOvers) {
            disturbHandOvers(*it.election);
        }
        if (occurs(10s)) {
            it.pausedUntil = m_now + randomDelay(4s);
        }
        if (occurs(10s)) {
            it.needsSnapshot = true; // As after a read that reports trimmed records.
            it.read.reset();
        }
    }

    void disturbHandOvers(CellElection &election)
    {
        if (occurs(500ms)) {
            const bool isReady = m_random() % 2 == 0;
            election.setReadySince(isReady ? std::optional(m_now) : std::nullopt);
        }
        if (occurs(2s) && election.isOwner()) {
            election.handOver(m_now + randomDelay(1500ms));
            if (m_random() % 8 == 0) {
                election.resign();
            }
        }
    }

    void finishRead(Candidate &it)
    {
        if (it.read && m_now >= it.read->answeredAt) {
            const std::size_t end = it.read->end.value_or(m_topic.size());
            for (std::size_t k = it.read->from; k < end; ++k) {
                const OwnershipClaim &claim = m_topic[k];
                m_lateRecords += std::pair(claim.epoch, claim.renewal) < it.version ? 1 : 0;
                it.election->onClaim(claim, m_now);
            }
            it.position = end;
            it.election->onRead(end, m_now);
            it.read.reset();
        }
        if (!it.read) {
            it.read.emplace();
            it.read->answeredAt = m_now + randomDelay(MaxReadDelay);
            if (std::exchange(it.needsSnapshot, false)) {
                it.read->from = m_topic.empty() ? 0 : m_topic.size() - 1;
                it.read->end = m_topic.size();
            } else {
                it.read->from = it.position;
                if (m_random() % 2 == 0) {
                    it.read->end = m_topic.size();
                }
            }
        }
    }

    void processAppends(Candidate &it)
    {
        for (SentAppend &sent : it.appends) {
            if (!sent.isProcessed && m_now >= sent.processedAt) {
                sent.isProcessed = true;
                sent.isStored = sent.append.position == m_topic.size();
                if (sent.isStored) {
                    m_topic.push_back(sent.append.claim);
                }
            }
        }
        std::erase_if(it.appends,
                      [](const SentAppend &sent) { return sent.isProcessed && sent.isAnswered; });
    }

    void finishAppend(Candidate &it)
    {
        for (SentAppend &sent : it.appends) {
            if (sent.isAnswered || m_now < sent.answeredAt) {
                continue;
            }
            sent.isAnswered = true;
            if (sent.isAnswerLost) {
                it.election->onAppendFailed(m_now);
            } else if (!sent.isStored) {
                it.election->onAppendRefused(m_topic.size(), m_now);
            } else {
                it.election->onAppended(sent.append.position + 1, m_now);
                const OwnershipClaim &claim = sent.append.claim;
                if (claim.epoch == m_topic.back().epoch && claim.epoch > it.version.first
                    && !claim.holder.empty()) {
                    EXPECT_TRUE(it.election->isOwner()) << "a stored claim doesn't count yet";
                    EXPECT_EQ(it.election->epoch(), claim.epoch);
                }
            }
        }
    }

    void send(Candidate &it)
    {
        const auto append = it.election->next(m_now);
        if (!append) {
            return;
        }
        if (append->claim.holder.empty()) {
            it.releasedEpoch = append->claim.epoch;
        }
        const bool isNew = append->claim.epoch != it.election->epoch();
        m_takeOvers += isNew && it.election->hasOwner() && it.election->claim().isLeaving ? 1 : 0;
        SentAppend sent;
        sent.append = *append;
        sent.processedAt = m_now + randomDelay(100ms);
        sent.answeredAt = sent.processedAt + randomDelay(m_random() % 8 == 0 ? 1400ms : 100ms);
        if (m_random() % 8 == 0) {
            sent.isAnswerLost = true;
            sent.answeredAt = m_now + AppendTimeout;
            sent.processedAt = m_now + randomDelay(5s);
        }
        it.appends.push_back(sent);
    }

    void checkOwners()
    {
        for (const auto &it : m_candidates) {
            const CellElection &election = *it->election;
            const std::pair version(election.epoch(), election.claim().renewal);
            EXPECT_GE(version, it->version) << "an older claim was brought back";
            it->version = version;
            const bool isOwner = election.isOwner() && m_now < election.ordersUntil();
            m_ownerships += isOwner && !it->wasOwner ? 1 : 0;
            it->wasOwner = isOwner;
            if (!isOwner) {
                continue;
            }
            EXPECT_GT(election.epoch(), it->releasedEpoch) << "orders after a release";
            for (const auto &other : m_candidates) {
                const CellElection &otherElection = *other->election;
                if (other == it || !otherElection.isOwner()
                    || m_now >= otherElection.ordersUntil()) {
                    continue;
                }
                EXPECT_NE(otherElection.epoch(), election.epoch()) << "two owners of one epoch";
                if (otherElection.epoch() < election.epoch()) {
                    EXPECT_LE(otherElection.ordersUntil(), election.earlierOrdersExpiry());
                    EXPECT_FALSE(otherElection.isExclusiveOwner(m_now));
                }
            }
        }
    }

    std::mt19937 m_random;
    bool m_hasHandOvers;
    TimePoint m_now{10s};
    std::vector<OwnershipClaim> m_topic;
    std::vector<std::unique_ptr<Candidate>> m_candidates;
    int m_ownerships = 0;
    int m_lateRecords = 0;
    int m_takeOvers = 0;
};

// Guards against two owners of one epoch, and against a stored claim that counts late, whatever the
// order in which reads and answers arrive.
TEST(CellElection, RandomDelaysNeverBringAboutTwoOwnersOfOneEpoch)
{
    int ownerships = 0;
    int lateRecords = 0;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        RandomElections elections(seed);
        elections.run(60s);
        ownerships += elections.ownerships();
        lateRecords += elections.lateRecords();
        if (HasFailure()) {
            return;
        }
    }
    EXPECT_GT(ownerships, 2000);
    EXPECT_GT(lateRecords, 200) << "the schedules read no records late";
}

// Guards against orders of an owner that hands its cell over which outlive what a later owner takes
// for their end, whatever the order in which reads and answers arrive.
TEST(CellElection, RandomHandOversKeepTheOrdersOfOwnersApart)
{
    int takeOvers = 0;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        RandomElections elections(seed, true);
        elections.run(60s);
        takeOvers += elections.takeOvers();
        if (HasFailure()) {
            return;
        }
    }
    EXPECT_GT(takeOvers, 500) << "the schedules claim over no leaving owner";
}

} // namespace
} // namespace firefly
