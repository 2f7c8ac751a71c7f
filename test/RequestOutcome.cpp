#include "Node/RequestOutcome.h"

#include "fakes/FakeHttpServer.h"
#include "Node/RequestForwarder.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// Forwards a submission to an owner and returns what the front makes of its answer.
struct Front
{
    explicit Front(CurlLoopOptions options = {})
        : curl(context, options)
    {}

    CallerReply forward(const Endpoint &owner, Duration timeout = 5s)
    {
        std::optional<CallerReply> reply;
        start(owner, timeout, reply);
        while (!reply) {
            context.run_one();
        }
        return *reply;
    }

    void start(const Endpoint &owner, Duration timeout, std::optional<CallerReply> &reply)
    {
        HttpExchange exchange;
        exchange.method = "POST";
        exchange.url = baseUrl(owner) + "/jobs/0/a";
        exchange.timeout = timeout;
        curl.start(std::move(exchange), [&reply](const HttpResult &result) {
            reply = RequestForwarder::toReply(result);
        });
    }

    asio::io_context context;
    CurlLoop curl;
    fakes::FakeHttpServer server{context};
};

CallerOutcome toldAfter(CallerVerb verb, std::initializer_list<CallerOutcome> attempts)
{
    RequestOutcome outcome(verb);
    for (const CallerOutcome it : attempts) {
        outcome.record(it);
    }
    return outcome.told(*(attempts.end() - 1));
}

TEST(RequestOutcome, OfAnOwnerThatIsGoneIsNotRun)
{
    EXPECT_EQ(Front().forward({"127.0.0.1", 1}).outcome, CallerOutcome::NotRun);
}

TEST(RequestOutcome, OfAFrozenOwnerIsUnknown)
{
    Front front;
    front.server.enqueue({std::nullopt});
    EXPECT_EQ(front.forward(front.server.endpoint(), 50ms).outcome, CallerOutcome::Unknown);
}

TEST(RequestOutcome, OfAnOwnerLostAfterTheForwardIsUnknown)
{
    Front front;
    front.server.enqueue({std::nullopt, true});
    EXPECT_EQ(front.forward(front.server.endpoint()).outcome, CallerOutcome::Unknown);
}

TEST(RequestOutcome, OfARequestThatWaitedForAConnectionIsNotRun)
{
    CurlLoopOptions options;
    options.maxConnectionsPerHost = 1;
    Front front(options);
    front.server.enqueue({std::nullopt});
    std::optional<CallerReply> first;
    front.start(front.server.endpoint(), 5s, first);
    EXPECT_EQ(front.forward(front.server.endpoint(), 50ms).outcome, CallerOutcome::NotRun);
}

TEST(RequestOutcome, OfAnOwnerWhoseServerRefusedTheRequestIsNotRun)
{
    Front front;
    front.server.enqueue({"HTTP/1.1 503 Service Unavailable\r\nFirefly-Outcome: not-run\r\n"
                          "Content-Length: 0\r\n\r\n"});
    front.server.enqueue({"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"});
    EXPECT_EQ(front.forward(front.server.endpoint()).outcome, CallerOutcome::NotRun);
    EXPECT_EQ(front.forward(front.server.endpoint()).outcome, CallerOutcome::Unknown);
}

TEST(RequestOutcome, OfAnOwnerWithoutItsStoreCarriesTheAdvice)
{
    CallerReply refusal{CallerOutcome::Refused, JobState::Queued, 0, "the store is unavailable"};
    refusal.retryAfter = 3s;
    const HttpResponse response = RequestForwarder::toResponse(refusal);
    EXPECT_EQ(RequestForwarder::decodeReply(response.body).outcome, CallerOutcome::Refused)
        << "as read by a process of an earlier version";
    HttpResult result;
    result.state = ExchangeState::Complete;
    result.statusCode = 200;
    result.body = response.body;
    EXPECT_EQ(RequestForwarder::toReply(result).retryAfter, std::nullopt);
    for (const auto &[name, value] : response.headers) {
        result.headers.push_back({name, value});
    }
    EXPECT_EQ(RequestForwarder::toReply(result).retryAfter, Duration(3s));
}

TEST(RequestOutcome, ThatMayHaveRunIsNeverToldAsNotRun)
{
    using enum CallerOutcome;
    for (const CallerVerb verb : {CallerVerb::Submit, CallerVerb::Cancel}) {
        EXPECT_EQ(toldAfter(verb, {NotRun}), NotRun);
        EXPECT_EQ(toldAfter(verb, {NotRun, Refused}), Refused);
        EXPECT_EQ(toldAfter(verb, {NotRun, Elsewhere}), NotRun);
        EXPECT_EQ(toldAfter(verb, {Unknown, NotRun}), Unknown);
        EXPECT_EQ(toldAfter(verb, {Unknown, Refused}), Unknown);
        EXPECT_EQ(toldAfter(verb, {Unknown, Elsewhere}), Unknown);
        EXPECT_EQ(toldAfter(verb, {Unknown, Done}), Done);
    }
}

// Queries that a frozen owner did not answer got 504, after which clients don't ask again.
TEST(RequestOutcome, OfAReadWithoutAnAnswerIsNotRun)
{
    for (const CallerVerb verb : {CallerVerb::Query, CallerVerb::CountPending}) {
        EXPECT_EQ(toldAfter(verb, {CallerOutcome::Unknown}), CallerOutcome::NotRun);
    }
}

TEST(RequestOutcome, ThatMayHaveRunIsAskedForAgainAfterARefusal)
{
    RequestOutcome outcome(CallerVerb::Submit);
    EXPECT_TRUE(outcome.isSettledBy(CallerOutcome::Refused));
    outcome.record(CallerOutcome::Unknown);
    EXPECT_FALSE(outcome.isSettledBy(CallerOutcome::Unknown));
    EXPECT_FALSE(outcome.isSettledBy(CallerOutcome::Refused));
    EXPECT_TRUE(outcome.isSettledBy(CallerOutcome::Done));
}

} // namespace
} // namespace firefly
