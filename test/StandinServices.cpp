#include "Adapters.h"
#include "LogService.h"
#include "VmListService.h"
#include "WorkerService.h"

#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <optional>

using namespace firefly;
using namespace firefly::standins;

namespace {

constexpr Duration LongTimeout = std::chrono::minutes(5);
constexpr Duration ShortTimeout = std::chrono::milliseconds(100);
constexpr Duration VmListLag = std::chrono::seconds(2);

Endpoint findFreeEndpoint(asio::io_context &context)
{
    const asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

/// Runs a simulated service on a free port and its clients on the same io_context.
class StandinServices : public testing::Test
{
protected:
    template <typename Service>
    Endpoint serve(Service &service)
    {
        while (true) {
            Endpoint endpoint = findFreeEndpoint(context);
            try {
                server = std::make_unique<HttpServer>(
                    context, endpoint,
                    [&service](const ServerRequest &request, const Responder &responder) {
                        service.handle(request, responder);
                    });
                return endpoint;
            } catch (const std::exception &) {
                continue; // Another process took the port after findFreeEndpoint() released it.
            }
        }
    }

    /// Runs the io_context until the callback that \a start gets is called; returns its arguments.
    template <typename Result, typename Start>
    Result await(Start start)
    {
        std::optional<Result> result;
        start([&result](auto &&...arguments) {
            result.emplace(std::forward<decltype(arguments)>(arguments)...);
        });
        while (!result) {
            context.run_one();
        }
        return *result;
    }

    HttpResult post(const Endpoint &endpoint, const std::string &path, const std::string &body)
    {
        HttpExchange exchange;
        exchange.method = "POST";
        exchange.url = baseUrl(endpoint) + path;
        exchange.body = body;
        exchange.timeout = LongTimeout;
        return await<HttpResult>(
            [&](auto done) { loop.start(std::move(exchange), std::move(done)); });
    }

    AppendResult appendTwoRecords(HttpLogClient &client, std::uint64_t sequence)
    {
        const LogAppend batch{{{WriterId("a.1"), sequence, JobCancelled{JobId("j")}},
                               {WriterId("a.1"), sequence + 1, JobCancelled{JobId("j")}}}};
        return await<AppendResult>([&](auto done) { client.append(batch, std::move(done)); });
    }

    std::optional<LogRead> read(HttpLogClient &client, Offset from)
    {
        return await<std::optional<LogRead>>(
            [&](auto done) { client.read(from, 100, std::move(done)); });
    }

    asio::io_context context;
    CurlLoop loop{context};
    std::unique_ptr<HttpServer> server;
};

/// Runs a WorkerService with the single worker w1.
class WorkerServiceTest : public StandinServices
{
protected:
    WorkerServiceTest()
    {
        info.id = WorkerId("w1");
        info.capacity = {4000, 4000, 0, 2};
        service = std::make_unique<WorkerService>(context, std::vector<WorkerInfo>{info}, "b", 1);
        info.endpoint = serve(*service);
    }

    WorkerCallReply call(const char *request, Term term, Duration timeout = LongTimeout)
    {
        WorkerCall message;
        message.term = term;
        message.request = RequestId(request);
        message.service = ServiceId("swap");
        message.body = "{}";
        message.timeout = timeout;
        return await<WorkerCallReply>(
            [&](auto done) { client.call(info, message, std::move(done)); });
    }

    void setFaults(const std::string &faults)
    {
        EXPECT_TRUE(post(info.endpoint, "/workers/w1/faults", faults).isSuccess());
    }

    WorkerInfo info;
    std::unique_ptr<WorkerService> service;
    HttpWorkerClient client{loop, LongTimeout};
};

} // namespace

TEST_F(StandinServices, appendWithLostReplyIsStoredAndUncertain)
{
    LogService log(context, {});
    const Endpoint endpoint = serve(log);
    HttpLogClient client(loop, endpoint, "entry-1", LongTimeout);
    post(endpoint, "/faults", R"({"loseReplies": 1})");

    EXPECT_EQ(appendTwoRecords(client, 1), AppendResult::Uncertain);
    EXPECT_EQ(appendTwoRecords(client, 3), AppendResult::Done);
    const auto slice = read(client, 1);
    ASSERT_TRUE(slice.has_value());
    ASSERT_EQ(slice->envelopes.size(), 4U);
    EXPECT_EQ(slice->envelopes[3].offset, 4U);
    EXPECT_EQ(slice->envelopes[3].envelope.sequence, 4U);
}

TEST_F(StandinServices, trimmingAdvancesHeadAndKeepsOffsets)
{
    LogService log(context, {});
    const Endpoint endpoint = serve(log);
    HttpLogClient client(loop, endpoint, "entry-1", LongTimeout);
    appendTwoRecords(client, 1);
    post(endpoint, "/faults", R"({"trimTo": 2})");

    const auto slice = read(client, 1);

    ASSERT_TRUE(slice.has_value());
    EXPECT_EQ(slice->head, 2U);
    EXPECT_EQ(slice->tail, 2U);
    ASSERT_EQ(slice->envelopes.size(), 1U);
    EXPECT_EQ(slice->envelopes[0].offset, 2U);
}

TEST_F(StandinServices, partitionedClientFailsWhileOthersReachTheLog)
{
    LogService log(context, {});
    const Endpoint endpoint = serve(log);
    HttpLogClient partitioned(loop, endpoint, "entry-1", LongTimeout);
    HttpLogClient other(loop, endpoint, "entry-2", LongTimeout);
    post(endpoint, "/faults", R"({"cutClients": ["entry-1"]})");

    EXPECT_FALSE(read(partitioned, 1).has_value());
    EXPECT_EQ(appendTwoRecords(partitioned, 1), AppendResult::Uncertain);
    EXPECT_EQ(appendTwoRecords(other, 1), AppendResult::Done);
    EXPECT_EQ(read(other, 1)->tail, 2U);
}

TEST_F(StandinServices, vmListChangesBecomeVisibleAfterTheLag)
{
    Clock::pause(TimePoint(VmListLag));
    VmListService vms(VmListLag);
    const Endpoint endpoint = serve(vms);
    HttpVmListClient client(loop, endpoint, LongTimeout);
    const auto states = [&] {
        const auto list = await<std::optional<VmList>>([&](auto done) { client.read(done); });
        std::vector<VmState> entryStates;
        for (const EntryInfo &entry : list.value().entries) {
            entryStates.push_back(entry.state);
        }
        return entryStates;
    };
    post(endpoint, "/vms", R"({"entries": [{"id": "e1", "zone": "z", "state": "live",
                               "peerEndpoint": {"address": "127.0.0.1", "port": 1}}]})");

    EXPECT_EQ(states(), std::vector<VmState>{});
    Clock::advance(VmListLag);
    EXPECT_EQ(states(), std::vector<VmState>{VmState::Live});
    post(endpoint, "/vms/e1/leaving", "");
    EXPECT_EQ(states(), std::vector<VmState>{VmState::Live});
    Clock::advance(VmListLag);
    EXPECT_EQ(states(), std::vector<VmState>{VmState::Leaving});
    EXPECT_EQ(post(endpoint, "/vms", R"({"entries": [{"id": "e2"}]})").statusCode, 400);
    Clock::resume();
}

