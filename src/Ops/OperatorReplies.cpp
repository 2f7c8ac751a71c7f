#include "Ops/OperatorReplies.h"

#include "Config/Lists.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace firefly::internal {
namespace {

constexpr int Ok = 200;
constexpr int Forbidden = 403;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int Unprocessable = 422;
constexpr int Unavailable = 503;

std::string serialize(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

OperatorResponse response(int status, const nlohmann::json &json)
{
    OperatorResponse response;
    response.status = status;
    response.body = serialize(json) + "\n";
    return response;
}

template <typename List>
nlohmann::json versionJson(const VersionedList<List> &value)
{
    return {{"version", value.version}, {"author", value.author}, {"yaml", toYaml(value.list)}};
}

OperatorResponse render(const LogUnreachable &result)
{
    OperatorResponse reply = response(Unavailable, {{"error", "log not reached"},
                                                    {"mayTakeEffect", result.mayTakeEffect},
                                                    {"retryAfterS", result.retryAfter.count()}});
    reply.retryAfter = result.retryAfter;
    return reply;
}

OperatorResponse render(const EditAccepted &result)
{
    return response(Ok, {{"version", result.version}});
}

OperatorResponse render(const EditInvalid &result)
{
    return findingsResponse(result.findings);
}

template <typename List>
OperatorResponse render(const EditConflict<List> &conflict)
{
    if (conflict.yours == conflict.theirs.list) {
        return render(EditAccepted{conflict.theirs.version}); // A retry of an accepted edit.
    }
    return response(Conflict, {{"error", "conflict"},
                               {"base", conflict.base},
                               {"yours", toYaml(conflict.yours)},
                               {"theirs", versionJson(conflict.theirs)}});
}

OperatorResponse render(const CommandDone &result)
{
    return result.job.isEmpty() ? doneResponse() : response(Ok, {{"job", result.job.value()}});
}

OperatorResponse render(const CommandNotFound & /*result*/)
{
    return errorResponse(NotFound, "not known here");
}

OperatorResponse render(const CommandRefused &result)
{
    return errorResponse(Forbidden, result.reason);
}

/// Renders the alternative that \a result holds.
template <typename Result>
OperatorResponse renderAny(const Result &result)
{
    return std::visit([](const auto &it) { return render(it); }, result);
}

} // namespace

OperatorResponse errorResponse(int status, std::string_view message)
{
    return response(status, {{"error", message}});
}

OperatorResponse findingsResponse(std::span<const Finding> findings)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Finding &it : findings) {
        list.push_back({{"file", it.file},
                        {"line", it.line},
                        {"column", it.column},
                        {"field", it.field},
                        {"message", it.message}});
    }
    return response(Unprocessable, {{"error", "findings"}, {"findings", list}});
}

OperatorResponse doneResponse()
{
    return response(Ok, {{"done", true}});
}

OperatorResponse textResponse(std::string text)
{
    OperatorResponse response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = std::move(text);
    return response;
}

OperatorResponse jsonResponse(const nlohmann::json &json)
{
    if (json.is_null()) {
        return errorResponse(NotFound, "not known here");
    }
    return response(Ok, json);
}

OperatorResponse listResponse(const VersionedList<PlansList> &plans)
{
    return response(Ok, versionJson(plans));
}

OperatorResponse listResponse(const VersionedList<LimitsList> &limits)
{
    return response(Ok, versionJson(limits));
}

OperatorResponse inForceResponse(std::span<const EntryListVersions> entries)
{
    nlohmann::json list = nlohmann::json::array();
    for (const EntryListVersions &it : entries) {
        list.push_back({{"entry", it.entry.value()},
                        {"plans", it.plansVersion},
                        {"limits", it.limitsVersion},
                        {"ageMs", it.ageMs}});
    }
    return response(Ok, {{"entries", list}});
}

OperatorResponse toResponse(const EditResult<PlansList> &result)
{
    return renderAny(result);
}

OperatorResponse toResponse(const EditResult<LimitsList> &result)
{
    return renderAny(result);
}

OperatorResponse toResponse(const CommandResult &result)
{
    return renderAny(result);
}

CommandCallback makeCommandCallback(OperatorReply reply)
{
    return [reply = std::move(reply)](const CommandResult &result) { reply(toResponse(result)); };
}

} // namespace firefly::internal
