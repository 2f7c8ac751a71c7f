#include "Jobs.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <map>

using namespace firefly;

namespace {

const ShardId Rack("kochi/r1");
const WorkerId Worker("w1");

struct Terms
{
    Term term = 10;
    Term currentTerm(const ShardId & /*shard*/) const { return term; }
};

class JobLedgerTest : public testing::Test
{
protected:
    FoldVerdict submit(const char *job, const char *payload = "")
    {
        JobSpec spec;
        spec.payload = payload;
        return ledger.apply(++offset, JobSubmitted{JobId(job), spec});
    }
    FoldVerdict place(const char *job, std::uint64_t attempt, Term term = 10)
    {
        return ledger.apply(++offset, JobPlaced{JobId(job), attempt, Worker, Rack, term}, terms);
    }
    FoldVerdict evict(const char *job, std::uint64_t attempt, Term term, std::int64_t progress = 0)
    {
        const JobEvicted record{JobId(job), attempt, term, EvictionReason::Pressure, progress};
        return ledger.apply(++offset, record, terms);
    }
    FoldVerdict finish(const char *job, std::uint64_t attempt)
    {
        return ledger.apply(++offset, JobFinished{JobId(job), attempt, 10, true, "done"});
    }
    FoldVerdict cancel(const char *job) { return ledger.apply(++offset, JobCancelled{JobId(job)}); }
    FoldVerdict checkpoint(const char *job, std::uint64_t attempt, std::int64_t progress)
    {
        return ledger.apply(++offset, JobCheckpointed{JobId(job), attempt, 10, progress});
    }
    const Job &job(const char *id) const { return *ledger.find(JobId(id)); }

    Terms terms;
    JobLedger ledger;
    Offset offset = 0;
};

} // namespace

TEST_F(JobLedgerTest, submissionIsIdempotentByJobId)
{
    EXPECT_EQ(submit("a", "x"), FoldVerdict::Accepted);
    EXPECT_EQ(submit("a", "x"), FoldVerdict::Duplicate);
    EXPECT_EQ(submit("a", "y"), FoldVerdict::Conflict);
    EXPECT_EQ(ledger.pending().size(), 1U);
}

TEST_F(JobLedgerTest, onlyOneOfTwoRacingPlacementsWins)
{
    submit("a");
    EXPECT_EQ(place("a", 1), FoldVerdict::Accepted);
    EXPECT_EQ(place("a", 1), FoldVerdict::Stale);
    EXPECT_EQ(place("a", 2), FoldVerdict::Stale);
    EXPECT_EQ(ledger.placedOn(Worker), std::vector<JobId>{JobId("a")});
}

TEST_F(JobLedgerTest, placementNeedsCurrentTermAndNextAttempt)
{
    submit("a");
    EXPECT_EQ(place("a", 1, 9), FoldVerdict::Stale);
    EXPECT_EQ(place("a", 2), FoldVerdict::Stale);
    terms.term = 0;
    EXPECT_EQ(place("a", 1, 0), FoldVerdict::Stale);
    EXPECT_TRUE(ledger.placedIn(Rack).empty());
}

TEST_F(JobLedgerTest, evictedJobResumesOnceWithItsProgress)
{
    submit("a");
    submit("b");
    place("a", 1);
    EXPECT_EQ(checkpoint("a", 1, 700), FoldVerdict::Accepted);
    terms.term = 20;
    EXPECT_EQ(evict("a", 1, 10), FoldVerdict::Stale);
    EXPECT_EQ(evict("a", 1, 20, 500), FoldVerdict::Accepted);
    EXPECT_EQ(evict("a", 1, 20), FoldVerdict::Stale);
    EXPECT_EQ(job("a").progressMs, 700);
    EXPECT_EQ(ledger.pending().begin()->second, JobId("a"));
    EXPECT_EQ(place("a", 1, 20), FoldVerdict::Stale);
    EXPECT_EQ(place("a", 2, 20), FoldVerdict::Accepted);
    EXPECT_EQ(evict("a", 1, 20), FoldVerdict::Stale);
    EXPECT_EQ(checkpoint("a", 1, 900), FoldVerdict::Stale);
    EXPECT_EQ(job("a").state, JobState::Placed);
}

TEST_F(JobLedgerTest, finishCountsOnceAndNotAfterAnEviction)
{
    submit("a");
    place("a", 1);
    evict("a", 1, 10);
    EXPECT_EQ(finish("a", 1), FoldVerdict::Stale);
    place("a", 2);
    EXPECT_EQ(finish("a", 2), FoldVerdict::Accepted);
    EXPECT_EQ(finish("a", 2), FoldVerdict::Duplicate);
    EXPECT_EQ(finish("a", 1), FoldVerdict::Stale);
    EXPECT_EQ(cancel("a"), FoldVerdict::Stale);
    EXPECT_EQ(place("a", 3), FoldVerdict::Stale);
    EXPECT_EQ(job("a").result, "done");
}

TEST_F(JobLedgerTest, cancelledJobHoldsItsWorkerUntilTheAttemptStopped)
{
    submit("a");
    place("a", 1);
    EXPECT_EQ(cancel("a"), FoldVerdict::Accepted);
    EXPECT_EQ(cancel("a"), FoldVerdict::Duplicate);
    EXPECT_EQ(job("a").state, JobState::Cancelling);
    EXPECT_EQ(ledger.placedOn(Worker).size(), 1U);
    EXPECT_EQ(evict("a", 1, 10), FoldVerdict::Accepted);
    EXPECT_EQ(job("a").state, JobState::Cancelled);
    EXPECT_EQ(place("a", 2), FoldVerdict::Stale);
}

TEST_F(JobLedgerTest, endedJobsAreForgottenOldestFirst)
{
    ledger = JobLedger({.maxLive = 3, .maxEnded = 2, .endedRetention = 10});
    for (const char *it : {"a", "b", "c"}) {
        submit(it);
    }
    EXPECT_EQ(submit("d"), FoldVerdict::Invalid);
    for (const char *it : {"b", "c", "a"}) {
        cancel(it);
    }
    EXPECT_EQ(ledger.find(JobId("b")), nullptr);
    EXPECT_NE(ledger.find(JobId("c")), nullptr);
    offset += 20;
    submit("e");
    EXPECT_EQ(ledger.size(), 1U);
}

TEST_F(JobLedgerTest, loadGivesBackWhatSaveTook)
{
    for (const char *it : {"a", "b", "c", "d", "e"}) {
        submit(it, "p");
    }
    place("a", 1);
    checkpoint("a", 1, 5);
    place("b", 1);
    cancel("b");
    place("c", 1);
    finish("c", 1);
    cancel("d");
    JobLedger copy;
    copy.load(ledger.save());
    EXPECT_EQ(copy.save(), ledger.save());
    EXPECT_EQ(copy.pending(), ledger.pending());
    EXPECT_EQ(copy.placedIn(Rack), ledger.placedIn(Rack));
    EXPECT_EQ(copy.dump(), ledger.dump());
    for (const char *it : {"a", "b", "c", "d", "e"}) {
        EXPECT_EQ(*copy.find(JobId(it)), job(it));
    }
    EXPECT_NE(ledger.explain(JobId("a")).find("attempt 1 on worker w1"), std::string::npos);
}
