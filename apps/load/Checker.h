#pragma once

#include "Traces.h"
#include "WorkerRecords.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace firefly::load {

/// Capacity and records that one worker reported at the end of a run.
struct WorkerReport
{
    std::string worker;
    Resources capacity;
    standins::WorkerRecords records;
};

/// A rule that the run broke, with the request, job or worker concerned.
struct Violation
{
    std::string rule;
    std::string detail;
};

/// Compares the replies to the clients with the workers' records and returns all violations.
///
/// Rules: each call has one outcome; an answer belongs to its own request, and a worker executed
/// that request; a call with an idempotency key is executed at most once; a call reported as not
/// run is not executed; attempts of one job never overlap, and one of them finishes; no worker is
/// assigned more than its capacity.
std::vector<Violation> check(std::span<const CallTrace> calls, std::span<const JobTrace> jobs,
                             std::span<const WorkerReport> workers);

} // namespace firefly::load
