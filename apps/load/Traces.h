#pragma once

#include "Core/Clock.h"
#include "Workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace firefly::load {

/// One sending of a call to an entry.
struct CallAttempt
{
    TimePoint sentAt;
    TimePoint doneAt;
    std::string outcome; ///< As the entry named it; "none" without a whole reply.
    bool wasSent = true; ///< False when the connection was never made.
    int status = 0;
    std::string body;
};

/// Everything that happened to one call.
struct CallTrace
{
    PlannedCall call;
    std::vector<CallAttempt> attempts;
    std::string outcome; ///< Of the last attempt; empty while it runs.
};

/// Everything that happened to one job.
struct JobTrace
{
    PlannedJob job;
    std::string id;    ///< As the entry named it; empty when never accepted.
    std::string state; ///< Last state seen.
    std::uint64_t evictions = 0;
    std::string result;
    std::string error;
    bool hasResult = false;
};

} // namespace firefly::load
