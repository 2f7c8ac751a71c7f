#include "platform/CallerHttp.h"
#include "platform/SettingsFile.h"
#include "platform/Wire.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>

namespace firefly::platform {
namespace {

TEST(PlatformWire, ConfigurationDecodesToRoutesWithPolicies)
{
    const FleetConfig config =
        decodeConfig(R"({"version":7,"routes":[{"name":"r","host":"a.example","path_prefix":"/q/",)"
                     R"("timeout_ms":2500,"target_latency_ms":250,"priority":2,"service":"s",)"
                     R"("max_attempts":4,"stretch":1.5}],"services":[],"limits":{}})");
    ASSERT_EQ(config.routes.size(), 1U);
    EXPECT_EQ(config.version, 7U);
    EXPECT_EQ(config.routes[0].policy.priority, 2);
    EXPECT_EQ(config.routes[0].policy.maxAttempts, 4U);
    EXPECT_EQ(config.routes[0].timeout, std::chrono::milliseconds(2500));
    EXPECT_THROW(decodeConfig(R"({"routes":[]})"), WireError);
    EXPECT_THROW(decodeConfig("{"), WireError);
}

TEST(PlatformWire, WorkerRegistrationsAreDecodedAndMalformedOnesRejected)
{
    const std::string entry = R"({"service":"s","address":"10.0.0.9:80","zone":"z",)"
                              R"("state":"ready","capacity":{"cpu":16000,"mem_mb":32768},)"
                              R"("labels":["a","r1-3"],"born":12})";
    const WorkerDescription worker = decodeWorker("i-1", entry);
    EXPECT_EQ(worker.rack, "r1-3");
    EXPECT_EQ(worker.capacity.milliCpu, 16000);
    EXPECT_EQ(worker.endpoint.port, 80);
    EXPECT_EQ(worker.incarnationStartUnixMs, 12);
    EXPECT_THROW(decodeWorker("i-1", R"({"service":"s"})"), WireError);
    EXPECT_THROW(decodeWorker("i-1", "\xff\x01"), WireError);
    EXPECT_THROW(decodeWorker("i-1", R"({"service":"s","address":"x","zone":"z",)"
                                     R"("state":"ready","capacity":{}})"),
                 WireError);
}

// An address that is no IP address, or an id with a line break, made the HTTP client throw at the
// first order, which ended the owner's process.
TEST(PlatformWire, RegistrationsThatNoOrderCanBeSentToAreRejected)
{
    const auto decodeWith = [](std::string_view id, const std::string &address) {
        return decodeWorker(id, R"({"service":"s","address":")" + address
                                    + R"(","zone":"z","state":"ready","capacity":{"cpu":1}})");
    };
    EXPECT_NO_THROW(decodeWith("i-1", "10.0.0.9:80"));
    for (const char *address : {"host:80", ":80", "10.0.0.9:65536", "10.0.0.9:0", "10.0.0.9:8x",
                                "10.0.0.9", "10.0.0.9/x:80"}) {
        EXPECT_THROW(decodeWith("i-1", address), WireError) << address;
    }
    for (const char *id : {"", "i-1\r\nX: y", "i 1", "i\x01"}) {
        EXPECT_THROW(decodeWith(id, "10.0.0.9:80"), WireError) << id;
    }
}

// A refusal whose reason was no string ended the process with an exception.
TEST(PlatformWire, MalformedRefusalsOfAWorkerAreRefusals)
{
    for (const char *body : {R"({"reason":7})", R"({"reason":null})", R"({"reason":{}})", "[]", "",
                             "{", "\xff", R"({"clock_ms":"late"})"}) {
        EXPECT_EQ(decodeOrderReply(409, body).outcome, OrderOutcome::OldRun) << body;
    }
    EXPECT_EQ(decodeOrderReply(409, R"({"reason":"fence"})").outcome, OrderOutcome::FencedOff);
}

// Quoting bytes of a request that aren't valid UTF-8 threw while the error was encoded.
TEST(PlatformWire, AnErrorThatQuotesInvalidUtf8IsAnswered)
{
    const HttpResponse response =
        toResponse(CallerVerb::Submit, {CallerOutcome::Malformed, {}, 0, "read \xff\xfe"}, {});
    EXPECT_EQ(response.status, 400);
    EXPECT_FALSE(response.body.empty());
    try {
        decodeJob("{\"steps\":\"\xff\"}");
        FAIL() << "the body is malformed";
    } catch (const WireError &e) {
        EXPECT_NO_THROW(
            toResponse(CallerVerb::Submit, {CallerOutcome::Malformed, {}, 0, e.what()}, {}));
    }
}

TEST(PlatformWire, AClientTimeoutWithOtherTextIsIgnored)
{
    const auto timeoutOf = [](const char *text) {
        HttpRequest request;
        request.headers = {{"x-deadline-ms", text}};
        return clientTimeout(request);
    };
    EXPECT_EQ(timeoutOf("1500"), std::chrono::milliseconds(1500));
    for (const char *text : {"", "1500x", "1.5", "-1", "soon", "99999999999999999999"}) {
        EXPECT_FALSE(timeoutOf(text).has_value()) << text;
    }
}

