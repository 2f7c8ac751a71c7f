#include "Jobs/JobJson.h"

#include "Records/Codec.h"
#include "Records/IdJson.h"

#include <nlohmann/json.hpp>

#include <array>
#include <stdexcept>

namespace firefly {
namespace {

constexpr std::array<BatchJobState, 5> AllStates = {
    BatchJobState::Pending, BatchJobState::Placed, BatchJobState::Cancelling,
    BatchJobState::Finished, BatchJobState::Cancelled};

BatchJobState parseJobState(std::string_view name)
{
    for (const BatchJobState it : AllStates) {
        if (toString(it) == name) {
            return it;
        }
    }
    throw std::invalid_argument("unknown job state '" + std::string(name) + "'");
}

template <typename Value>
void writeUnlessDefault(nlohmann::json &json, const char *name, const Value &value)
{
    if (value != Value{}) {
        json[name] = value;
    }
}

template <typename Value>
void readOrDefault(const nlohmann::json &json, const char *name, Value &value)
{
    value = json.value(name, Value{});
}

} // namespace

std::string_view toString(BatchJobState state)
{
    switch (state) {
    case BatchJobState::Pending:
        return "pending";
    case BatchJobState::Placed:
        return "placed";
    case BatchJobState::Cancelling:
        return "cancelling";
    case BatchJobState::Finished:
        return "finished";
    case BatchJobState::Cancelled:
        break;
    }
    return "cancelled";
}

void to_json(nlohmann::json &json, const Job &job)
{
    json = {{"id", job.id}, {"spec", job.spec}, {"state", toString(job.state)}};
    writeUnlessDefault(json, "submittedAt", job.submittedAt);
    writeUnlessDefault(json, "attempt", job.attempt);
    writeUnlessDefault(json, "progressMs", job.progressMs);
    writeUnlessDefault(json, "evictions", job.evictions);
    writeUnlessDefault(json, "failures", job.failures);
    writeUnlessDefault(json, "endedAt", job.endedAt);
    writeUnlessDefault(json, "succeeded", job.succeeded);
    writeUnlessDefault(json, "result", job.result);
    if (job.placement) {
        json["worker"] = job.placement->worker;
        json["shard"] = job.placement->shard;
        json["term"] = job.placement->term;
    }
}

void from_json(const nlohmann::json &json, Job &job)
{
    job = Job{};
    json.at("id").get_to(job.id);
    json.at("spec").get_to(job.spec);
    job.state = parseJobState(json.at("state").get<std::string>());
    readOrDefault(json, "submittedAt", job.submittedAt);
    readOrDefault(json, "attempt", job.attempt);
    readOrDefault(json, "progressMs", job.progressMs);
    readOrDefault(json, "evictions", job.evictions);
    readOrDefault(json, "failures", job.failures);
    readOrDefault(json, "endedAt", job.endedAt);
    readOrDefault(json, "succeeded", job.succeeded);
    readOrDefault(json, "result", job.result);
    if (json.contains("worker")) {
        job.placement = JobPlacement{json.at("worker").get<WorkerId>(),
                                     json.at("shard").get<ShardId>(), json.at("term").get<Term>()};
    }
}

} // namespace firefly
