#include "fakes/CellWorld.h"
#include "fakes/LongRunningTasks.h"
#include "Node/DelegationRequest.h"
#include "Node/DelegationSender.h"
#include "Node/OrderSender.h"
#include "Node/RequestForwarder.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr int Guest = 1;

/// A full cell that has delegated the task of a drained worker to Guest; its requests are sent over
/// a transport that leaves them open.
struct DelegatingCell
{
    DelegatingCell()
    {
        world.run(500ms);
        world.submit(job, makeSpreadLongRunning(3, 7000));
        world.run(1s);
        drain(world, "w0");
        world.run(1500ms);
        GuestOffer empty;
        empty.load.milliCpu = 24000.0;
        empty.room = {{8000, 64000, 0}, {8000, 64000, 0}};
        const std::vector<std::optional<GuestOffer>> offers{std::nullopt, empty};
        for (const std::string &it : world.owner->servicesToDelegate(world.now)) {
            world.owner->delegateTasks(it, offers, world.now);
        }
        world.onDelegate = [this](const DelegateTasks &it) {
            sender->send({it.guest, it.job, it.record});
        };
    }

    ~DelegatingCell() { Clock::resume(); }
    DelegatingCell(const DelegatingCell &) = delete;
    DelegatingCell &operator=(const DelegatingCell &) = delete;

    const DelegationStatus &status() const
    {
        return world.owner->state().jobs.at(job.value())->delegations.at(Guest);
    }

    /// Runs the posted handlers at the simulated time.
    void poll()
    {
        Clock::pause(world.now);
        context.restart();
        context.poll();
    }

    JobId job{"long"};
    CellWorld world{1, 3};
    asio::io_context context{1};
    EventLog log{"n", LogLevel::Error, LogStream::Error, 1};
    Metrics metrics;
    std::vector<DelegationRequest> sent;
    std::vector<OnCallerReply> open;
    int replies = 0;
    std::unique_ptr<DelegationSender> sender = std::make_unique<DelegationSender>(
        context, *world.owner, log, metrics,
        [this](const DelegationRequest &request, OnCallerReply done) {
            sent.push_back(request);
            open.push_back(std::move(done));
        },
        [this] { ++replies; });
};

TEST(DelegationRequests, TheSchedulerGetsEachAnswerOnceAndFromTheEventLoop)
{
    DelegatingCell home;
    home.world.run(200ms);
    ASSERT_EQ(home.sent.size(), 1U);
    EXPECT_EQ(home.sent.front().cell, Guest);
    EXPECT_EQ(JobRecords::decodeDelegation(home.sent.front().record.value()).tasks.size(), 1U);
    home.open.front()({CallerOutcome::Done, JobState::Queued, 0, {}});
    EXPECT_TRUE(home.status().isRequestOpen) << "answered before the handlers ran";
    home.poll();
    EXPECT_FALSE(home.status().isRequestOpen);
    EXPECT_EQ(home.status().acceptedCount, 1U);
    EXPECT_EQ(home.replies, 1);
    home.world.run(2s);
    EXPECT_EQ(home.sent.size(), 1U) << "an accepted delegation isn't sent again";
}

TEST(DelegationRequests, ARequestThatWasNotCarriedOutIsRepeated)
{
    for (const CallerOutcome outcome :
         {CallerOutcome::NotRun, CallerOutcome::Refused, CallerOutcome::Unknown,
          CallerOutcome::Malformed, CallerOutcome::Elsewhere}) {
        DelegatingCell home;
        home.world.run(200ms);
        ASSERT_EQ(home.sent.size(), 1U);
        home.open.front()({outcome, JobState::Queued, 0, {}});
        home.poll();
        EXPECT_EQ(home.status().acceptedCount, 0U) << toString(outcome);
        home.world.run(1s);
        ASSERT_EQ(home.sent.size(), 2U) << toString(outcome);
        EXPECT_EQ(home.sent[0].record, home.sent[1].record) << toString(outcome);
    }
}