TEST(PlatformWire, InvalidJobsAreRejected)
{
    EXPECT_EQ(decodeJob(R"({"steps":[{"count":2,"cpu":500}]})").steps[0].taskCount, 2U);
    EXPECT_THROW(decodeJob(R"({"steps":[]})"), WireError);
    EXPECT_THROW(decodeJob(R"({"steps":[{"cpu":500}]})"), WireError);
    EXPECT_THROW(decodeJob(R"({"steps":[{"count":1,"after":[0]}]})"), WireError);
    EXPECT_THROW(decodeJob(R"({"steps":[{"count":1,"cpu":"many"}]})"), WireError);
}

TEST(PlatformWire, TaskNameIsUnchangedAfterFormattingAndParsing)
{
    const TaskName task{JobId("5c0e7a21d94b36f8"), 3, 1, 17};
    EXPECT_EQ(formatTaskName(task), "5c0e7a21d94b36f8.3.1.17");
    EXPECT_EQ(parseTaskName(formatTaskName(task)), task);
    EXPECT_THROW(parseTaskName("5c0e7a21d94b36f8.1"), WireError);
    EXPECT_THROW(parseTaskName("a.b.c.d"), WireError);
}

TEST(PlatformWire, LeaseReportListsRunningTasksAndEndedRuns)
{
    const LeaseReport report =
        decodeLeaseReport(R"({"clock_ms":482113,"born":5,"running":[["aa.0.1.17",2,"cp",41,17.0]],)"
                          R"("finished":[[58,"aa.0.1.9",1,"done",""]]})");
    ASSERT_EQ(report.running.size(), 1U);
    EXPECT_EQ(report.running[0].percent, 41);
    EXPECT_DOUBLE_EQ(report.running[0].usage, 17.0);
    ASSERT_EQ(report.ended.size(), 1U);
    EXPECT_EQ(report.ended[0].reason, RunEndReason::Done);
    EXPECT_THROW(
        decodeLeaseReport(R"({"clock_ms":1,"running":[],"finished":[[1,"a.0.0.0",1,"x",""]]})"),
        WireError);
}

// Guards against reports without room for all ends that are taken for whole ones.
TEST(PlatformWire, ALeaseReportWithTheLongestListOfEndedRunsMayOmitEnds)
{
    for (const std::size_t count : {MaxListedEnds - 1, MaxListedEnds}) {
        std::string rows;
        for (std::size_t i = 1; i <= count; ++i) {
            rows += (rows.empty() ? "[" : ",[") + std::to_string(i) + R"(,"aa.0.0.1",1,"done",""])";
        }
        const LeaseReport report =
            decodeLeaseReport(R"({"clock_ms":1,"running":[],"finished":[)" + rows + "]}");
        ASSERT_EQ(report.ended.size(), count);
        EXPECT_EQ(report.mayOmitEnds, count == MaxListedEnds) << count;
    }
}

TEST(PlatformWire, EachStatusAndReasonOfAnOrderReplyHasItsOutcome)
{
    const auto outcomeOf = [](int status, const char *body) {
        return decodeOrderReply(status, body).outcome;
    };
    EXPECT_EQ(outcomeOf(200, R"({"clock_ms":7})"), OrderOutcome::Accepted);
    EXPECT_EQ(outcomeOf(409, R"({"reason":"fence"})"), OrderOutcome::FencedOff);
    EXPECT_EQ(outcomeOf(409, R"({"reason":"room"})"), OrderOutcome::NoRoom);
    EXPECT_EQ(outcomeOf(409, R"({"reason":"late"})"), OrderOutcome::Late);
    EXPECT_EQ(outcomeOf(421, ""), OrderOutcome::OtherIncarnation);
    EXPECT_EQ(outcomeOf(503, ""), OrderOutcome::Unhealthy);
    EXPECT_EQ(outcomeOf(500, ""), OrderOutcome::Unknown);
    EXPECT_EQ(decodeOrderReply(200, R"({"clock_ms":7})").clockMs, 7);
}

TEST(PlatformWire, NotRunAndRefusedGive503ButUnknownGives504)
{
    const HttpResponse response =
        toResponse(CallerVerb::Submit, {CallerOutcome::NotRun, JobState::Queued, 0, "no owner"},
                   std::chrono::milliseconds(700));
    EXPECT_EQ(response.status, 503);
    ASSERT_EQ(response.headers.size(), 1U);
    EXPECT_EQ(response.headers[0].second, "1");
    const CallerReply refused{CallerOutcome::Refused, JobState::Queued, 0, "no store"};
    EXPECT_EQ(toResponse(CallerVerb::Submit, refused, std::chrono::seconds(1)).status, 503);
    const CallerReply unknown{CallerOutcome::Unknown, JobState::Queued, 0, "no answer"};
    EXPECT_EQ(toResponse(CallerVerb::Submit, unknown, std::chrono::seconds(1)).status, 504)
        << "503 would tell the client that the job never runs";
}

TEST(PlatformSettings, ErrorListsEveryFindingWithFileLineAndField)
{
    const std::string path = testing::TempDir() + "bad-settings.yaml";
    std::ofstream(path) << "node_name: n\nip: 10.0.0.1\nlisten_addrs:\n  front: nowhere\n"
                           "internal_ports: many\n";
    try {
        readSettings(path);
        FAIL() << "invalid settings were accepted";
    } catch (const NodeSettingsError &e) {
        const std::string text = e.what();
        EXPECT_NE(text.find(path + ":4: listen_addrs.front"), std::string::npos) << text;
        EXPECT_NE(text.find(path + ":5: internal_ports"), std::string::npos) << text;
        EXPECT_NE(text.find("platform.address is missing"), std::string::npos) << text;
    }
    std::remove(path.c_str());
}

} // namespace
} // namespace firefly::platform
