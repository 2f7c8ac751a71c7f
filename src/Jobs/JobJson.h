#pragma once

#include "Jobs/Job.h"

#include <nlohmann/json_fwd.hpp>

namespace firefly {

/// Writes a job as it is stored in snapshots; most fields are omitted at their default value.
void to_json(nlohmann::json &json, const Job &job);
void from_json(const nlohmann::json &json, Job &job);

} // namespace firefly
