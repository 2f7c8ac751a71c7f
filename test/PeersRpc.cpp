#include "Peers.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

using namespace firefly;

namespace {

constexpr Duration Soon = std::chrono::seconds(5);
constexpr Duration Short = std::chrono::milliseconds(50);
const Endpoint Here{"127.0.0.1", 18551};
const Endpoint There{"127.0.0.1", 18552};
const Endpoint Nobody{"127.0.0.1", 18553};

/// Two entries on loopback; the second answers heartbeats at once and calls as the test says.
class PeersRpc : public testing::Test
{
protected:
    static HeartbeatReplyWithLists answer(const Heartbeat &asked)
    {
        HeartbeatReplyWithLists answer;
        answer.reply.heartbeat.from = EntryId("b");
        answer.reply.heartbeat.shards = asked.shards;
        answer.reply.superseded = {{ShardId("z/r1"), 9}};
        return answer;
    }

    /// Runs the loop until \a done.
    void runUntil(const bool &done)
    {
        while (!done) {
            context.run_one_for(std::chrono::seconds(10));
        }
    }

    ForwardedResult forward(const Endpoint &to, Duration timeout)
    {
        bool isDone = false;
        ForwardedResult got;
        const ForwardedCall call{RequestId("r"), CustomerId("c"), ServiceId("s"), "k",
                                 Soon,           "body"};
        here.forward(to, call, timeout, [&](ForwardedResult result) {
            got = std::move(result);
            isDone = true;
        });
        runUntil(isDone);
        return got;
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard{context.get_executor()};
    PeerNode::ForwardHandler onForward = [](const ForwardedCall &call,
                                            const PeerNode::ForwardDone &done) {
        done({call.request, WorkerResult::Done, call.key + call.body, {}});
    };
    std::vector<PeerNode::ForwardDone> heldHere; ///< The first entry never answers a call.
    PeerNode here{context, Here, answer,
                  [this](const ForwardedCall &, const PeerNode::ForwardDone &done) {
                      heldHere.push_back(done);
                  }};
    std::optional<PeerNode> there{
        std::in_place, context, There, answer,
        [this](const ForwardedCall &call, const PeerNode::ForwardDone &done) {
            onForward(call, done);
        }};
};

} // namespace

TEST_F(PeersRpc, heartbeatKeepsEveryField)
{
    Heartbeat asked;
    asked.from = EntryId("a");
    asked.shards = {{ShardId("z/r1"), 7, 3}};
    bool isDone = false;
    std::optional<HeartbeatReplyWithLists> got;
    here.heartbeat(There, asked, Soon, [&](std::optional<HeartbeatReplyWithLists> reply) {
        got = std::move(reply);
        isDone = true;
    });
    runUntil(isDone);
    ASSERT_TRUE(got);
    EXPECT_EQ(got->reply.heartbeat.from, EntryId("b"));
    ASSERT_EQ(got->reply.heartbeat.shards.size(), 1U);
    EXPECT_EQ(got->reply.heartbeat.shards[0].freeSlots, 3);
    EXPECT_EQ(got->reply.superseded[0].term, 9U);
    EXPECT_FALSE(got->lists);
}

TEST_F(PeersRpc, forwardGivesTheWholeAnswer)
{
    const ForwardedResult result = forward(There, Soon);
    EXPECT_EQ(result.result, WorkerResult::Done);
    EXPECT_EQ(result.body, "kbody");
}

TEST_F(PeersRpc, unreachablePeerSurelyGotNothing)
{
    EXPECT_EQ(forward(Nobody, Soon).result, WorkerResult::NotSent);
}

TEST_F(PeersRpc, silentPeerIsUncertainAndBlocksNobody)
{
    std::vector<PeerNode::ForwardDone> held;
    onForward = [&held](const ForwardedCall &, const PeerNode::ForwardDone &done) {
        held.push_back(done);
    };
    EXPECT_EQ(forward(There, Short).result, WorkerResult::Uncertain);
    onForward = [](const ForwardedCall &call, const PeerNode::ForwardDone &done) {
        done({call.request, WorkerResult::Done, "again", {}});
    };
    EXPECT_EQ(forward(There, Soon).body, "again");
}

TEST_F(PeersRpc, endsWithExchangesInFlight)
{
    std::vector<PeerNode::ForwardDone> held;
    onForward = [&held](const ForwardedCall &, const PeerNode::ForwardDone &done) {
        held.push_back(done);
    };
    const ForwardedCall call{RequestId("r"), CustomerId("c"), ServiceId("s"), "", Soon, ""};
    bool isAnswered = false;
    here.forward(There, call, Soon, [&](const ForwardedResult &) { isAnswered = true; });
    there->forward(Here, call, Soon, [&](const ForwardedResult &) { isAnswered = true; });
    while (held.empty() || heldHere.empty()) {
        context.run_one_for(std::chrono::seconds(10));
    }
    there.reset();
    EXPECT_FALSE(isAnswered);
}
