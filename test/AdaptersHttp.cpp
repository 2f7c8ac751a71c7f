#include "Adapters.h"
#include "fakes/FakeHttpPeer.h"

#include <gtest/gtest.h>

using namespace firefly;
using namespace firefly::fakes;

namespace {

constexpr Duration Long = std::chrono::minutes(5);
constexpr Duration Short = std::chrono::milliseconds(50);

class AdaptersHttp : public testing::Test
{
protected:
    /// Starts an exchange; its result is put into the returned place.
    std::shared_ptr<std::optional<HttpResult>> start(Duration timeout, HttpExchange exchange = {})
    {
        auto place = std::make_shared<std::optional<HttpResult>>();
        if (exchange.url.empty()) {
            exchange.url = baseUrl(peer.endpoint()) + "/x";
        }
        exchange.timeout = timeout;
        loop.start(std::move(exchange), [place](HttpResult result) { *place = std::move(result); });
        return place;
    }

    template <typename Place>
    void runUntil(const Place &place)
    {
        while (!place->has_value()) {
            context.run_one();
        }
    }

    HttpResult exchange(Duration timeout, HttpExchange request = {})
    {
        const auto place = start(timeout, std::move(request));
        runUntil(place);
        return place->value();
    }

    asio::io_context context;
    CurlLoop loop{context};
    FakeHttpPeer peer{context};
};

HttpExchange postTo(const FakeHttpPeer &peer)
{
    HttpExchange exchange;
    exchange.method = "POST";
    exchange.url = baseUrl(peer.endpoint()) + "/x";
    return exchange;
}

WorkerInfo workerAt(const FakeHttpPeer &peer)
{
    WorkerInfo worker;
    worker.id = WorkerId("w1");
    worker.endpoint = peer.endpoint();
    return worker;
}

WorkerCall callOf(const char *request)
{
    WorkerCall call;
    call.request = RequestId(request);
    call.service = ServiceId("swap");
    call.body = "{}";
    call.timeout = Long;
    return call;
}

} // namespace

TEST_F(AdaptersHttp, wholeAnswerIsPassedOnAndItsConnectionIsReused)
{
    peer.expect({wholeAnswer("one", "X-Name:  value \r\n")});
    peer.expect({wholeAnswer("two")});

    const HttpResult first = exchange(Long);
    const HttpResult second = exchange(Long);

    EXPECT_TRUE(first.isSuccess());
    EXPECT_EQ(first.body, "one");
    EXPECT_EQ(first.header("x-name"), "value");
    EXPECT_EQ(second.body, "two");
    EXPECT_EQ(peer.connections(), 1);
}

TEST_F(AdaptersHttp, refusedConnectionIsNotSent)
{
    asio::ip::tcp::acceptor closed(context, {asio::ip::address_v4::loopback(), 0});
    HttpExchange request;
    request.url = baseUrl({"127.0.0.1", closed.local_endpoint().port()});
    closed.close();

    EXPECT_EQ(exchange(Long, request).state, ExchangeState::NotSent);
}

TEST_F(AdaptersHttp, answerCutShortIsUncertain)
{
    peer.expect({"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true});

    EXPECT_EQ(exchange(Long).state, ExchangeState::Uncertain);
}

TEST_F(AdaptersHttp, chunkedAnswerCutShortIsUncertain)
{
    peer.expect({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true});

    EXPECT_EQ(exchange(Long).state, ExchangeState::Uncertain);
}

TEST_F(AdaptersHttp, answerWithoutMarkedEndIsUncertain)
{
    peer.expect({"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nperhaps all", true});

    EXPECT_EQ(exchange(Long).state, ExchangeState::Uncertain);
}

TEST_F(AdaptersHttp, lostReplyIsUncertain)
{
    peer.expect({std::nullopt, true});

    EXPECT_EQ(exchange(Long).state, ExchangeState::Uncertain);
}

TEST_F(AdaptersHttp, answerOverTheBodyLimitIsUncertain)
{
    peer.expect({wholeAnswer(std::string(1000, 'x'))});
    HttpExchange request;
    request.maxBody = 999;

    const HttpResult result = exchange(Long, request);

    EXPECT_EQ(result.state, ExchangeState::Uncertain);
    EXPECT_LE(result.body.size(), request.maxBody);
}

TEST_F(AdaptersHttp, silentConnectionEndsAtItsDeadlineAndBlocksNobody)
{
    peer.expect({std::nullopt});
    peer.expect({wholeAnswer("quick")});
    const auto silent = start(std::chrono::seconds(1));
    while (peer.requests().empty()) {
        context.run_one();
    }

    EXPECT_EQ(exchange(Long).body, "quick");
    EXPECT_FALSE(silent->has_value());
    runUntil(silent);
    EXPECT_EQ(silent->value().state, ExchangeState::Uncertain);
}

TEST_F(AdaptersHttp, connectionThatTimedOutIsNotReused)
{
    peer.expect({std::nullopt});
    peer.expect({wholeAnswer("fresh")});
    exchange(Short);

    EXPECT_EQ(exchange(Long).body, "fresh");
    EXPECT_EQ(peer.connections(), 2);
}

/// libcurl repeats a request by itself when a reused connection breaks before any answer byte.
TEST_F(AdaptersHttp, requestIsSentOnceWhenReusedConnectionBreaks)
{
    peer.expect({wholeAnswer("one")});
    peer.expect({std::nullopt, true});
    peer.expect({wholeAnswer("repeated")});
    exchange(Long, postTo(peer));

    EXPECT_EQ(exchange(Long, postTo(peer)).state, ExchangeState::Uncertain);
    EXPECT_EQ(peer.requests().size(), 2U);
}

TEST_F(AdaptersHttp, namesAndLineEndsAreRejected)
{
    HttpExchange named;
    named.url = "http://localhost/";
    HttpExchange split;
    split.headers = {{"Firefly-Key", "a\r\nFirefly-Term: 9"}};

    EXPECT_THROW(start(Long, named), std::invalid_argument);
    EXPECT_THROW(start(Long, split), std::invalid_argument);
    EXPECT_EQ(loop.inFlight(), 0U);
}

TEST_F(AdaptersHttp, answerToAnotherRequestIsNotPassedOn)
{
    peer.expect({wholeAnswer("mine", "Firefly-Request-Id: r1\r\n")});
    peer.expect({wholeAnswer("not mine", "Firefly-Request-Id: r1\r\n")});
    HttpWorkerClient client(loop);
    std::vector<WorkerCallReply> replies;
    for (const char *request : {"r1", "r2"}) {
        client.call(workerAt(peer), callOf(request),
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

TEST_F(AdaptersHttp, appendWithoutWholeAnswerIsUncertain)
{
    peer.expect({wholeAnswer(R"({"first":1,"tail":1})")});
    peer.expect({"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"first\":", true});
    peer.expect({"HTTP/1.1 503 Error\r\nContent-Length: 0\r\n\r\n"});
    HttpLogClient client(loop, peer.endpoint(), "entry-1", Long);
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