TEST(DelegationRequests, AnAnswerAfterTheEndOfTheOwnershipIsDropped)
{
    DelegatingCell home;
    home.world.run(200ms);
    ASSERT_EQ(home.open.size(), 1U);
    home.open.front()({CallerOutcome::Done, JobState::Queued, 0, {}});
    home.sender.reset();
    home.poll();
    EXPECT_TRUE(home.status().isRequestOpen);
    EXPECT_EQ(home.replies, 0);
}

TEST(DelegationRequests, TheOrderSenderPassesBothRequestsOn)
{
    DelegatingCell home;
    CurlLoop curl(home.context);
    platform::WorkerClient workers(curl);
    std::vector<DelegationRequest> passed;
    OrderSender orders(
        *home.world.owner, workers, home.log, home.metrics, 0, home.world.epoch, [] {},
        [&passed](const DelegationRequest &it) { passed.push_back(it); });
    home.world.onDelegate = {}; // Drops requests, which then stay open.
    const auto sendActions = [&] {
        home.world.owner->tick(home.world.now, home.world.unixMs());
        orders.sendAll();
    };
    home.world.run(200ms);
    home.world.owner->onDelegationReply(home.job, Guest, false, home.world.now - 1s);
    sendActions();
    ASSERT_EQ(passed.size(), 1U);
    EXPECT_EQ(passed[0].cell, Guest);
    EXPECT_EQ(passed[0].job, home.job);
    EXPECT_EQ(JobRecords::decodeDelegation(passed[0].record.value()).tasks.size(), 1U);

    home.world.owner->onDelegationReply(home.job, Guest, true, home.world.now);
    home.world.owner->cancel(home.job, home.world.now, home.world.unixMs(), [](auto) {});
    home.world.run(200ms);
    home.world.owner->onDelegationReply(home.job, Guest, false, home.world.now - 1s);
    sendActions();
    ASSERT_EQ(passed.size(), 2U);
    EXPECT_EQ(passed[1].cell, Guest);
    EXPECT_EQ(passed[1].job, home.job);
    EXPECT_FALSE(passed[1].record.has_value());
}

/// A cell that gets requests of others.
struct GuestCell
{
    GuestCell() { world.run(500ms); }

    /// The replies to \a request; none while it is open.
    std::shared_ptr<std::vector<CallerReply>> send(const DelegationRequest &request)
    {
        auto replies = std::make_shared<std::vector<CallerReply>>();
        answerDelegation(*world.owner, request, world.now, world.unixMs(),
                         [replies](const CallerReply &it) { replies->push_back(it); });
        return replies;
    }

    /// Delegates the first task of \a job, a job of another cell.
    DelegationRequest makeRequest() const
    {
        JobSpec spec = makeSpreadLongRunning(3, 1000);
        TaskProgress task;
        task.guest = Guest;
        return {Guest, job, JobRecords::encodeDelegation({world.unixMs(), spec, {task}})};
    }

    JobId job{"long"};
    CellWorld world{1, 3};
};

TEST(DelegationRequests, AGuestAnswersOnceTheTasksAreStored)
{
    GuestCell guest;
    const auto replies = guest.send(guest.makeRequest());
    EXPECT_TRUE(replies->empty()) << "not stored yet";
    guest.world.run(500ms);
    ASSERT_EQ(replies->size(), 1U);
    EXPECT_EQ(replies->front().outcome, CallerOutcome::Done);
    EXPECT_TRUE(isRunning(guest.world, {guest.job, 0, 0, 0}));
    EXPECT_FALSE(isRunning(guest.world, {guest.job, 0, 0, 1}));

    const auto revoked = guest.send({Guest, guest.job, std::nullopt});
    guest.world.run(1s);
    ASSERT_EQ(revoked->size(), 1U);
    EXPECT_EQ(revoked->front().outcome, CallerOutcome::Done);
    EXPECT_FALSE(isRunning(guest.world, {guest.job, 0, 0, 0}));
}

