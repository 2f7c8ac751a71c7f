#include "Peers.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <optional>

using namespace firefly;

namespace {

const Endpoint AskerEndpoint{"127.0.0.1", 7391};
const Endpoint AskedEndpoint{"127.0.0.1", 7392};

HeartbeatReplyWithLists answerNothing(const Heartbeat & /*asked*/)
{
    return {};
}

} // namespace

TEST(PeerShutdown, ANodeEndsWhileAForwardedCallIsInFlight)
{
    asio::io_context context;
    const auto work = asio::make_work_guard(context);
    std::optional<PeerNode::ForwardDone> kept;
    PeerNode asked(context, AskedEndpoint, answerNothing,
                   [&](const ForwardedCall &, const PeerNode::ForwardDone &done) { kept = done; });
    auto asker =
        std::make_unique<PeerNode>(context, AskerEndpoint, answerNothing,
                                   [](const ForwardedCall &, const PeerNode::ForwardDone &) {});
    int results = 0;
    asker->forward(AskedEndpoint, ForwardedCall{.request = RequestId("r1")},
                   std::chrono::minutes(1), [&](const ForwardedResult &) { ++results; });
    while (!kept) {
        context.run_one();
    }
    asker.reset();
    context.poll();
    EXPECT_EQ(results, 0);
}
