#pragma once

#include "Jobs/Job.h"

#include <nlohmann/json_fwd.hpp>

namespace firefly {

/// JSON of a job in a snapshot; fields that have their default are left out.
void to_json(nlohmann::json &json, const Job &job);
void from_json(const nlohmann::json &json, Job &job);

} // namespace firefly