TEST(DelegationRequests, AGuestWhoseOwnershipEndsBeforeTheTasksAreStoredDoesNotConfirmThem)
{
    for (const bool isRevoking : {false, true}) {
        GuestCell guest;
        DelegationRequest request = guest.makeRequest();
        if (isRevoking) {
            request.record.reset();
        }
        const auto replies = guest.send(request);
        guest.world.owner->endOwnership();
        ASSERT_EQ(replies->size(), 1U);
        EXPECT_NE(replies->front().outcome, CallerOutcome::Done);
    }
}

TEST(DelegationRequests, ACellRefusesRequestsAboutItsOwnJobs)
{
    GuestCell guest;
    guest.world.submit(guest.job, makeSpreadLongRunning(1, 1000));
    guest.world.run(500ms);
    for (const DelegationRequest &it :
         {guest.makeRequest(), DelegationRequest{Guest, guest.job, std::nullopt}}) {
        const auto replies = guest.send(it);
        ASSERT_EQ(replies->size(), 1U);
        EXPECT_EQ(replies->front().outcome, CallerOutcome::Refused);
    }
    EXPECT_TRUE(isRunning(guest.world, {guest.job, 0, 0, 0}));
}

TEST(DelegationRequests, AMalformedRecordIsRejectedWithoutEffect)
{
    GuestCell guest;
    const std::string valid = guest.makeRequest().record.value();
    std::vector<std::string> bodies{"", "{", "[]", "\xff", std::string(3, '\0'), "\x80", "\x82"};
    for (std::size_t n = 1; n < valid.size(); ++n) {
        bodies.push_back(valid.substr(0, n));
    }
    for (const std::string &it : bodies) {
        const auto replies = guest.send({Guest, guest.job, it});
        ASSERT_EQ(replies->size(), 1U) << it.size() << " bytes";
        EXPECT_EQ(replies->front().outcome, CallerOutcome::Malformed) << it.size() << " bytes";
        EXPECT_FALSE(replies->front().detail.empty());
    }
    EXPECT_FALSE(guest.world.owner->hasJob(guest.job));
}

TEST(DelegationRequests, ACorruptRecordFailsWithARecordErrorOnly)
{
    const std::string valid = GuestCell().makeRequest().record.value();
    int errors = 0;
    for (std::size_t i = 0; i < valid.size(); ++i) {
        for (int mask = 1; mask < 256; ++mask) {
            std::string bytes = valid;
            bytes[i] = static_cast<char>(bytes[i] ^ mask);
            try {
                JobRecords::decodeDelegation(bytes);
            } catch (const JobRecordError &) {
                ++errors;
            }
        }
    }
    EXPECT_GT(errors, 0);
}

