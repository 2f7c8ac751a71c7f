#pragma once

#include "Core/Clock.h"
#include "Core/VmInfo.h"

#include <cstdint>
#include <string>
#include <vector>

namespace firefly::load {

/// Parameters of one load run: its size, its rates and the addresses to use.
struct LoadOptions
{
    std::vector<Endpoint> entries;
    std::vector<Endpoint> workers; ///< Worker stand-ins; their records are read at the end.
    std::string run;               ///< Makes identifiers and keys unique to this run.
    std::uint64_t seed = 1;
    std::size_t calls = 1000;
    std::size_t jobs = 10;
    std::size_t cancelledJobs = 0; ///< Number of the jobs that are cancelled after submission.
    double callsPerSecond = 200;
    double jobsPerSecond = 10;
    std::size_t concurrency = 64;
    std::size_t maxAttempts = 8; ///< Per call, retries included.
    Duration deadline = std::chrono::seconds(2);
    Duration jobRuntime = std::chrono::seconds(3);
    Duration jobWait = std::chrono::seconds(120); ///< Limit for a job to finish.
    std::string kayalCustomer;
    std::string steekproefCustomer;
};

} // namespace firefly::load
