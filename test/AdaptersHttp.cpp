#include "Adapters.h"
#include "fakes/FakeHttpServer.h"

#include <gtest/gtest.h>

using namespace firefly;
using namespace firefly::fakes;

namespace {

constexpr Duration LongTimeout = std::chrono::minutes(5);
constexpr Duration ShortTimeout = std::chrono::milliseconds(50);

class AdaptersHttp : public testing::Test
{
protected:
    /// Starts an exchange; the returned object receives its result.
    std::shared_ptr<std::optional<HttpResult>> start(Duration timeout, HttpExchange exchange = {})
    {
        auto received = std::make_shared<std::optional<HttpResult>>();
        if (exchange.url.empty()) {
            exchange.url = baseUrl(server.endpoint()) + "/x";
        }
        exchange.timeout = timeout;
        loop.start(std::move(exchange),
                   [received](HttpResult result) { *received = std::move(result); });
        return received;
    }

    template <typename Result>
    void runUntilReceived(const Result &result)
    {
        while (!result->has_value()) {
            context.run_one();
        }
    }

    HttpResult exchange(Duration timeout, HttpExchange request = {})
    {
        const auto result = start(timeout, std::move(request));
        runUntilReceived(result);
        return result->value();
    }

    asio::io_context context;
    CurlLoop loop{context};
    FakeHttpServer server{context};
};

HttpExchange postTo(const FakeHttpServer &server)
{
    HttpExchange exchange;
    exchange.method = "POST";
    exchange.url = baseUrl(server.endpoint()) + "/x";
    return exchange;
}

WorkerInfo workerAt(const FakeHttpServer &server)
{
    WorkerInfo worker;
    worker.id = WorkerId("w1");
    worker.endpoint = server.endpoint();
    return worker;
}

WorkerCall callOf(const char *request)
{
    WorkerCall call;
    call.request = RequestId(request);
    call.service = ServiceId("swap");
    call.body = "{}";
    call.timeout = LongTimeout;
    return call;
}

} // namespace

TEST_F(AdaptersHttp, completeResponseIsDeliveredAndItsConnectionIsReused)
{
    server.enqueue({okResponse("one", "X-Name:  value \r\n")});
    server.enqueue({okResponse("two")});

    const HttpResult first = exchange(LongTimeout);
    const HttpResult second = exchange(LongTimeout);

    EXPECT_TRUE(first.isSuccess());
    EXPECT_EQ(first.body, "one");
    EXPECT_EQ(first.header("x-name"), "value");
    EXPECT_EQ(second.body, "two");
    EXPECT_EQ(server.connections(), 1);
}

TEST_F(AdaptersHttp, refusedConnectionIsNotSent)
{
    asio::ip::tcp::acceptor closed(context, {asio::ip::address_v4::loopback(), 0});
    HttpExchange request;
    request.url = baseUrl({"127.0.0.1", closed.local_endpoint().port()});
    closed.close();

    const HttpResult result = exchange(LongTimeout, request);
    EXPECT_EQ(result.state, ExchangeState::NotSent);
    EXPECT_TRUE(result.isRefused);
}

