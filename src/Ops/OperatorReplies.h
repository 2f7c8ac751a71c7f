#pragma once

#include "Ops/OperatorMessages.h"

#include <nlohmann/json_fwd.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace firefly::internal {

OperatorResponse errorResponse(int status, std::string_view message);
OperatorResponse findingsResponse(std::span<const Finding> findings);
OperatorResponse doneResponse();
OperatorResponse textResponse(std::string text);
/// Response with \a json as its body; 404 if \a json is null.
OperatorResponse jsonResponse(const nlohmann::json &json);

OperatorResponse listResponse(const VersionedList<PlansList> &plans);
OperatorResponse listResponse(const VersionedList<LimitsList> &limits);
OperatorResponse inForceResponse(std::span<const EntryListVersions> entries);

OperatorResponse toResponse(const EditResult<PlansList> &result);
OperatorResponse toResponse(const EditResult<LimitsList> &result);
OperatorResponse toResponse(const CommandResult &result);

/// Returns a callback that replies with the result of a command.
CommandCallback makeCommandCallback(OperatorReply reply);

} // namespace firefly::internal
