#include "Jobs/JobJson.h"

#include "Records/Codec.h"
#include "Records/IdJson.h"

#include <nlohmann/json.hpp>

#include <array>
#include <stdexcept>

namespace firefly {
namespace {

constexpr std::array<JobState, 5> States = {JobState::Pending, JobState::Placed,
                                            JobState::Cancelling, JobState::Finished,
                                            JobState::Cancelled};

JobState stateNamed(std::string_view name)
{
    for (const JobState it : States) {
        if (toString(it) == name) {
            return it;
        }
    }
    throw std::invalid_argument("unknown job state '" + std::string(name) + "'");
}

template <typename Value>
void put(nlohmann::json &json, const char *name, const Value &value)
{
    if (value != Value{}) {
        json[name] = value;
    }
}

template <typename Value>
void take(const nlohmann::json &json, const char *name, Value &value)
{
    value = json.value(name, Value{});
}

} // namespace

std::string_view toString(JobState state)
{
    switch (state) {
    case JobState::Pending:
        return "pending";
    case JobState::Placed:
        return "placed";
    case JobState::Cancelling:
        return "cancelling";
    case JobState::Finished:
        return "finished";
    case JobState::Cancelled:
        break;
    }
    return "cancelled";
}

void to_json(nlohmann::json &json, const Job &job)
{
    json = {{"id", job.id}, {"spec", job.spec}, {"state", toString(job.state)}};
    put(json, "submittedAt", job.submittedAt);
    put(json, "attempt", job.attempt);
    put(json, "progressMs", job.progressMs);
    put(json, "evictions", job.evictions);
    put(json, "failures", job.failures);
    put(json, "endedAt", job.endedAt);
    put(json, "succeeded", job.succeeded);
    put(json, "result", job.result);
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
    job.state = stateNamed(json.at("state").get<std::string>());
    take(json, "submittedAt", job.submittedAt);
    take(json, "attempt", job.attempt);
    take(json, "progressMs", job.progressMs);
    take(json, "evictions", job.evictions);
    take(json, "failures", job.failures);
    take(json, "endedAt", job.endedAt);
    take(json, "succeeded", job.succeeded);
    take(json, "result", job.result);
    if (json.contains("worker")) {
        job.placement = JobPlacement{json.at("worker").get<WorkerId>(),
                                     json.at("shard").get<ShardId>(), json.at("term").get<Term>()};
    }
}

} // namespace firefly
