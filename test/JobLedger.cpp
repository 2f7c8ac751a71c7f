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
    FoldResult submit(const char *job, const char *payload = "")
    {
        BatchJobSpec spec;
        spec.payload = payload;
        return ledger.apply(++offset, JobSubmitted{JobId(job), spec});
    }
    FoldResult place(const char *job, std::uint64_t attempt, Term term = 10)
    {
        return ledger.apply(++offset, JobPlaced{JobId(job), attempt, Worker, Rack, term}, terms);
    }
    FoldResult evict(const char *job, std::uint64_t attempt, Term term, std::int64_t progress = 0)
    {
        const JobEvicted record{JobId(job), attempt, term, EvictionReason::Pressure, progress};
        return ledger.apply(++offset, record, terms);
    }
    FoldResult finish(const char *job, std::uint64_t attempt)
    {
        return ledger.apply(++offset, JobFinished{JobId(job), attempt, 10, true, "done"});
    }
    FoldResult cancel(const char *job) { return ledger.apply(++offset, JobCancelled{JobId(job)}); }
    FoldResult checkpoint(const char *job, std::uint64_t attempt, std::int64_t progress)
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
    EXPECT_EQ(submit("a", "x"), FoldResult::Accepted);
    EXPECT_EQ(submit("a", "x"), FoldResult::Duplicate);
    EXPECT_EQ(submit("a", "y"), FoldResult::Conflict);
    EXPECT_EQ(ledger.pending().size(), 1U);
}

TEST_F(JobLedgerTest, acceptsOnlyOneOfTwoConcurrentPlacements)
{
    submit("a");
    EXPECT_EQ(place("a", 1), FoldResult::Accepted);
    EXPECT_EQ(place("a", 1), FoldResult::Stale);
    EXPECT_EQ(place("a", 2), FoldResult::Stale);
    EXPECT_EQ(ledger.placedOn(Worker), std::vector<JobId>{JobId("a")});
}

TEST_F(JobLedgerTest, placementRequiresTheCurrentTermAndTheNextAttempt)
{
    submit("a");
    EXPECT_EQ(place("a", 1, 9), FoldResult::Stale);
    EXPECT_EQ(place("a", 2), FoldResult::Stale);
    terms.term = 0;
    EXPECT_EQ(place("a", 1, 0), FoldResult::Stale);
    EXPECT_TRUE(ledger.placedIn(Rack).empty());
}

TEST_F(JobLedgerTest, evictedJobIsPlacedOnceMoreWithItsProgress)
{
    submit("a");
    submit("b");
    place("a", 1);
    EXPECT_EQ(checkpoint("a", 1, 700), FoldResult::Accepted);
    terms.term = 20;
    EXPECT_EQ(evict("a", 1, 10), FoldResult::Stale);
    EXPECT_EQ(evict("a", 1, 20, 500), FoldResult::Accepted);
    EXPECT_EQ(evict("a", 1, 20), FoldResult::Stale);
    EXPECT_EQ(job("a").progressMs, 700);
    EXPECT_EQ(ledger.pending().begin()->second, JobId("a"));
    EXPECT_EQ(place("a", 1, 20), FoldResult::Stale);
    EXPECT_EQ(place("a", 2, 20), FoldResult::Accepted);
    EXPECT_EQ(evict("a", 1, 20), FoldResult::Stale);
    EXPECT_EQ(checkpoint("a", 1, 900), FoldResult::Stale);
    EXPECT_EQ(job("a").state, BatchJobState::Placed);
}

TEST_F(JobLedgerTest, acceptsAFinishOnceAndNotAfterAnEviction)
{
    submit("a");
    place("a", 1);
    evict("a", 1, 10);
    EXPECT_EQ(finish("a", 1), FoldResult::Stale);
    place("a", 2);
    EXPECT_EQ(finish("a", 2), FoldResult::Accepted);
    EXPECT_EQ(finish("a", 2), FoldResult::Duplicate);
    EXPECT_EQ(finish("a", 1), FoldResult::Stale);
    EXPECT_EQ(cancel("a"), FoldResult::Stale);
    EXPECT_EQ(place("a", 3), FoldResult::Stale);
    EXPECT_EQ(job("a").result, "done");
}

TEST_F(JobLedgerTest, cancelledJobStaysOnItsWorkerUntilTheAttemptHasStopped)
{
    submit("a");
    place("a", 1);
    EXPECT_EQ(cancel("a"), FoldResult::Accepted);
    EXPECT_EQ(cancel("a"), FoldResult::Duplicate);
    EXPECT_EQ(job("a").state, BatchJobState::Cancelling);
    EXPECT_EQ(ledger.placedOn(Worker).size(), 1U);
    EXPECT_EQ(evict("a", 1, 10), FoldResult::Accepted);
    EXPECT_EQ(job("a").state, BatchJobState::Cancelled);
    EXPECT_EQ(place("a", 2), FoldResult::Stale);
}

TEST_F(JobLedgerTest, removesEndedJobsOldestFirst)
{
    ledger = JobLedger({.maxLive = 3, .maxEnded = 2, .endedRetention = 10});
    for (const char *it : {"a", "b", "c"}) {
        submit(it);
    }
    EXPECT_EQ(submit("d"), FoldResult::Invalid);
    for (const char *it : {"b", "c", "a"}) {
        cancel(it);
    }
    EXPECT_EQ(ledger.find(JobId("b")), nullptr);
    EXPECT_NE(ledger.find(JobId("c")), nullptr);
    offset += 20;
    submit("e");
    EXPECT_EQ(ledger.size(), 1U);
}

TEST_F(JobLedgerTest, loadRestoresTheSavedState)
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
