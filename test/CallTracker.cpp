#include "Calls.h"

#include <gtest/gtest.h>

#include <string>

using namespace firefly;
using namespace std::chrono_literals;

namespace {

const CustomerId Customer("kayal");
const EntryId Entry("e1");
const WriterId Writer("e1.1");

/// Entry of one tracker with a log whose records apply at once, and workers w1, w2, ...
struct FakeContext
{
    bool canAppend() const { return isLogUp; }
    const IntentLedger &intents() const { return ledger; }
    std::optional<WorkerId> chooseWorker(const CallRequest & /*request*/,
                                         std::span<const WorkerId> tried) const
    {
        if (tried.size() >= workers) {
            return std::nullopt;
        }
        return WorkerId("w" + std::to_string(tried.size() + 1));
    }
    bool spendRetry() { return budget-- > 0; }
    Duration retryAfter() const { return 2s; }

    IntentLedger ledger;
    bool isLogUp = true;
    std::size_t workers = 3;
    int budget = 10;
};

CallRequest request(const char *id, const char *key)
{
    CallRequest made;
    made.request = RequestId(id);
    made.customer = Customer;
    made.isIdempotent = std::string_view(key).empty();
    made.key = key;
    made.bodyHash = 7;
    made.deadline = TimePoint(10s);
    return made;
}

CallTracker tracker(const char *id, const char *key = "")
{
    return {request(id, key), Entry, Writer};
}

template <typename Action>
const Action *find(const CallActions &actions)
{
    for (const CallAction &it : actions) {
        if (const auto *found = std::get_if<Action>(&it)) {
            return found;
        }
    }
    return nullptr;
}

Outcome outcomeOf(const CallActions &actions)
{
    const auto *reply = find<ReplyToCaller>(actions);
    EXPECT_NE(reply, nullptr);
    return reply == nullptr ? Outcome::Unknown : reply->reply.outcome;
}

WorkerCallReply reply(const char *id, WorkerResult result, const char *body = "")
{
    return {RequestId(id), result, body};
}

class CallTrackerTest : public testing::Test
{
protected:
    /// Starts \a call and applies its intent to the ledger, so that it is dispatched.
    CallActions startKeyed(CallTracker &call)
    {
        const CallActions actions = call.start(now, context);
        const CallIntended record = find<AppendIntent>(actions)->record;
        context.ledger.apply(++offset, record);
        return call.onIntended(now, record, context);
    }
    void applyConclusion(const CallActions &actions)
    {
        context.ledger.apply(++offset, find<AppendConclusion>(actions)->record);
    }

    FakeContext context;
    TimePoint now{1s};
    Offset offset = 0;
};

} // namespace

TEST_F(CallTrackerTest, nonIdempotentCallIsNotDispatchedWhenItsIntentLost)
{
    CallTracker call = tracker("r1", "k");
    const CallActions started = call.start(now, context);
    EXPECT_EQ(find<DispatchCall>(started), nullptr);
    const CallIntended rival{Customer, "k", EntryId("e2"), WriterId("e2.1"), RequestId("r2"), 7};
    context.ledger.apply(1, rival);
    EXPECT_TRUE(call.onIntended(now, rival, context).empty());
    context.ledger.apply(2, find<AppendIntent>(started)->record);
    EXPECT_TRUE(call.onIntended(now, find<AppendIntent>(started)->record, context).empty());
    context.ledger.apply(3, CallConcluded{Customer, "k", RequestId("r2"), Outcome::Answer, "yes"});
    const CallActions concluded = call.onConcluded(now, context);
    EXPECT_EQ(find<DispatchCall>(concluded), nullptr);
    EXPECT_EQ(find<ReplyToCaller>(concluded)->reply.body, "yes");
}

TEST_F(CallTrackerTest, waitingRequestIsDispatchedAfterTheWinnerReopenedTheKey)
{
    context.ledger.apply(1, CallIntended{Customer, "k", Entry, Writer, RequestId("r0"), 7});
    CallTracker call = tracker("r1", "k");
    EXPECT_TRUE(call.start(now, context).empty());
    context.ledger.apply(2, CallConcluded{Customer, "k", RequestId("r0"), Outcome::NotRun, ""});
    const CallActions reopened = call.onConcluded(now, context);
    ASSERT_NE(find<AppendIntent>(reopened), nullptr);
    context.ledger.apply(3, find<AppendIntent>(reopened)->record);
    EXPECT_NE(
        find<DispatchCall>(call.onIntended(now, find<AppendIntent>(reopened)->record, context)),
        nullptr);
}

TEST_F(CallTrackerTest, logOutageConcludesOnlyNonIdempotentCallsAsNotRun)
{
    context.isLogUp = false;
    CallTracker keyed = tracker("r1", "k");
    const CallActions actions = keyed.start(now, context);
    EXPECT_EQ(outcomeOf(actions), Outcome::NotRun);
    EXPECT_EQ(find<ReplyToCaller>(actions)->reply.retryAfter, 2s);
    CallTracker plain = tracker("r2");
    EXPECT_NE(find<DispatchCall>(plain.start(now, context)), nullptr);
}

TEST_F(CallTrackerTest, uncertainNonIdempotentCallIsUnknownAndNeverRetried)
{
    CallTracker call = tracker("r1", "k");
    startKeyed(call);
    const CallActions actions = call.onReply(now, 1, reply("r1", WorkerResult::Uncertain), context);
    EXPECT_EQ(outcomeOf(actions), Outcome::Unknown);
    EXPECT_EQ(find<DispatchCall>(actions), nullptr);
    applyConclusion(actions);
    CallTracker repeat = tracker("r2", "k");
    EXPECT_EQ(outcomeOf(repeat.start(now, context)), Outcome::Unknown);
}

