#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"
#include "Platform/WorkerMessages.h"

#include <string>

namespace firefly {

/// A call that one entry hands to the owner of a worker with room.
struct ForwardedCall
{
    RequestId request;
    CustomerId customer;
    ServiceId service;
    std::string key;      ///< Idempotency key; empty for idempotent services.
    Duration remaining{}; ///< Time left until the caller's deadline.
    std::string body;
};

/// What became of a ForwardedCall.
struct ForwardedResult
{
    RequestId request;
    WorkerResult result = WorkerResult::Uncertain;
    std::string body;      ///< Whole when the result is Done.
    Duration retryAfter{}; ///< When refused: when to come back.
};

} // namespace firefly
