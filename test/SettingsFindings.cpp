#include "Config.h"

#include <gtest/gtest.h>

#include <map>

using namespace firefly;

namespace {

constexpr std::string_view Minimal = R"(entry: {id: kochi-1, zone: kochi}
listen:
  callers: "127.0.0.1:8001"
  operators: "127.0.0.1:8002"
  peers: "[::1]:8003"
operators: {token: 0123456789abcdef}
platform: {log: "127.0.0.1:7001", vms: "127.0.0.1:7002"}
)";

/// Messages of the findings of \a text, by "line field".
std::map<std::string, std::string> findingsOf(std::string_view text)
{
    std::map<std::string, std::string> found;
    try {
        parseSettings(text, "entry.yaml");
    } catch (const SettingsError &e) {
        for (const Finding &it : e.findings()) {
            EXPECT_EQ(it.file, "entry.yaml");
            found[std::to_string(it.line) + " " + it.field] = it.message;
        }
    }
    return found;
}

} // namespace

TEST(SettingsFindings, absentFieldsGetTheirDefaults)
{
    const Settings settings = parseSettings(Minimal, "entry.yaml");

    EXPECT_EQ(settings.entry.id, EntryId("kochi-1"));
    EXPECT_EQ(settings.listen.peers, (Endpoint{"::1", 8003}));
    EXPECT_EQ(toString(settings.listen.peers), "[::1]:8003");
    EXPECT_GT(settings.ownership.holdOff, settings.ownership.proof + settings.ownership.drift);
    EXPECT_EQ(settings.log.level, LogLevel::Info);
}

TEST(SettingsFindings, reportsAllErrorsAtOnceWithTheirPositions)
{
    const auto found = findingsOf(R"(entry: {zone: "no spaces"}
listen:
  callers: "localhost:8001"
  operators: "127.0.0.1:70000"
  peers: "127.0.0.300:8003"
  gossip: "127.0.0.1:1"
operators: {token: short}
platform: {log: "127.0.0.1:7001"}
peers:
  seeds:
    - {id: kochi-2, endpoint: "127.0.0.1:8013"}
    - {id: kochi-2, endpoint: "127.0.0.1:8014"}
services:
  swap:
    hedge: true
    timeoutMs: 0
    perCall: {memory: 1TB, slots: 0}
limits: {maxBodyBytes: "1048576", maxInFlight: 1.5, maxInFlight: 2}
ownership:
  proofMs: 3000
  holdOffMs: 3100
  driftMs: 200
policy: {urgentWeight: 1.5}
log: {level: loud}
snapshot: everyRecords
colour: blue
)");

    const std::map<std::string, std::string> expected = {
        {"1 entry.id", "missing"},
        {"1 entry.zone", "letters"},
        {"3 listen.callers", "not an IP address"},
        {"4 listen.operators", "1 to 65535"},
        {"5 listen.peers", "not an IP address"},
        {"6 listen.gossip", "unknown key"},
        {"7 operators.token", "16 characters"},
        {"8 platform.vms", "missing"},
        {"12 peers.seeds.1.id", "duplicate entry id"},
        {"15 services.swap.hedge", "idempotent"},
        {"16 services.swap.timeoutMs", "from 1"},
        {"17 services.swap.perCall.memory", "64GiB"},
        {"17 services.swap.perCall.slots", "at least one"},
        {"18 limits.maxBodyBytes", "whole number"},
        {"18 limits.maxInFlight", "duplicate key"},
        {"21 ownership.holdOffMs", "proofMs + driftMs"},
        {"23 policy.urgentWeight", "from 0 to 1"},
        {"24 log.level", "expected debug"},
        {"25 snapshot", "map"},
        {"26 colour", "unknown key"},
    };
    EXPECT_EQ(found.size(), expected.size());
    for (const auto &[position, message] : expected) {
        ASSERT_TRUE(found.contains(position)) << position;
        EXPECT_NE(found.at(position).find(message), std::string::npos) << position;
    }
}

TEST(SettingsFindings, reportsSyntaxErrorsAndUnreadableFilesAsFindings)
{
    EXPECT_TRUE(findingsOf("entry: {id: a\nlisten: ]").contains("2 yaml"));
    EXPECT_TRUE(findingsOf("just text").contains("1 (file)"));
    EXPECT_THROW(loadSettings("no-such-file.yaml"), SettingsError);
}

TEST(SettingsFindings, exampleSettingsAreValid)
{
    const Settings settings = loadSettings(FIREFLY_CONFIG_DIR "/entry.example.yaml");

    EXPECT_EQ(settings.seeds.size(), 2U); // Excludes the entry itself.
    EXPECT_TRUE(settings.services.at(ServiceId("legality-check")).hedge);
    EXPECT_FALSE(settings.services.at(ServiceId("swap")).idempotent);
    EXPECT_EQ(settings.services.at(ServiceId("quick-draw")).perCall, (Resources{1000, 512, 0, 1}));
}
