#pragma once

#include "Core/Resources.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace firefly::standins {

/// One call that was executed; times are microseconds of the program's Clock.
struct CallRecord
{
    std::string request;
    std::string key;
    std::string service;
    std::string bodyHash; ///< FNV-1a, 64 bits, in hexadecimal.
    std::int64_t beginUs = 0;
    std::int64_t endUs = 0; ///< 0 while it runs.
    std::string outcome;    ///< running, answered, failed or cut.
};

/// One task attempt that was executed; times are microseconds of the program's Clock.
struct TaskRecord
{
    std::string job;
    std::uint64_t attempt = 0;
    std::uint64_t term = 0;
    std::int64_t beginUs = 0;
    std::int64_t endUs = 0;      ///< 0 while it runs.
    std::int64_t reportedUs = 0; ///< First accepted sync that listed its end; 0 before.
    std::int64_t beginProgressMs = 0;
    std::int64_t endProgressMs = 0;
    std::string outcome; ///< running, finished, failed, stopped, lapsed or lost.
};

/// What one worker really executed; survives its restarts.
struct WorkerRecords
{
    std::vector<CallRecord> calls;
    std::vector<TaskRecord> tasks;
    Resources maxUse;                  ///< Largest concurrent use seen, each amount by itself.
    std::uint64_t overrunAttempts = 0; ///< Work refused because it did not fit.
    std::uint64_t staleMessages = 0;   ///< Messages refused for their term, number or lease.
};

void to_json(nlohmann::json &json, const WorkerRecords &value);
void from_json(const nlohmann::json &json, WorkerRecords &value);

/// Hash of a call's body, as in CallRecord::bodyHash.
std::string bodyHash(std::string_view body);

} // namespace firefly::standins
