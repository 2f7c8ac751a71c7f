#include "Ops/OperatorApi.h"

#include "FakeOperatorBackend.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace firefly;

namespace {

constexpr std::string_view Token = "0123456789abcdef";
constexpr std::string_view GoldYaml = "limits: {gold: {processors: 1, memory: 1GiB, slots: 2}}";

struct OperatorApiTest : testing::Test
{
    FakeOperatorBackend backend;
    OperatorApi<FakeOperatorBackend> api{backend, std::string(Token)};
    std::vector<OperatorResponse> replies;

    void send(const std::string &method, const std::string &path, const std::string &body = "",
              const std::string &authorization = "Bearer " + std::string(Token))
    {
        api.handle({method, path, authorization, body},
                   [this](const OperatorResponse &it) { replies.push_back(it); });
    }
    void edit(const std::string &list, Offset base, std::string_view yaml)
    {
        const nlohmann::json body = {{"base", base}, {"author", "ann"}, {"yaml", yaml}};
        send("PUT", "/ops/lists/" + list, body.dump());
    }
    nlohmann::json json() const { return nlohmann::json::parse(replies.back().body); }
    int status() const { return replies.back().status; }
};

} // namespace

TEST_F(OperatorApiTest, requestsWithoutTheTokenAreUnauthorised)
{
    const std::vector<std::string> wrongHeaders = {"", "Bearer ", "Bearer 0123456789abcdeX",
                                                   "Basic 0123456789abcdef", "0123456789abcdef"};
    for (const std::string &it : wrongHeaders) {
        send("POST", "/ops/drain", "", it);
        EXPECT_EQ(status(), 401) << it;
        send("GET", "/nowhere", "", it);
        EXPECT_EQ(status(), 401) << it;
    }
    EXPECT_EQ(backend.drainCount, 0);

    send("POST", "/ops/drain");
    EXPECT_EQ(status(), 200);
    EXPECT_EQ(backend.drainCount, 1);
    OperatorApi<FakeOperatorBackend> apiWithoutToken(backend, "");
    apiWithoutToken.handle({"POST", "/ops/drain", "Bearer ", ""},
                           [](const OperatorResponse &it) { EXPECT_EQ(it.status, 401); });
}

TEST_F(OperatorApiTest, unknownPathsAreNotFoundAndWrongMethodsNotAllowed)
{
    for (const std::string path : {"/", "/ops", "/ops/jobs/", "/ops/jobs/a/b", "/ops/dump/x"}) {
        send("GET", path);
        EXPECT_EQ(status(), 404) << path;
    }
    send("GET", "/ops/drain");
    EXPECT_EQ(status(), 405);
    send("GET", "/ops/jobs/unknown");
    EXPECT_EQ(status(), 404);
    send("GET", "/ops/jobs/j1");
    EXPECT_EQ(json().at("state"), "placed");
}

TEST_F(OperatorApiTest, concurrentEditsGetOneVersionAndOneConflict)
{
    edit("limits", 0, GoldYaml);
    EXPECT_TRUE(replies.empty()); // No reply before the edit is read back from the log.
    edit("limits", 0, "limits: {tin: {processors: 1, memory: 1GiB, slots: 2}}");
    backend.readLog();

    ASSERT_EQ(replies.size(), 2U);
    EXPECT_EQ(replies[0].status, 200);
    EXPECT_EQ(replies[1].status, 409);
    EXPECT_EQ(json().at("base"), 0);
    EXPECT_EQ(json().at("theirs").at("version"), 1);
    EXPECT_NE(json().at("theirs").at("yaml").get<std::string>().find("gold"), std::string::npos);
    EXPECT_NE(json().at("yours").get<std::string>().find("tin"), std::string::npos);

    edit("limits", 0, GoldYaml); // A retry of the accepted edit, for example after a lost reply.
    EXPECT_EQ(status(), 200);
    EXPECT_EQ(json().at("version"), 1);
    send("GET", "/ops/inforce");
    EXPECT_EQ(json().at("entries").at(0).at("limits"), 1);
}

