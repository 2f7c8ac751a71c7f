#pragma once

#include "Core/Resources.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace firefly::standins {

/// One executed call; times are microseconds of Clock.
struct CallRecord
{
    std::string request;
    std::string key;
    std::string service;
    std::string bodyHash; ///< FNV-1a, 64 bits, in hexadecimal.
    std::int64_t beginUs = 0;
    std::int64_t endUs = 0; ///< 0 while the call runs.
    std::string outcome;    ///< running, answered, failed or cut.
};

/// One executed task attempt; times are microseconds of Clock.
struct TaskRecord
{
    std::string job;
    std::uint64_t attempt = 0;
    std::uint64_t term = 0;
    std::int64_t beginUs = 0;
    std::int64_t endUs = 0;      ///< 0 while the task runs.
    std::int64_t reportedUs = 0; ///< First accepted sync that reported the end; 0 before.
    std::int64_t beginProgressMs = 0;
    std::int64_t endProgressMs = 0;
    std::string outcome; ///< running, finished, failed, stopped, lapsed or lost.
};

/// What one worker executed, kept across its reboots so that a checker can verify reports.
struct WorkerRecords
{
    std::vector<CallRecord> calls;
    std::vector<TaskRecord> tasks;
    Resources maxUse;                  ///< Peak of concurrent use, of each resource separately.
    std::uint64_t overrunAttempts = 0; ///< Tasks and calls refused for lack of resources.
    std::uint64_t staleMessages = 0;   ///< Messages refused for a stale term, sync number or lease.
};

void to_json(nlohmann::json &json, const WorkerRecords &value);
void from_json(const nlohmann::json &json, WorkerRecords &value);

/// Returns the hash of a call's body as CallRecord::bodyHash holds it.
std::string bodyHash(std::string_view body);

} // namespace firefly::standins
