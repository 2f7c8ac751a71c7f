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
/// \a json as it is; 404 when it is null.
OperatorResponse jsonResponse(const nlohmann::json &json);

OperatorResponse listResponse(const ListVersion<PlansList> &plans);
OperatorResponse listResponse(const ListVersion<LimitsList> &limits);
OperatorResponse inForceResponse(std::span<const EntryInForce> entries);

OperatorResponse toResponse(const EditResult<PlansList> &result);
OperatorResponse toResponse(const EditResult<LimitsList> &result);
OperatorResponse toResponse(const CommandResult &result);

/// Turns the result of a command into the reply to its request.
CommandDoneCallback commandReply(OperatorReply reply);

} // namespace firefly::internal
