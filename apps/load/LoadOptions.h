#pragma once

#include "Core/Clock.h"
#include "Core/VmInfo.h"

#include <cstdint>
#include <string>
#include <vector>

namespace firefly::load {

/// What one run drives, and against whom.
struct LoadOptions
{
    std::vector<Endpoint> entries;
    std::vector<Endpoint> workers; ///< Worker stand-ins, asked for their records at the end.
    std::string run;               ///< Makes identifiers and keys unique to this run.
    std::uint64_t seed = 1;
    std::size_t calls = 1000;
    std::size_t jobs = 10;
    std::size_t cancelledJobs = 0; ///< So many of the jobs are cancelled after their submission.
    double callsPerSecond = 200;
    double jobsPerSecond = 10;
    std::size_t concurrency = 64;
    std::size_t maxAttempts = 8; ///< Of one call, retries included.
    Duration deadline = std::chrono::seconds(2);
    Duration jobRuntime = std::chrono::seconds(3);
    Duration jobWait = std::chrono::seconds(120); ///< Until an unfinished job counts as missing.
    std::string kayalCustomer;
    std::string steekproefCustomer;
};

} // namespace firefly::load
