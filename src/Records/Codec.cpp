#include "Records/Codec.h"

#include "Records/IdJson.h"
#include "Records/JsonFields.h"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace firefly {

NLOHMANN_JSON_SERIALIZE_ENUM(Outcome, {{Outcome::Answer, "answer"},
                                       {Outcome::Failed, "failed"},
                                       {Outcome::NotRun, "not-run"},
                                       {Outcome::Unknown, "unknown"}})
NLOHMANN_JSON_SERIALIZE_ENUM(EvictionReason, {{EvictionReason::Pressure, "pressure"},
                                              {EvictionReason::WorkerLost, "worker-lost"},
                                              {EvictionReason::LeaseLapsed, "lease-lapsed"},
                                              {EvictionReason::Refused, "refused"},
                                              {EvictionReason::PlannedStop, "planned-stop"},
                                              {EvictionReason::TaskFailed, "task-failed"}})

// NOLINTBEGIN(readability-identifier-naming)
FIREFLY_JSON(Resources, milliProcessors, memoryMiB, accelerators, slots)
FIREFLY_JSON(PlansList, planOfCustomer)
FIREFLY_JSON(PlanLimits, resources, zones, urgentPerSecond, weight)
FIREFLY_JSON(LimitsList, limitsOfPlan)
FIREFLY_JSON(BatchJobSpec, customer, kind, resources, runtimeMs, payload)

FIREFLY_JSON(ShardClaimed, entry, shard, previousTerm)
FIREFLY_JSON(ShardReleased, entry, shard, term)
FIREFLY_JSON(PlansEdited, author, baseVersion, list)
FIREFLY_JSON(LimitsEdited, author, baseVersion, list)
FIREFLY_JSON(JobSubmitted, job, spec)
FIREFLY_JSON(JobPlaced, job, attempt, worker, shard, term)
FIREFLY_JSON(JobCheckpointed, job, attempt, term, progressMs)
FIREFLY_JSON(JobEvicted, job, attempt, term, reason, progressMs)
FIREFLY_JSON(JobFinished, job, attempt, term, succeeded, result)
FIREFLY_JSON(JobCancelled, job)
FIREFLY_JSON(CallIntended, customer, key, entry, writer, request, bodyHash)
FIREFLY_JSON(CallConcluded, customer, key, request, outcome, answer)
FIREFLY_JSON(PlannedWorkSwitched, author, customer, kind, running)
FIREFLY_JSON(SnapshotPart, snapshot, covers, index, count, data)
// NOLINTEND(readability-identifier-naming)

namespace {

constexpr std::array<std::string_view, std::variant_size_v<Record>> TypeNames = {
    "ShardClaimed", "ShardReleased",   "PlansEdited",         "LimitsEdited", "JobSubmitted",
    "JobPlaced",    "JobCheckpointed", "JobEvicted",          "JobFinished",  "JobCancelled",
    "CallIntended", "CallConcluded",   "PlannedWorkSwitched", "SnapshotPart"};

template <std::size_t Index>
bool decodeAs(std::string_view type, const nlohmann::json &json, Record &record)
{
    if (TypeNames[Index] != type) {
        return false;
    }
    record.emplace<Index>(json.get<std::variant_alternative_t<Index, Record>>());
    return true;
}

template <std::size_t... Indexes>
Record decodeRecord(std::string_view type, const nlohmann::json &json,
                    std::index_sequence<Indexes...> /*indexes*/)
{
    Record record;
    if (!(decodeAs<Indexes>(type, json, record) || ...)) {
        throw CodecError("unknown record type '" + std::string(type) + "'");
    }
    return record;
}

} // namespace

std::string_view typeName(const Record &record)
{
    return TypeNames[record.index()];
}

std::string encode(const Envelope &envelope)
{
    nlohmann::json json;
    json["writer"] = envelope.writer;
    json["sequence"] = envelope.sequence;
    json["type"] = typeName(envelope.record);
    json["record"] =
        std::visit([](const auto &record) { return nlohmann::json(record); }, envelope.record);
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Envelope decode(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        Envelope envelope;
        json.at("writer").get_to(envelope.writer);
        json.at("sequence").get_to(envelope.sequence);
        envelope.record = decodeRecord(json.at("type").get<std::string>(), json.at("record"),
                                       std::make_index_sequence<std::variant_size_v<Record>>());
        return envelope;
    } catch (const nlohmann::json::exception &e) {
        throw CodecError(e.what());
    }
}

} // namespace firefly
