#pragma once

#include "Core/Resources.h"
#include "LoadOptions.h"

#include <string>
#include <vector>

namespace firefly::load {

/// One urgent request to be made.
struct PlannedCall
{
    std::string id;
    std::string service;
    std::string customer;
    std::string key; ///< Idempotency key; empty for idempotent services.
    std::string body;
};

/// One batch job to be submitted.
struct PlannedJob
{
    std::string key;
    std::string customer;
    std::string kind;
    Resources resources;
    std::int64_t runtimeMs = 0;
    bool isCancelled = false;
};

/// The urgent requests of a run, the same for the same options.
std::vector<PlannedCall> planCalls(const LoadOptions &options);
/// The batch jobs of a run, the same for the same options.
std::vector<PlannedJob> planJobs(const LoadOptions &options);

} // namespace firefly::load