/// The forwarder of a process that knows no cells.
struct ForwarderWithoutCells
{
    CallerReply handle(const std::string &method, const std::string &path, const std::string &body)
    {
        HttpRequest request;
        request.method = method;
        request.path = path;
        request.body = body;
        std::vector<CallerReply> replies;
        forwarder.handle(request, [&replies](const HttpResponse &it) {
            replies.push_back(RequestForwarder::decodeReply(it.body));
        });
        EXPECT_EQ(replies.size(), 1U) << method << " " << path;
        return replies.empty() ? CallerReply() : replies.front();
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
    CellSet cells{context, settings, {}, store, retries, workers, log, metrics};
    RequestForwarder forwarder{curl, cells, [](std::string_view) { return JobSpec(); }};
};

TEST(DelegationRequests, AMalformedPathOrMethodIsRejected)
{
    ForwarderWithoutCells node;
    for (const char *path :
         {"/delegations", "/delegations/", "/delegations/1", "/delegations//a",
          "/delegations/1/a/b", "/delegations/x/a", "/delegations/1x/a", "/delegations/-1/a",
          "/delegations/+1/a", "/delegations/99999999999/a", "/delegations/\xff/a"}) {
        for (const char *method : {"POST", "DELETE", "GET"}) {
            const CallerReply reply = node.handle(method, path, "");
            EXPECT_EQ(reply.outcome, CallerOutcome::Malformed) << method << " " << path;
            EXPECT_FALSE(reply.detail.empty());
        }
    }
    for (const char *method : {"GET", "PUT", "HEAD", ""}) {
        EXPECT_EQ(node.handle(method, "/delegations/1/a", "").outcome, CallerOutcome::Malformed)
            << method;
    }
}

TEST(DelegationRequests, AReturnHasNoOtherMethodThanPost)
{
    ForwarderWithoutCells node;
    EXPECT_EQ(node.handle("POST", "/returns/1/a", "x").outcome, CallerOutcome::NotRun);
    for (const char *method : {"DELETE", "GET", "PUT"}) {
        EXPECT_EQ(node.handle(method, "/returns/1/a", "").outcome, CallerOutcome::Malformed)
            << method;
    }
    EXPECT_EQ(node.handle("POST", "/returns/x/a", "").outcome, CallerOutcome::Malformed);
}

TEST(DelegationRequests, AProcessThatDoesNotOwnTheCellHasNotCarriedTheRequestOut)
{
    ForwarderWithoutCells node;
    for (const char *method : {"POST", "DELETE"}) {
        for (const char *path : {"/delegations/0/a", "/delegations/7/a", "/jobs/0/a"}) {
            EXPECT_EQ(node.handle(method, path, "x").outcome, CallerOutcome::NotRun) << path;
        }
    }
}

/// Sends \a request to \a owner.
CallerReply forward(ForwarderWithoutCells &node, const Endpoint &owner,
                    const DelegationRequest &request)
{
    std::optional<CallerReply> reply;
    node.forwarder.forwardDelegation(owner, request,
                                     [&reply](const CallerReply &it) { reply = it; });
    node.context.restart();
    while (!reply && node.context.run_one_for(5s) > 0) {
    }
    EXPECT_TRUE(reply.has_value());
    return reply.value_or(CallerReply());
}

TEST(DelegationRequests, ARequestArrivesUnchangedAtAnotherProcess)
{
    const Endpoint owner{"127.0.0.1", 18573};
    ForwarderWithoutCells node;
    std::vector<HttpRequest> received;
    HttpServer server(node.context, owner, HttpLimits{},
                      [&](const HttpRequest &request, HttpServer::Respond respond) {
                          received.push_back(request);
                          node.forwarder.handle(request, std::move(respond));
                      });
    std::string record;
    for (int i = 0; i < 256; ++i) {
        record += static_cast<char>(i);
    }
    const CallerReply reply = forward(node, owner, {3, JobId("a"), record});
    EXPECT_EQ(reply.outcome, CallerOutcome::NotRun);
    EXPECT_EQ(reply.detail, "not the owner");
    EXPECT_EQ(forward(node, owner, {3, JobId("a"), std::nullopt}).outcome, CallerOutcome::NotRun);
    EXPECT_EQ(forward(node, owner, {3, JobId("a"), record, true}).outcome, CallerOutcome::NotRun);
    ASSERT_EQ(received.size(), 3U);
    EXPECT_EQ(received[0].method, "POST");
    EXPECT_EQ(received[0].path, "/delegations/3/a");
    EXPECT_EQ(received[0].body, record);
    EXPECT_EQ(received[1].method, "DELETE");
    EXPECT_EQ(received[1].path, "/delegations/3/a");
    EXPECT_EQ(received[1].body, "");
    EXPECT_EQ(received[2].method, "POST");
    EXPECT_EQ(received[2].path, "/returns/3/a");
    EXPECT_EQ(received[2].body, record);
}

TEST(DelegationRequests, ARequestToASilentProcessIsOfUnknownOutcome)
{
    const Endpoint owner{"127.0.0.1", 18573};
    ForwarderWithoutCells node;
    std::vector<HttpServer::Respond> open;
    HttpServer server(node.context, owner, HttpLimits{},
                      [&open](const HttpRequest &, HttpServer::Respond respond) {
                          open.push_back(std::move(respond));
                      });
    EXPECT_EQ(forward(node, owner, {3, JobId("a"), "x"}).outcome, CallerOutcome::Unknown);
    EXPECT_EQ(open.size(), 1U);
}

} // namespace
} // namespace firefly
