#include "Peers.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

using namespace firefly;

namespace {

constexpr Duration LongTimeout = std::chrono::seconds(5);
constexpr Duration ShortTimeout = std::chrono::milliseconds(50);
const Endpoint FirstEndpoint{"127.0.0.1", 18551};
const Endpoint SecondEndpoint{"127.0.0.1", 18552};
const Endpoint UnusedEndpoint{"127.0.0.1", 18553};

/// Two nodes on loopback that reply to heartbeats.  The second one handles forwarded calls with
/// `onForward`, the first one never replies to them.
class PeersRpc : public testing::Test
{
protected:
    static HeartbeatReplyWithLists replyToHeartbeat(const Heartbeat &heartbeat)
    {
        HeartbeatReplyWithLists reply;
        reply.reply.heartbeat.from = EntryId("b");
        reply.reply.heartbeat.shards = heartbeat.shards;
        reply.reply.superseded = {{ShardId("z/r1"), 9}};
        return reply;
    }

    /// Runs the event loop until \a done is true.
    void runUntil(const bool &done)
    {
        while (!done) {
            context.run_one_for(std::chrono::seconds(10));
        }
    }

    ForwardedResult forward(const Endpoint &to, Duration timeout)
    {
        bool isDone = false;
        ForwardedResult received;
        const ForwardedCall call{RequestId("r"), CustomerId("c"), ServiceId("s"), "k",
                                 LongTimeout,    "body"};
        first.forward(to, call, timeout, [&](ForwardedResult result) {
            received = std::move(result);
            isDone = true;
        });
        runUntil(isDone);
        return received;
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard{context.get_executor()};
    PeerNode::ForwardHandler onForward = [](const ForwardedCall &call,
                                            const PeerNode::ForwardCallback &done) {
        done({call.request, WorkerResult::Done, call.key + call.body, {}});
    };
    std::vector<PeerNode::ForwardCallback> unansweredByFirst; ///< Calls to the first node.
    PeerNode first{context, FirstEndpoint, replyToHeartbeat,
                   [this](const ForwardedCall &, const PeerNode::ForwardCallback &done) {
                       unansweredByFirst.push_back(done);
                   }};
    std::optional<PeerNode> second{
        std::in_place, context, SecondEndpoint, replyToHeartbeat,
        [this](const ForwardedCall &call, const PeerNode::ForwardCallback &done) {
            onForward(call, done);
        }};
};

} // namespace

TEST_F(PeersRpc, heartbeatAndItsReplyKeepTheirFields)
{
    Heartbeat heartbeat;
    heartbeat.from = EntryId("a");
    heartbeat.shards = {{ShardId("z/r1"), 7, 3}};
    bool isDone = false;
    std::optional<HeartbeatReplyWithLists> received;
    first.heartbeat(SecondEndpoint, heartbeat, LongTimeout,
                    [&](std::optional<HeartbeatReplyWithLists> reply) {
                        received = std::move(reply);
                        isDone = true;
                    });
    runUntil(isDone);
    ASSERT_TRUE(received);
    EXPECT_EQ(received->reply.heartbeat.from, EntryId("b"));
    ASSERT_EQ(received->reply.heartbeat.shards.size(), 1U);
    EXPECT_EQ(received->reply.heartbeat.shards[0].freeSlots, 3);
    EXPECT_EQ(received->reply.superseded[0].term, 9U);
    EXPECT_FALSE(received->lists);
}

TEST_F(PeersRpc, forwardedCallReturnsTheResultOfThePeer)
{
    const ForwardedResult result = forward(SecondEndpoint, LongTimeout);
    EXPECT_EQ(result.result, WorkerResult::Done);
    EXPECT_EQ(result.body, "kbody");
}

TEST_F(PeersRpc, callToAnUnreachablePeerIsNotSent)
{
    EXPECT_EQ(forward(UnusedEndpoint, LongTimeout).result, WorkerResult::NotSent);
}

TEST_F(PeersRpc, timedOutCallIsUncertainAndTheNextOneSucceeds)
{
    std::vector<PeerNode::ForwardCallback> unanswered;
    onForward = [&unanswered](const ForwardedCall &, const PeerNode::ForwardCallback &done) {
        unanswered.push_back(done);
    };
    EXPECT_EQ(forward(SecondEndpoint, ShortTimeout).result, WorkerResult::Uncertain);
    onForward = [](const ForwardedCall &call, const PeerNode::ForwardCallback &done) {
        done({call.request, WorkerResult::Done, "again", {}});
    };
    EXPECT_EQ(forward(SecondEndpoint, LongTimeout).body, "again");
}

TEST_F(PeersRpc, destroyedNodeCancelsCallsInFlight)
{
    std::vector<PeerNode::ForwardCallback> unanswered;
    onForward = [&unanswered](const ForwardedCall &, const PeerNode::ForwardCallback &done) {
        unanswered.push_back(done);
    };
    const ForwardedCall call{RequestId("r"), CustomerId("c"), ServiceId("s"), "", LongTimeout, ""};
    bool isAnswered = false;
    first.forward(SecondEndpoint, call, LongTimeout,
                  [&](const ForwardedResult &) { isAnswered = true; });
    second->forward(FirstEndpoint, call, LongTimeout,
                    [&](const ForwardedResult &) { isAnswered = true; });
    while (unanswered.empty() || unansweredByFirst.empty()) {
        context.run_one_for(std::chrono::seconds(10));
    }
    second.reset();
    EXPECT_FALSE(isAnswered);
}
