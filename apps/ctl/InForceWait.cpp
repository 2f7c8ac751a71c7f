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

/// An entry that still has an older version.
struct Behind
{
    Offset version = 0;
    std::int64_t ageMs = 0; ///< Time since it was last heard from.
};

/// What one poll or more have shown.
struct Progress
{
    std::map<std::string, std::string> since; ///< Entry to the time it was first seen in force.
    std::map<std::string, Behind> behind;
};

/// Asks once; a reply that is missing or unusable changes nothing.
void poll(const OperatorClient &client, const std::string &list, Offset version, Progress &progress,
          Output output)
{
    ClientResponse response;
    try {
        response = client.send("GET", "/ops/inforce");
    } catch (const NotReached &) {
        return;
    }
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    if (exitCodeOf(response.status) != ExitCode::Done || !json.is_object()) {
        return;
    }
    progress.behind.clear();
    for (const nlohmann::json &it : json.at("entries")) {
        const auto entry = it.at("entry").get<std::string>();
        const auto has = it.at(list).get<Offset>();
        if (has < version) {
            progress.behind[entry] = Behind{has, it.at("ageMs").get<std::int64_t>()};
            continue;
        }
        const bool isFirst = progress.since.emplace(entry, timeOfDay()).second;
        if (isFirst && !output.isJson) {
            output.out << entry << ": in force " << progress.since[entry] << " UTC\n" << std::flush;
        }
    }
}

void showEnd(Offset version, const Progress &progress, bool isDone, Output output)
{
    if (output.isJson) {
        nlohmann::json json = {
            {"version", version}, {"everywhere", isDone}, {"inForceSince", progress.since}};
        for (const auto &[entry, behind] : progress.behind) {
            json["behind"][entry] = {{"version", behind.version}, {"ageMs", behind.ageMs}};
        }
        output.out << json.dump() << "\n";
        return;
    }
    for (const auto &[entry, behind] : progress.behind) {
        output.out << entry << ": still version " << behind.version << "\n  heard "
                   << behind.ageMs / MsPerSecond << " s ago\n";
    }
    output.out << (isDone ? "in force everywhere\n" : "not in force everywhere yet\n");
}

} // namespace

ExitCode waitInForce(const OperatorClient &client, const std::string &list, Offset version,
                     Duration timeout, Output output)
{
    const TimePoint deadline = Clock::now() + timeout;
    Progress progress;
    while (true) {
        poll(client, list, version, progress, output);
        const bool isDone = progress.behind.empty() && !progress.since.empty();
        if (isDone || Clock::now() >= deadline) {
            showEnd(version, progress, isDone, output);
            return isDone ? ExitCode::Done : ExitCode::TryAgain;
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

} // namespace firefly::ctl
