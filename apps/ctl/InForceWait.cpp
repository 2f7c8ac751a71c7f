#include "ctl/InForceWait.h"

#include <nlohmann/json.hpp>

#include <array>
#include <ctime>
#include <map>
#include <thread>

namespace firefly::ctl {
namespace {

constexpr std::chrono::milliseconds PollInterval(250);
constexpr std::int64_t MsPerSecond = 1000;

/// Time of day in UTC, "HH:MM:SS".
std::string timeOfDay()
{
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&now, &parts);
    std::array<char, sizeof "HH:MM:SS"> buf{};
    std::strftime(buf.data(), buf.size(), "%H:%M:%S", &parts);
    return buf.data();
}

/// An entry that still has an older version of the list.
struct OutdatedEntry
{
    Offset version = 0;
    std::int64_t ageMs = 0; ///< Time since its last heartbeat.
};

/// Progress over all polls so far.
struct Progress
{
    std::map<std::string, std::string> inForceSince; ///< Time of first sight, by entry.
    std::map<std::string, OutdatedEntry> outdated;
};

/// Polls once; a missing or unusable reply leaves \a progress unchanged.
void poll(const OperatorClient &client, const std::string &list, Offset version, Progress &progress,
          Output output)
{
    ClientResponse response;
    try {
        response = client.send("GET", "/ops/inforce");
    } catch (const UnreachableError &) {
        return;
    }
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    if (exitCodeOf(response.status) != ExitCode::Done || !json.is_object()) {
        return;
    }
    progress.outdated.clear();
    for (const nlohmann::json &it : json.at("entries")) {
        const auto entry = it.at("entry").get<std::string>();
        const auto entryVersion = it.at(list).get<Offset>();
        if (entryVersion < version) {
            progress.outdated[entry] =
                OutdatedEntry{entryVersion, it.at("ageMs").get<std::int64_t>()};
            continue;
        }
        const bool isFirst = progress.inForceSince.emplace(entry, timeOfDay()).second;
        if (isFirst && !output.isJson) {
            output.out << entry << ": in force " << progress.inForceSince[entry] << " UTC\n"
                       << std::flush;
        }
    }
}

void showOutcome(Offset version, const Progress &progress, bool isInForceEverywhere, Output output)
{
    if (output.isJson) {
        nlohmann::json json = {{"version", version},
                               {"everywhere", isInForceEverywhere},
                               {"inForceSince", progress.inForceSince}};
        for (const auto &[entry, state] : progress.outdated) {
            json["behind"][entry] = {{"version", state.version}, {"ageMs", state.ageMs}};
        }
        output.out << json.dump() << "\n";
        return;
    }
    for (const auto &[entry, state] : progress.outdated) {
        output.out << entry << ": still version " << state.version << "\n  heard "
                   << state.ageMs / MsPerSecond << " s ago\n";
    }
    output.out << (isInForceEverywhere ? "in force everywhere\n" : "not in force everywhere yet\n");
}

} // namespace

ExitCode waitUntilInForce(const OperatorClient &client, const std::string &list, Offset version,
                          Duration timeout, Output output)
{
    const TimePoint deadline = Clock::now() + timeout;
    Progress progress;
    while (true) {
        poll(client, list, version, progress, output);
        const bool isInForceEverywhere =
            progress.outdated.empty() && !progress.inForceSince.empty();
        if (isInForceEverywhere || Clock::now() >= deadline) {
            showOutcome(version, progress, isInForceEverywhere, output);
            return isInForceEverywhere ? ExitCode::Done : ExitCode::TryAgain;
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

} // namespace firefly::ctl
