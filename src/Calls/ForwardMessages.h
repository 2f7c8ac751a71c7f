#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"
#include "Platform/WorkerMessages.h"

#include <string>

namespace firefly {

/// A call that an entry forwards to another entry, which owns a worker with a free slot.
struct ForwardedCall
{
    RequestId request;
    CustomerId customer;
    ServiceId service;
    std::string key;      ///< Idempotency key; empty for idempotent services.
    Duration remaining{}; ///< Time left until the caller's deadline.
    std::string body;
};

/// Result of a ForwardedCall.
struct ForwardedResult
{
    RequestId request;
    WorkerResult result = WorkerResult::Uncertain;
    std::string body;      ///< The complete answer when the result is Done.
    Duration retryAfter{}; ///< Delay before a retry when the call was refused.
};

} // namespace firefly
