#pragma once

#include "Cell/CellScheduler.h"
#include "Fleet/CallerRequest.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace firefly {

/// Request of the owner of a job's cell to the owner of another cell, the guest, about tasks of the
/// job that are delegated to it.
struct DelegationRequest
{
    int guest = 0;
    JobId job;
    /// Tasks to take over, as encoded by JobRecords::encodeDelegation(); unset to revoke.
    std::optional<std::string> record;
};

/// Sends a request to the owner of its guest cell; \a done is called once.  Done means that the
/// guest has stored the request; after any other outcome it may be repeated.
using SendDelegation = std::function<void(const DelegationRequest &request, OnCallerReply done)>;

/// Reply to a request with the verdict \a verdict.
CallerReply toReply(CellScheduler::Verdict verdict);

/// Passes \a request to the scheduler of the guest cell.
void answerDelegation(CellScheduler &guest, const DelegationRequest &request, TimePoint now,
                      std::int64_t nowUnixMs, const OnCallerReply &done);

} // namespace firefly