TEST_F(OperatorApiTest, invalidListGetsAllFindingsAndIsNotProposed)
{
    edit("plans", 0, "plans:\n  kayal: gold\n  a b: gold\n");

    EXPECT_EQ(status(), 422);
    const nlohmann::json findings = json().at("findings");
    ASSERT_EQ(findings.size(), 2U);
    EXPECT_EQ(findings[0].at("file"), "list.yaml");
    EXPECT_EQ(findings[0].at("line"), 2);
    EXPECT_EQ(findings[0].at("field"), "plans.kayal");
    EXPECT_EQ(findings[1].at("line"), 3);
    EXPECT_TRUE(backend.pendingEdits.empty());
}

TEST_F(OperatorApiTest, consistencyOfBothListsIsCheckedInLogOrder)
{
    edit("limits", 0, GoldYaml);
    edit("plans", 0, "plans:\n  kayal: gold\n"); // This entry has not read the limits yet.
    edit("plans", 0, "plans:\n  kayal: tin\n");
    EXPECT_TRUE(replies.empty());
    backend.readLog();
    ASSERT_EQ(replies.size(), 3U);
    EXPECT_EQ(replies[1].status, 200);
    EXPECT_EQ(replies[2].status, 409);

    edit("plans", 2, "plans:\n  kayal: gold\n  steekproef: tin\n");
    backend.readLog();
    EXPECT_EQ(status(), 422);
    ASSERT_EQ(json().at("findings").size(), 1U);
    EXPECT_EQ(json().at("findings").at(0).at("line"), 3);
    EXPECT_EQ(json().at("findings").at(0).at("field"), "plans.steekproef");
}

TEST_F(OperatorApiTest, malformedBodiesAreBadRequests)
{
    for (const std::string body : {"", "[]", "{}", R"({"base":-1,"author":"a","yaml":""})",
                                   R"({"base":0,"author":"","yaml":""})",
                                   R"({"base":0,"author":"a","yaml":"","force":true})"}) {
        send("PUT", "/ops/lists/plans", body);
        EXPECT_EQ(status(), 400) << body;
    }
    send("POST", "/ops/jobs", R"({"customer":"kayal","kind":"rebuild","runtimeMs":1})");
    EXPECT_EQ(status(), 400);
    EXPECT_FALSE(backend.submitted);
}

TEST_F(OperatorApiTest, logOutageReturnsRetryAfterAndMayTakeEffect)
{
    backend.isLogUp = false;
    edit("limits", 0, GoldYaml);

    EXPECT_EQ(status(), 503);
    EXPECT_EQ(replies.back().retryAfter, std::chrono::seconds(7));
    EXPECT_EQ(json().at("mayTakeEffect"), true);
}

TEST_F(OperatorApiTest, jobAndPlannedWorkRequestsReachTheBackend)
{
    send("POST", "/ops/jobs",
         R"({"job":"week-49","customer":"kayal","kind":"rebuild","runtimeMs":60000,
             "resources":{"milliProcessors":4000,"memoryMiB":1024}})");
    EXPECT_EQ(json().at("job"), "j1");
    EXPECT_EQ(backend.submitted->job, JobId("week-49"));
    EXPECT_EQ(backend.submitted->spec.resources, (Resources{4000, 1024, 0, 0}));

    const std::string stop =
        R"({"author":"ann","customer":"kayal","kind":"rebuild","running":false})";
    send("POST", "/ops/planned", stop);
    EXPECT_EQ(status(), 404); // Unknown customer: a mistyped name must not be accepted.
    backend.hasImmediateReadBack = true;
    edit("limits", 0, GoldYaml);
    edit("plans", 0, "plans: {kayal: gold}");
    send("POST", "/ops/planned", stop);
    EXPECT_EQ(status(), 200);
    EXPECT_FALSE(backend.plannedWork.isRunning(CustomerId("kayal"), "rebuild"));
    send("DELETE", "/ops/jobs/j2");
    EXPECT_EQ(status(), 404);
}
