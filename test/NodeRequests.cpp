#include "Node/RequestForwarder.h"
#include "Node/RequestRouter.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <vector>

namespace firefly {
namespace {

/// A router in a process that knows one queue and can't reach the store.
struct RouterWithoutStore
{
    RouterWithoutStore()
    {
        FleetConfig config;
        config.version = 1;
        Route route;
        route.host = "a.example";
        route.pathPrefix = "/q/";
        route.timeout = std::chrono::milliseconds(3000);
        config.routes.push_back(route);
        routes.apply(std::move(config));
    }

    void submit(const std::string &job)
    {
        HttpRequest request;
        request.method = "POST";
        request.path = "/q/" + job;
        request.headers = {{"host", "a.example"}};
        router.handle(std::move(request),
                      [this](HttpResponse response) { responses.push_back(std::move(response)); });
    }

    static NodeSettings makeSettings()
    {
        NodeSettings settings;
        settings.node = "n";
        settings.storeEndpoint = {"127.0.0.1", 1};
        return settings;
    }

    asio::io_context context{1};
    NodeSettings settings = makeSettings();
    EventLog log{"n", LogLevel::Error, LogStream::Error, 1};
    Metrics metrics;
    CurlLoop curl{context};
    platform::StoreClient store{curl, settings.storeEndpoint};
    StoreRetryPolicy retries{1};
    platform::WorkerClient workers{curl};
    RouteTable routes;
    CellSet cells{context, settings, {}, store, retries, workers, log, metrics};
    RequestForwarder forwarder{curl, cells, [](std::string_view) { return JobSpec(); }};
    RequestRouter router{context, routes, cells, forwarder, log, metrics};
    std::vector<HttpResponse> responses;
};

// A request that still looked for an owner when the grace period was over got no answer at all
// (LOST on qhs-reminders-grown, trouble-2).
TEST(NodeRequests, AProcessThatIsAboutToStopAnswersEveryOpenRequest)
{
    RouterWithoutStore node;
    node.submit("0123456789abcdef");
    node.submit("0123456789abcde0");
    EXPECT_EQ(node.router.inFlight(), 2U);
    node.router.drain();
    node.router.finishAll();
    EXPECT_EQ(node.router.inFlight(), 0U);
    ASSERT_EQ(node.responses.size(), 2U);
    for (const HttpResponse &it : node.responses) {
        EXPECT_EQ(it.status, 503) << "no owner was asked";
        EXPECT_TRUE(it.closesConnection);
    }
    node.submit("0123456789abcde1");
    ASSERT_EQ(node.responses.size(), 3U) << "a late request on an open connection";
    EXPECT_EQ(node.responses.back().status, 503);
}

TEST(NodeRequests, AMalformedAnswerOfAnotherNodeIsOfUnknownOutcome)
{
    for (const char *body : {"", "{", "[]", "[0,0,0,\"\"]", R"([99,0,0,"",0])", R"([-1,0,0,"",0])",
                             R"([0,9,0,"",0])", R"(["0",0,0,"",0])", R"([0,0,"x","",0])",
                             R"([0,0,0,7,0])", R"([0,0,0,"",null])", "\xff"}) {
        EXPECT_EQ(RequestForwarder::decodeReply(body).outcome, CallerOutcome::Unknown) << body;
    }
    EXPECT_EQ(RequestForwarder::decodeReply(R"([0,2,0,"",-1])").state, JobState::Completed);
}

} // namespace
} // namespace firefly
