#pragma once

#include "Cell/CellScheduler.h"
#include "Fleet/CallerRequest.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace firefly {

/// Request between the owner of a job's cell and the owner of another cell, the guest, about tasks
/// of the job that are delegated to the guest.
struct DelegationRequest
{
    int cell = 0; ///< That of the receiver.
    JobId job;
    /// Tasks to take over, as encoded by JobRecords::encodeDelegation(); unset to revoke.
    std::optional<std::string> record;
    bool isReturn = false; ///< The guest gives the tasks back; else it gets or loses them.
};

/// Sends a request to the owner of its cell; \a done is called once.  Done means that the receiver
/// has stored the request; after any other outcome it may be repeated.
using SendDelegation = std::function<void(const DelegationRequest &request, OnCallerReply done)>;

/// Reply to a request with the verdict \a verdict.
CallerReply toReply(CellScheduler::Verdict verdict);

/// Passes \a request to the scheduler of the receiving cell.
void answerDelegation(CellScheduler &receiver, const DelegationRequest &request, TimePoint now,
                      std::int64_t nowUnixMs, const OnCallerReply &done);

} // namespace firefly
