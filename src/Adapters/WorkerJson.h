#pragma once

/// \file JSON conversion of the VM list and of the messages to and from workers.

#include "Core/VmInfo.h"
#include "Platform/WorkerMessages.h"

#include <nlohmann/json_fwd.hpp>

namespace firefly {

void to_json(nlohmann::json &json, const Endpoint &value);
void from_json(const nlohmann::json &json, Endpoint &value);
void to_json(nlohmann::json &json, const WorkerInfo &value);
void from_json(const nlohmann::json &json, WorkerInfo &value);
void to_json(nlohmann::json &json, const EntryInfo &value);
void from_json(const nlohmann::json &json, EntryInfo &value);
void to_json(nlohmann::json &json, const VmList &value);
void from_json(const nlohmann::json &json, VmList &value);
void to_json(nlohmann::json &json, const TaskReport &value);
void from_json(const nlohmann::json &json, TaskReport &value);
void to_json(nlohmann::json &json, const WorkerSync &value);
void from_json(const nlohmann::json &json, WorkerSync &value);
void to_json(nlohmann::json &json, const WorkerSyncReply &value);
void from_json(const nlohmann::json &json, WorkerSyncReply &value);
void to_json(nlohmann::json &json, const StartAttempt &value);
void from_json(const nlohmann::json &json, StartAttempt &value);
void to_json(nlohmann::json &json, const StopAttempt &value);
void from_json(const nlohmann::json &json, StopAttempt &value);
void to_json(nlohmann::json &json, const ThrottleAttempt &value);
void from_json(const nlohmann::json &json, ThrottleAttempt &value);

} // namespace firefly
