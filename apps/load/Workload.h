#pragma once

#include "Core/Resources.h"
#include "LoadOptions.h"

#include <string>
#include <vector>

namespace firefly::load {

/// One urgent request of the workload.
struct PlannedCall
{
    std::string id;
    std::string service;
    std::string customer;
    std::string key; ///< Idempotency key; empty for idempotent services.
    std::string body;
};

/// One batch job of the workload.
struct PlannedJob
{
    std::string key;
    std::string customer;
    std::string kind;
    Resources resources;
    std::int64_t runtimeMs = 0;
    bool isCancelled = false;
};

/// Generates the urgent requests of a run; equal options give equal requests.
std::vector<PlannedCall> planCalls(const LoadOptions &options);
/// Generates the batch jobs of a run; equal options give equal jobs.
std::vector<PlannedJob> planJobs(const LoadOptions &options);

} // namespace firefly::load
