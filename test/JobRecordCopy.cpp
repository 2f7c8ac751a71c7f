#include "Node/JobRecordCopy.h"

#include "Adapters/CurlLoop.h"
#include "Http/HttpServer.h"
#include "platform/standins/StoreStandin.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

using Records = std::map<std::string, std::string>;

/// A copy of a topic whose store delays chosen reads, or refuses all calls.
class JobRecordCopyTest : public testing::Test
{
protected:
    void handle(const HttpRequest &request, HttpServer::Respond respond)
    {
        if (holdsReads && request.path == "/log-read") {
            heldReads.emplace_back(request, std::move(respond));
            return;
        }
        store.handle(request, std::move(respond));
    }

    void releaseReads()
    {
        holdsReads = false;
        for (auto &[request, respond] : std::exchange(heldReads, {})) {
            store.handle(request, std::move(respond));
        }
    }

    void put(const std::string &key, const std::string &value)
    {
        store.put(platform::jobTopic(0).topic, key, value);
        ++end;
    }

    void load()
    {
        copy = std::make_unique<JobRecordCopy>(context, client, retries, 0, [] {});
        ASSERT_TRUE(runUntil([this] { return copy->loadedAt().has_value(); }));
    }

    /// Reads up to the end of the topic; unset if that doesn't come to an end.
    std::optional<bool> readToEnd()
    {
        std::optional<bool> result;
        copy->readTo(end, [&result](bool isComplete) { result = isComplete; });
        runUntil([&result] { return result.has_value(); });
        return result;
    }

    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const auto limit = std::chrono::steady_clock::now() + 5s;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            context.run_for(1ms);
        }
        return condition();
    }

    asio::io_context context{1};
    platform::StoreStandin store{context};
    bool holdsReads = false;
    std::vector<std::pair<HttpRequest, HttpServer::Respond>> heldReads;
    std::uint64_t end = 0; ///< Of the topic.
    Endpoint endpoint{"127.0.0.1", 18751};
    HttpServer server{context, endpoint, HttpLimits{},
                      [this](const HttpRequest &request, HttpServer::Respond respond) {
                          handle(request, std::move(respond));
                      }};
    CurlLoop curl{context};
    platform::StoreClient client{curl, endpoint};
    StoreRetryPolicy retries{1};
    std::unique_ptr<JobRecordCopy> copy;
};

// Guards against a new owner that misses records which the earlier owner appended last.
TEST_F(JobRecordCopyTest, IncludesAllRecordsAndRemovalsBeforeTheEnd)
{
    put("a", "1");
    put("b", "1");
    load();
    holdsReads = true;
    context.run_for(50ms);
    put("a", "2");
    put("b", "");
    put("c", "1");
    holdsReads = false;
    EXPECT_EQ(readToEnd(), true);
    EXPECT_EQ(copy->records(), (Records{{"a", "2"}, {"c", "1"}}));
}

TEST_F(JobRecordCopyTest, IsCompleteAtOnceIfNothingWasAppended)
{
    put("a", "1");
    load();
    std::optional<bool> result;
    copy->readTo(end, [&result](bool isComplete) { result = isComplete; });
    EXPECT_EQ(result, true);
}

// Guards against keys that were removed in records which the store has trimmed unread.
TEST_F(JobRecordCopyTest, LoadsAgainWhatWasTrimmedUnread)
{
    constexpr int MoreThanRetained = 500;
    put("a", "1");
    put("b", "1");
    holdsReads = true;
    load();
    put("b", "");
    for (int i = 0; i < MoreThanRetained; ++i) {
        put("c", std::to_string(i));
    }
    releaseReads();
    EXPECT_EQ(readToEnd(), true);
    EXPECT_EQ(copy->records(), (Records{{"a", "1"}, {"c", std::to_string(MoreThanRetained - 1)}}));
}

// Guards against a new owner that waits for a copy while the store fails.
TEST_F(JobRecordCopyTest, IsUselessAfterAFailedRead)
{
    put("a", "1");
    load();
    store.isUnavailable = true;
    ++end;
    EXPECT_EQ(readToEnd(), false);
}

// Guards against records of a newer owner that are taken for those of the earlier one.
TEST_F(JobRecordCopyTest, IsUselessWithRecordsAfterTheEnd)
{
    put("a", "1");
    put("a", "2");
    load();
    --end;
    EXPECT_EQ(readToEnd(), false);
}

} // namespace
} // namespace firefly