TEST_F(AdaptersHttp, truncatedResponseIsUncertain)
{
    server.enqueue({"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true});

    EXPECT_EQ(exchange(LongTimeout).state, ExchangeState::Uncertain);
}

TEST_F(AdaptersHttp, truncatedChunkedResponseIsUncertain)
{
    server.enqueue({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true});

    EXPECT_EQ(exchange(LongTimeout).state, ExchangeState::Uncertain);
}

TEST_F(AdaptersHttp, responseDelimitedOnlyByCloseIsUncertain)
{
    server.enqueue({"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nperhaps all", true});

    EXPECT_EQ(exchange(LongTimeout).state, ExchangeState::Uncertain);
}

TEST_F(AdaptersHttp, connectionClosedWithoutResponseIsUncertain)
{
    server.enqueue({std::nullopt, true});

    EXPECT_EQ(exchange(LongTimeout).state, ExchangeState::Uncertain);
}

TEST_F(AdaptersHttp, responseOverTheBodyLimitIsUncertain)
{
    server.enqueue({okResponse(std::string(1000, 'x'))});
    HttpExchange request;
    request.maxResponseBytes = 999;

    const HttpResult result = exchange(LongTimeout, request);

    EXPECT_EQ(result.state, ExchangeState::Uncertain);
    EXPECT_LE(result.body.size(), request.maxResponseBytes);
}

TEST_F(AdaptersHttp, unansweredExchangeTimesOutAndBlocksNoOther)
{
    server.enqueue({std::nullopt});
    server.enqueue({okResponse("quick")});
    const auto silent = start(std::chrono::seconds(1));
    while (server.requests().empty()) {
        context.run_one();
    }

    EXPECT_EQ(exchange(LongTimeout).body, "quick");
    EXPECT_FALSE(silent->has_value());
    runUntilReceived(silent);
    EXPECT_EQ(silent->value().state, ExchangeState::Uncertain);
}

TEST_F(AdaptersHttp, connectionThatTimedOutIsNotReused)
{
    server.enqueue({std::nullopt});
    server.enqueue({okResponse("fresh")});
    exchange(ShortTimeout);

    EXPECT_EQ(exchange(LongTimeout).body, "fresh");
    EXPECT_EQ(server.connections(), 2);
}

/// By default libcurl retries a request if a reused connection breaks before any response byte.
TEST_F(AdaptersHttp, requestIsSentOnceWhenReusedConnectionBreaks)
{
    server.enqueue({okResponse("one")});
    server.enqueue({std::nullopt, true});
    server.enqueue({okResponse("repeated")});
    exchange(LongTimeout, postTo(server));

    EXPECT_EQ(exchange(LongTimeout, postTo(server)).state, ExchangeState::Uncertain);
    EXPECT_EQ(server.requests().size(), 2U);
}

TEST_F(AdaptersHttp, hostNamesAndLineBreaksInHeadersAreRejected)
{
    HttpExchange withHostName;
    withHostName.url = "http://localhost/";
    HttpExchange withLineEnd;
    withLineEnd.headers = {{"Firefly-Key", "a\r\nFirefly-Term: 9"}};

    EXPECT_THROW(start(LongTimeout, withHostName), std::invalid_argument);
    EXPECT_THROW(start(LongTimeout, withLineEnd), std::invalid_argument);
    EXPECT_EQ(loop.inFlight(), 0U);
}

TEST_F(AdaptersHttp, responseWithAnotherRequestIdIsNotDelivered)
{
    server.enqueue({okResponse("mine", "Firefly-Request-Id: r1\r\n")});
    server.enqueue({okResponse("not mine", "Firefly-Request-Id: r1\r\n")});
    HttpWorkerClient client(loop);
    std::vector<WorkerCallReply> replies;
    for (const char *request : {"r1", "r2"}) {
        client.call(workerAt(server), callOf(request),
                    [&replies](WorkerCallReply reply) { replies.push_back(std::move(reply)); });
        const std::size_t n = replies.size();
        while (replies.size() == n) {
            context.run_one();
        }
    }

    EXPECT_EQ(replies[0].result, WorkerResult::Done);
    EXPECT_EQ(replies[0].body, "mine");
    EXPECT_EQ(replies[1].result, WorkerResult::Uncertain);
    EXPECT_TRUE(replies[1].body.empty());
}

TEST_F(AdaptersHttp, appendWithoutCompleteSuccessResponseIsUncertain)
{
    server.enqueue({okResponse(R"({"first":1,"tail":1})")});
    server.enqueue({"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"first\":", true});
    server.enqueue({"HTTP/1.1 503 Error\r\nContent-Length: 0\r\n\r\n"});
    HttpLogClient client(loop, server.endpoint(), "entry-1", LongTimeout);
    std::vector<AppendResult> results;
    for (std::size_t n = 1; n <= 3; ++n) {
        client.append({{{WriterId("a.1"), n, JobCancelled{JobId("j")}}}},
                      [&results](AppendResult result) { results.push_back(result); });
        while (results.size() < n) {
            context.run_one();
        }
    }

    EXPECT_EQ(results[0], AppendResult::Done);
    EXPECT_EQ(results[1], AppendResult::Uncertain);
    EXPECT_EQ(results[2], AppendResult::Uncertain);
}
