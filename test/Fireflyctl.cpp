#include "FakeOperatorBackend.h"
#include "Http.h"
#include "Ops/OperatorApi.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>

using namespace firefly;

namespace {

constexpr std::uint16_t Port = 18'472;
constexpr std::size_t PhoneWidth = 40;
const std::string Token = "0123456789abcdef";

/// Exit code and output of one run of fireflyctl.
struct CommandRun
{
    int code = -1;
    std::string text;
};

CommandRun execute(const std::string &commandLine)
{
    CommandRun result;
    std::FILE *pipe = popen((commandLine + " 2>&1").c_str(), "r"); // NOLINT(cert-env33-c)
    std::array<char, 4096> buf{};
    while (const std::size_t n = std::fread(buf.data(), 1, buf.size(), pipe)) {
        result.text.append(buf.data(), n);
    }
    result.code = WEXITSTATUS(pclose(pipe));
    return result;
}

/// Serves the operator API of a fake entry on loopback.
struct FireflyctlTest : testing::Test
{
    FireflyctlTest()
    {
        backend.hasImmediateReadBack = true;
        thread = std::thread([this] { context.run(); });
    }
    ~FireflyctlTest() override
    {
        server.stopAccepting();
        guard.reset();
        thread.join();
    }

    void serve(const HttpRequest &request, const HttpServer::Respond &respond)
    {
        const std::string authorization(request.header("Authorization"));
        api.handle({request.method, request.path, authorization, request.body},
                   [respond](const OperatorResponse &it) {
                       respond(HttpResponse{it.status, it.body, it.contentType, {}});
                   });
    }

    static CommandRun ctl(const std::string &arguments, const std::string &token = Token)
    {
        // The first address refuses the connection, so that the second is tried.
        return execute("FIREFLY_OPS=127.0.0.1:1,127.0.0.1:" + std::to_string(Port)
                       + " FIREFLY_TOKEN=" + token + " FIREFLY_AUTHOR=ann " FIREFLYCTL " "
                       + arguments);
    }
    std::string write(const std::string &name, const std::string &text)
    {
        std::string path = testing::TempDir() + name;
        std::ofstream(path) << text;
        return path;
    }

    FakeOperatorBackend backend;
    OperatorApi<FakeOperatorBackend> api{backend, Token};
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard =
        asio::make_work_guard(context);
    HttpServer server{context, Endpoint{"127.0.0.1", Port}, HttpLimits{},
                      [this](const HttpRequest &request, const HttpServer::Respond &respond) {
                          serve(request, respond);
                      }};
    std::thread thread;
};

} // namespace

TEST_F(FireflyctlTest, editShowsWaitConflictAndFindings)
{
    const std::string config = FIREFLY_CONFIG_DIR;
    const CommandRun limits =
        ctl("lists edit limits --base 0 --wait --file " + config + "/limits.yaml");
    EXPECT_EQ(limits.code, 0) << limits.text;
    EXPECT_NE(limits.text.find("in force everywhere"), std::string::npos) << limits.text;
    const CommandRun plans = ctl("lists edit plans --base 0 --file " + config + "/plans.yaml");
    EXPECT_EQ(plans.text, "plans accepted: version 2\n");

    const std::string shown = ctl("lists show plans").text;
    EXPECT_TRUE(shown.starts_with("# version 2\n")) << shown;
    const std::string path = write("shown-plans.yaml", shown);
    EXPECT_EQ(ctl("lists edit plans --set malabar-air=charter-large --set spice-coast=").code, 0);
    const CommandRun late = ctl("lists edit plans --file " + path);
    EXPECT_EQ(late.code, 3);
    EXPECT_EQ(late.text, "conflict: plans was changed meanwhile\n"
                         "your base: 2\n"
                         "newest: 3 by ann\n"
                         "malabar-air\n"
                         "  theirs: charter-large\n"
                         "  yours: charter\n"
                         "spice-coast\n"
                         "  theirs: (not in the list)\n"
                         "  yours: charter-large\n");

    const std::string bad = write("bad-limits.yaml", "limits:\n  gold: {processors: -1}\n");
    const CommandRun findings = ctl("lists edit limits --base 1 --file " + bad);
    EXPECT_EQ(findings.code, 2);
    EXPECT_NE(findings.text.find(":2\n  limits.gold.processors"), std::string::npos)
        << findings.text;
    EXPECT_NE(findings.text.find(":2\n  limits.gold.memory"), std::string::npos) << findings.text;
    EXPECT_EQ(ctl("lists edit limits --set overnight.weight=2").code, 0);
    EXPECT_EQ(backend.fold.limits().limitsOfPlan.at("overnight").weight, 2);

    backend.hasUnreachablePeer = true;
    const CommandRun cut = ctl("lists edit limits --set overnight.weight=3 --wait --timeout 0");
    EXPECT_EQ(cut.code, 4);
    EXPECT_NE(cut.text.find("kochi-2: still version 0\n  heard 12 s ago\n"), std::string::npos)
        << cut.text;
}

