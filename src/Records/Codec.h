#pragma once

#include "Records/Record.h"

#include <nlohmann/json_fwd.hpp>

#include <stdexcept>
#include <string>
#include <string_view>

namespace firefly {

/// Thrown for bytes that are not a record this version understands.
class CodecError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Encodes \a envelope as one line of JSON.
std::string encode(const Envelope &envelope);

/// Decodes what encode() gave.
/// \throws CodecError
Envelope decode(std::string_view text);

/// JSON name of the record's type, for example "JobPlaced".
std::string_view typeName(const Record &record);

void to_json(nlohmann::json &json, const Resources &value);
void from_json(const nlohmann::json &json, Resources &value);
void to_json(nlohmann::json &json, const PlansList &value);
void from_json(const nlohmann::json &json, PlansList &value);
void to_json(nlohmann::json &json, const PlanLimits &value);
void from_json(const nlohmann::json &json, PlanLimits &value);
void to_json(nlohmann::json &json, const LimitsList &value);
void from_json(const nlohmann::json &json, LimitsList &value);
void to_json(nlohmann::json &json, const JobSpec &value);
void from_json(const nlohmann::json &json, JobSpec &value);

} // namespace firefly
