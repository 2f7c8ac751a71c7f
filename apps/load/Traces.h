#pragma once

#include "Core/Clock.h"
#include "Workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace firefly::load {

/// One attempt to run a call through an entry.
struct CallAttempt
{
    TimePoint sentAt;
    TimePoint doneAt;
    std::string outcome; ///< As stated in the reply; "none" without a complete reply.
    bool wasSent = true; ///< False if no connection was established.
    int status = 0;
    std::string body;
};

/// All attempts and the outcome of one call.
struct CallTrace
{
    PlannedCall call;
    std::vector<CallAttempt> attempts;
    std::string outcome; ///< Of the last attempt; empty while the call is pending.
};

/// Identifier, states and result of one job as its client saw them.
struct JobTrace
{
    PlannedJob job;
    std::string id;    ///< As assigned by the entry; empty if the job was never accepted.
    std::string state; ///< Last state seen.
    std::uint64_t evictions = 0;
    std::string result;
    std::string error;
    bool hasResult = false;
};

} // namespace firefly::load