TEST_F(FireflyctlTest, exitCodeDistinguishesFailureKinds)
{
    EXPECT_EQ(ctl("lists show nothing").code, 2);
    EXPECT_EQ(ctl("lists edit plans --file no-such-file").code, 2);
    EXPECT_EQ(ctl("job status unknown").code, 5);
    EXPECT_EQ(ctl("drain").code, 2); // Ambiguous: --ops has two addresses.
    const std::string one = "--ops 127.0.0.1:" + std::to_string(Port);
    EXPECT_EQ(ctl(one + " drain", "wrong-token-0000").code, 6);
    EXPECT_EQ(backend.drainCount, 0);
    EXPECT_EQ(ctl(one + " drain").code, 0);
    EXPECT_EQ(backend.drainCount, 1);
    EXPECT_EQ(execute(FIREFLYCTL " --ops 127.0.0.1:1 --token x dump").code, 4);
    EXPECT_EQ(ctl("lists edit plans --set kayal=gold").code, 2); // Plan "gold" has no limits.
    backend.isLogUp = false;
    EXPECT_EQ(ctl("lists edit plans --set kayal=gold --set x=").code, 4);
    EXPECT_EQ(ctl("lists edit limits --base 0 --file " FIREFLY_CONFIG_DIR "/limits.yaml").code, 4);
}

TEST_F(FireflyctlTest, jobPlannedWorkAndDumpOutputFitsPhoneWidth)
{
    const CommandRun submit =
        ctl("job submit kayal rebuild --processors 4 --memory 8GiB --runtime 600 "
            "--payload 'week 49' --id week-49");
    EXPECT_EQ(submit.code, 0) << submit.text;
    EXPECT_EQ(backend.submitted->spec.resources, (Resources{4000, 8192, 0, 0}));
    EXPECT_EQ(backend.submitted->spec.runtimeMs, 600'000);
    EXPECT_EQ(ctl("lists edit limits --base 0 --file " FIREFLY_CONFIG_DIR "/limits.yaml").code, 0);
    EXPECT_EQ(ctl("lists edit plans --set kayal=charter").code, 0);
    EXPECT_EQ(ctl("planned stop kayl rebuild").code, 5);
    EXPECT_EQ(ctl("planned stop kayal rebuild").code, 0);
    EXPECT_FALSE(backend.plannedWork.isRunning(CustomerId("kayal"), "rebuild"));
    EXPECT_EQ(ctl("job result j1").code, 4); // The job is placed but not finished.

    const CommandRun dump = ctl("dump");
    EXPECT_EQ(dump.code, 0);
    std::istringstream lines(dump.text + ctl("--help").text + ctl("explain job j1").text);
    for (std::string line; std::getline(lines, line);) {
        EXPECT_LE(line.size(), PhoneWidth) << line;
    }
    EXPECT_TRUE(nlohmann::json::parse(ctl("--json dump").text).contains("lists"));
}
