#pragma once

#include "Records/Record.h"

#include <nlohmann/json_fwd.hpp>

#include <stdexcept>
#include <string>
#include <string_view>

namespace firefly {

/// Thrown for text that is not a record known to this version.
class CodecError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Encodes \a envelope as one line of JSON.
std::string encode(const Envelope &envelope);

/// Decodes the output of encode().
/// \throws CodecError when \a text is malformed or its record type is unknown.
Envelope decode(std::string_view text);

/// Name of the record's type in JSON, for example "JobPlaced".
std::string_view typeName(const Record &record);

void to_json(nlohmann::json &json, const Resources &value);
void from_json(const nlohmann::json &json, Resources &value);
void to_json(nlohmann::json &json, const PlansList &value);
void from_json(const nlohmann::json &json, PlansList &value);
void to_json(nlohmann::json &json, const PlanLimits &value);
void from_json(const nlohmann::json &json, PlanLimits &value);
void to_json(nlohmann::json &json, const LimitsList &value);
void from_json(const nlohmann::json &json, LimitsList &value);
void to_json(nlohmann::json &json, const BatchJobSpec &value);
void from_json(const nlohmann::json &json, BatchJobSpec &value);

} // namespace firefly