TEST_F(CallTrackerTest, refusedNonIdempotentCallIsRetriedThenReopensItsKey)
{
    CallTracker call = tracker("r1", "k");
    context.budget = 1;
    startKeyed(call);
    const CallActions retried = call.onReply(now, 1, reply("r1", WorkerResult::Refused), context);
    EXPECT_EQ(find<DispatchCall>(retried)->call.worker, WorkerId("w2"));
    const CallActions actions = call.onReply(now, 2, reply("r1", WorkerResult::NotSent), context);
    EXPECT_EQ(outcomeOf(actions), Outcome::NotRun);
    applyConclusion(actions);
    EXPECT_EQ(context.ledger.find(call.key()), nullptr);
}

TEST_F(CallTrackerTest, uncertainIdempotentCallIsRetriedButNeverReportedAsNotRun)
{
    CallTracker call = tracker("r1");
    call.start(now, context);
    const CallActions retried = call.onReply(now, 1, reply("r1", WorkerResult::Uncertain), context);
    EXPECT_NE(find<DispatchCall>(retried), nullptr);
    context.budget = 0;
    const CallActions actions = call.onReply(now, 2, reply("r1", WorkerResult::Refused), context);
    EXPECT_EQ(outcomeOf(actions), Outcome::Unknown);
}

TEST_F(CallTrackerTest, lateAndRepeatedRepliesAndThoseOfOtherRequestsAreIgnored)
{
    CallTracker call = tracker("r1");
    call.start(now, context);
    EXPECT_TRUE(call.onReply(now, 1, reply("r9", WorkerResult::Done, "x"), context).empty());
    EXPECT_TRUE(call.onReply(now, 7, reply("r1", WorkerResult::Done, "x"), context).empty());
    ASSERT_NE(find<DispatchCall>(call.hedge(now, context)), nullptr);
    EXPECT_TRUE(call.hedge(now, context).empty());
    EXPECT_EQ(outcomeOf(call.onReply(now, 2, reply("r1", WorkerResult::Done, "b"), context)),
              Outcome::Answer);
    EXPECT_FALSE(call.isOver());
    EXPECT_TRUE(call.onReply(now, 1, reply("r1", WorkerResult::Done, "a"), context).empty());
    EXPECT_TRUE(call.isOver());
    EXPECT_TRUE(call.onReply(now, 2, reply("r1", WorkerResult::Done, "b"), context).empty());
}

TEST_F(CallTrackerTest, lateResultConcludesTheKeyAfterTheDeadline)
{
    CallTracker call = tracker("r1", "k");
    startKeyed(call);
    const CallActions actions = call.onDeadline(call.deadline(), context);
    EXPECT_EQ(outcomeOf(actions), Outcome::Unknown);
    EXPECT_EQ(find<AppendConclusion>(actions), nullptr);
    applyConclusion(
        call.onReply(call.deadline() + 1s, 1, reply("r1", WorkerResult::Done, "yes"), context));
    CallTracker repeat = tracker("r2", "k");
    const CallActions stored = repeat.start(now, context);
    EXPECT_EQ(find<ReplyToCaller>(stored)->reply.body, "yes");
    EXPECT_EQ(find<DispatchCall>(stored), nullptr);
}

TEST_F(CallTrackerTest, callPastItsDeadlineStaysNotRunWhenItsIntentArrivesLate)
{
    CallTracker call = tracker("r1", "k");
    const CallActions started = call.start(now, context);
    const CallActions concluded = call.onDeadline(call.deadline(), context);
    EXPECT_EQ(outcomeOf(concluded), Outcome::NotRun);
    context.ledger.apply(1, find<AppendIntent>(started)->record);
    EXPECT_TRUE(call.onIntended(now, find<AppendIntent>(started)->record, context).empty());
    offset = 1;
    applyConclusion(concluded);
    EXPECT_EQ(context.ledger.find(call.key()), nullptr);
}

TEST_F(CallTrackerTest, reusedKeyIsRejectedAndUnconcludedKeyIsAwaited)
{
    context.ledger.apply(1, CallIntended{Customer, "k", Entry, Writer, RequestId("r0"), 8});
    CallTracker reused = tracker("r1", "k");
    const CallActions actions = reused.start(now, context);
    EXPECT_EQ(find<ReplyToCaller>(actions)->reply.reason, CallReason::KeyReused);
    context.ledger.apply(2, CallIntended{Customer, "m", Entry, Writer, RequestId("r0"), 7});
    CallTracker waiting = tracker("r2", "m");
    EXPECT_TRUE(waiting.start(now, context).empty());
    EXPECT_EQ(outcomeOf(waiting.onDeadline(waiting.deadline(), context)), Outcome::Unknown);
}

TEST_F(CallTrackerTest, failedIdempotentCallIsRetriedOnce)
{
    CallTracker call = tracker("r1");
    call.start(now, context);
    EXPECT_NE(
        find<DispatchCall>(call.onReply(now, 1, reply("r1", WorkerResult::ServiceError), context)),
        nullptr);
    EXPECT_EQ(outcomeOf(call.onReply(now, 2, reply("r1", WorkerResult::ServiceError), context)),
              Outcome::Failed);
}
