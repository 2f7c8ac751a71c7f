#include "WorkerRecords.h"

#include "Records/Codec.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace firefly::standins {

// NOLINTBEGIN(readability-identifier-naming)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallRecord, request, key, service, bodyHash, beginUs, endUs,
                                   outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskRecord, job, attempt, term, beginUs, endUs, reportedUs,
                                   beginProgressMs, endProgressMs, outcome)

void to_json(nlohmann::json &nlohmann_json_j, const WorkerRecords &nlohmann_json_t)
{
    NLOHMANN_JSON_EXPAND(
        NLOHMANN_JSON_PASTE(NLOHMANN_JSON_TO, calls, tasks, maxUse, overrunAttempts, staleMessages))
}

void from_json(const nlohmann::json &nlohmann_json_j, WorkerRecords &nlohmann_json_t){
    NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_FROM, calls, tasks, maxUse,
                                             overrunAttempts, staleMessages))}
// NOLINTEND(readability-identifier-naming)

std::string bodyHash(std::string_view body)
{
    constexpr std::uint64_t Basis = 0xcbf29ce484222325U;
    constexpr std::uint64_t Prime = 0x100000001b3U;
    std::uint64_t hash = Basis;
    for (const char c : body) {
        hash = (hash ^ static_cast<unsigned char>(c)) * Prime;
    }
    return fmt::format("{:016x}", hash);
}

} // namespace firefly::standins
