#include "Calls.h"
#include "fakes/FakeLog.h"
#include "Jobs.h"
#include "Recovery.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace firefly;
using namespace std::chrono_literals;

namespace {

const WriterId Writer("e1.1");

JobCancelled cancel(int job)
{
    return {JobId("j" + std::to_string(job))};
}

std::vector<std::uint64_t> sequencesOf(const LogAppend &append)
{
    std::vector<std::uint64_t> sequences;
    for (const Envelope &it : append.envelopes) {
        sequences.push_back(it.sequence);
    }
    return sequences;
}

using Sequences = std::vector<std::uint64_t>;

} // namespace

TEST(AppendQueue, batchesPendingRecordsWithOneAppendInFlight)
{
    AppendQueue queue(Writer);
    TimePoint now{1s};
    EXPECT_FALSE(queue.poll(now));
    queue.push(cancel(1), AppendPriority::Fact);
    queue.push(cancel(2), AppendPriority::Fact);
    EXPECT_EQ(sequencesOf(queue.poll(now).value()), (Sequences{1, 2}));
    queue.push(cancel(3), AppendPriority::Fact);
    now += 1s;
    EXPECT_FALSE(queue.poll(now));
    queue.onReply(now, AppendResult::Done);
    EXPECT_EQ(sequencesOf(queue.poll(now).value()), Sequences{3});
    queue.onReply(now, AppendResult::Done);
    queue.push(cancel(4), AppendPriority::Fact);
    EXPECT_FALSE(queue.poll(now));
    EXPECT_TRUE(queue.poll(now + 20ms));
}

TEST(AppendQueue, sendsTheSameEnvelopesAgainAfterALostReply)
{
    AppendQueue queue(Writer);
    TimePoint now{1s};
    queue.push(cancel(1), AppendPriority::Fact);
    queue.poll(now);
    queue.onReply(now, AppendResult::Uncertain);
    queue.push(cancel(2), AppendPriority::Fact);
    EXPECT_FALSE(queue.poll(now));
    now += 500ms;
    EXPECT_EQ(sequencesOf(queue.poll(now).value()), (Sequences{1, 2}));
    queue.onReply(now, AppendResult::NotSent);
    EXPECT_EQ(queue.pending(), 2U);
}

TEST(AppendQueue, readingRecordsBackConfirmsThemAfterALostReply)
{
    AppendQueue queue(Writer);
    const TimePoint now{1s};
    queue.push(cancel(1), AppendPriority::Fact);
    const LogAppend append = queue.poll(now).value();
    queue.onReply(now, AppendResult::Uncertain);
    EXPECT_FALSE(queue.onRead({1, Envelope{WriterId("e2.1"), 1, cancel(1)}}));
    EXPECT_TRUE(queue.onRead({2, append.envelopes.front()}));
    EXPECT_FALSE(queue.onRead({3, append.envelopes.front()}));
    EXPECT_EQ(queue.pending(), 0U);
    EXPECT_EQ(queue.lastReadBackSequence(), 1U);
    EXPECT_FALSE(queue.poll(now + 10s));
}

TEST(AppendQueue, refusesNewWorkBeforeFactsAndDropsNoQueuedRecord)
{
    AppendQueueLimits limits;
    limits.maxPending = 4;
    limits.newWorkShare = 0.5;
    AppendQueue queue(Writer, limits);
    for (int i = 0; i < 2; ++i) {
        EXPECT_TRUE(queue.push(cancel(i), AppendPriority::NewWork));
    }
    EXPECT_FALSE(queue.push(cancel(2), AppendPriority::NewWork));
    EXPECT_TRUE(queue.push(cancel(2), AppendPriority::Fact));
    EXPECT_TRUE(queue.push(cancel(3), AppendPriority::Fact));
    EXPECT_FALSE(queue.push(cancel(4), AppendPriority::Fact));
    EXPECT_EQ(sequencesOf(queue.poll(TimePoint{1s}).value()), (Sequences{1, 2, 3, 4}));
}

TEST(AppendQueue, limitsBatchesByCountAndBytes)
{
    AppendQueueLimits limits;
    limits.maxBatch = 2;
    AppendQueue byCount(Writer, limits);
    limits.maxBatch = 100;
    limits.maxBatchBytes = 1;
    AppendQueue byBytes(Writer, limits);
    for (int i = 0; i < 3; ++i) {
        byCount.push(cancel(i), AppendPriority::Fact);
        byBytes.push(cancel(i), AppendPriority::Fact);
    }
    EXPECT_EQ(byCount.poll(TimePoint{1s}).value().envelopes.size(), 2U);
    EXPECT_EQ(byBytes.poll(TimePoint{1s}).value().envelopes.size(), 1U);
}

TEST(AppendQueue, recordAppendedTwiceTakesEffectOnce)
{
    using State = CompositeFold<JobLedger, IntentLedger>;
    fakes::FakeLog log;
    const CallIntended intent{CustomerId("c"), "k", EntryId("e1"), Writer, RequestId("r1"), 7};
    const CallConcluded notRun{CustomerId("c"), "k", RequestId("r1"), Outcome::NotRun, ""};
    log.append(Writer, 1, intent);
    log.append(Writer, 2, notRun);
    log.append(Writer, 1, intent); // Delayed duplicate of the first append.
    State state;
    CatchUp reader;
    std::vector<FoldResult> results;
    reader.apply(log.read(reader.next()), state,
                 [&](const LoggedEnvelope &, FoldResult result) { results.push_back(result); });
    EXPECT_EQ(results.back(), FoldResult::Duplicate);
    EXPECT_EQ(state.get<IntentLedger>().find({CustomerId("c"), "k"}), nullptr);
}
