#include "Node/TopicFollower.h"

#include "Adapters/CurlLoop.h"
#include "Http/HttpServer.h"
#include "platform/standins/StoreStandin.h"
#include "platform/StoreClient.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// A store whose waiting reads are not woken by appends, and a follower of one of its topics.
class TopicFollowerTest : public testing::Test
{
protected:
    TopicFollowerTest() { store.put("keyed.cells", "owner", "1"); }

    void handle(const HttpRequest &request, HttpServer::Respond respond)
    {
        const bool isWaiting = request.path == "/log-read" && !request.query.ends_with("wait_ms=0");
        if (!isWaiting) {
            store.handle(request, std::move(respond));
            return;
        }
        waitingReads.emplace_back(request, std::move(respond));
    }

    /// Lets the store answer the oldest waiting read.
    void answerOldestRead()
    {
        auto [request, respond] = std::move(waitingReads.front());
        waitingReads.erase(waitingReads.begin());
        store.handle(request, std::move(respond));
    }

    void follow()
    {
        TopicFollower::Callbacks callbacks;
        callbacks.onRecord = [this](const KeyedRecord &it) { values.push_back(it.value.value()); };
        callbacks.onSnapshot = [](const std::set<std::string> &) {};
        callbacks.onRead = [this](std::uint64_t end) { ends.push_back(end); };
        follower = std::make_unique<TopicFollower>(
            context, client, retries,
            TopicFollower::Options{platform::claimTopic(0), StoreReadKind::Ownership, 20s, {}},
            std::move(callbacks));
    }

    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.run_for(1ms);
        }
        return condition();
    }

    using Values = std::vector<std::string>;

    asio::io_context context{1};
    platform::StoreStandin store{context};
    std::vector<std::pair<HttpRequest, HttpServer::Respond>> waitingReads;
    Endpoint endpoint{"127.0.0.1", 18731};
    HttpServer server{context, endpoint, HttpLimits{},
                      [this](const HttpRequest &request, HttpServer::Respond respond) {
                          handle(request, std::move(respond));
                      }};
    CurlLoop curl{context};
    platform::StoreClient client{curl, endpoint};
    StoreRetryPolicy retries{1};
    std::unique_ptr<TopicFollower> follower;
    Values values;
    std::vector<std::uint64_t> ends;
};

// Guards against a follower that waits in a read which the store doesn't wake, though its user
// knows that the topic has grown; and against records that the waiting read returns again.
TEST_F(TopicFollowerTest, CatchUpReadsAtOnceBesideAWaitingRead)
{
    follow();
    ASSERT_TRUE(runUntil([this] { return waitingReads.size() == 1; }));
    store.put("keyed.cells", "owner", "2");
    store.put("keyed.cells", "owner", "3");
    follower->catchUp(3);
    ASSERT_TRUE(runUntil([this] { return waitingReads.size() == 2; }));
    EXPECT_EQ(values, (Values{"1", "2", "3"}));
    EXPECT_EQ(ends, (std::vector<std::uint64_t>{1, 3}));

    answerOldestRead(); // From the position before the records that were read meanwhile.
    context.run_for(200ms);
    EXPECT_EQ(values, (Values{"1", "2", "3"}));
    EXPECT_EQ(ends, (std::vector<std::uint64_t>{1, 3}));
    ASSERT_EQ(waitingReads.size(), 1U) << "one read follows the topic";

    store.put("keyed.cells", "owner", "4");
    answerOldestRead();
    ASSERT_TRUE(runUntil([this] { return waitingReads.size() == 1; }));
    EXPECT_EQ(values, (Values{"1", "2", "3", "4"}));
    EXPECT_EQ(ends.back(), 4U);
}

// Guards against needless calls to the store, which are priced.
TEST_F(TopicFollowerTest, CatchUpDoesNotReadWhatWasRead)
{
    follow();
    ASSERT_TRUE(runUntil([this] { return waitingReads.size() == 1; }));
    follower->catchUp(1);
    context.run_for(100ms);
    EXPECT_EQ(waitingReads.size(), 1U);
    EXPECT_EQ(ends, (std::vector<std::uint64_t>{1}));
}

} // namespace
} // namespace firefly