TEST_F(WorkerServiceTest, truncatedAnswerIsUncertainAlthoughTheCallRan)
{
    EXPECT_EQ(call("r1", 5).result, WorkerResult::Done);
    setFaults(R"({"truncate": true})");

    EXPECT_EQ(call("r2", 5).result, WorkerResult::Uncertain);
    HttpExchange exchange;
    exchange.url = baseUrl(info.endpoint) + "/records";
    exchange.timeout = LongTimeout;
    const auto records =
        await<HttpResult>([&](auto done) { loop.start(exchange, std::move(done)); });
    EXPECT_NE(records.body.find(R"("request":"r2")"), std::string::npos);
}

TEST_F(WorkerServiceTest, staleTermIsRefusedAndFailingServiceGivesServiceError)
{
    call("r1", 5);

    EXPECT_EQ(call("r2", 4).result, WorkerResult::Refused);
    setFaults(R"({"failEverything": true})");
    EXPECT_EQ(call("r3", 5).result, WorkerResult::ServiceError);
}

TEST_F(WorkerServiceTest, silencedConnectionTimesOutWhileNewOneWorks)
{
    call("r1", 5);
    setFaults(R"({"silentConnections": true})");

    EXPECT_EQ(call("r2", 5, ShortTimeout).result, WorkerResult::Uncertain);
    EXPECT_EQ(call("r3", 5).result, WorkerResult::Done);
}
