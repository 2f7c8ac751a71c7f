#include "Peers.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <optional>

using namespace firefly;

namespace {

const Endpoint SenderEndpoint{"127.0.0.1", 7391};
const Endpoint ReceiverEndpoint{"127.0.0.1", 7392};

HeartbeatReplyWithLists emptyReply(const Heartbeat & /*heartbeat*/)
{
    return {};
}

} // namespace

TEST(PeerShutdown, ADestroyedNodeCancelsItsForwardedCallInFlight)
{
    asio::io_context context;
    const auto work = asio::make_work_guard(context);
    std::optional<PeerNode::ForwardCallback> unansweredCall;
    PeerNode receiver(context, ReceiverEndpoint, emptyReply,
                      [&](const ForwardedCall &, const PeerNode::ForwardCallback &done) {
                          unansweredCall = done;
                      });
    auto sender =
        std::make_unique<PeerNode>(context, SenderEndpoint, emptyReply,
                                   [](const ForwardedCall &, const PeerNode::ForwardCallback &) {});
    int results = 0;
    sender->forward(ReceiverEndpoint, ForwardedCall{.request = RequestId("r1")},
                    std::chrono::minutes(1), [&](const ForwardedResult &) { ++results; });
    while (!unansweredCall) {
        context.run_one();
    }
    sender.reset();
    context.poll();
    EXPECT_EQ(results, 0);
}
