#pragma once

#include "Ops/OperatorMessages.h"
#include "Ops/OperatorReplies.h"

#include <concepts>
#include <string>
#include <vector>

namespace firefly {

/// What the operator API needs from the entry.
///
/// - `lists()`: the pair in force.
/// - `proposePlans(edit, done)`, `proposeLimits(edit, done)`: append the edit and report what the
///   fold made of it when it was read back.
/// - `inForce()`: versions in force on each known entry, this one first.
/// - `drain()`: begin to leave; returns at once.
/// - `dump()`, `jobStatus(id)`, `explainJob(id)`, `explainWorker(id)`: `nlohmann::json`; null when
///   the id is not known.
/// - `metrics()`: text for a metrics collector.
/// - `submitJob`, `cancelJob`, `switchPlannedWork`: report when the record was read back.
template <typename T>
concept OperatorBackend = requires(T &backend, const T &shown, EditDone<PlansList> plansDone,
                                   EditDone<LimitsList> limitsDone, CommandDoneCallback done,
                                   PlansEdited plans, LimitsEdited limits, JobSubmission submission,
                                   PlannedWorkSwitched planned, JobId job, WorkerId worker)
{
    {
        shown.lists()
        } -> std::convertible_to<const ListsVersion &>;
    {
        shown.inForce()
        } -> std::same_as<std::vector<EntryInForce>>;
    {
        shown.metrics()
        } -> std::same_as<std::string>;
    internal::jsonResponse(shown.dump());
    internal::jsonResponse(shown.jobStatus(job));
    internal::jsonResponse(shown.explainJob(job));
    internal::jsonResponse(shown.explainWorker(worker));
    backend.proposePlans(plans, plansDone);
    backend.proposeLimits(limits, limitsDone);
    backend.drain();
    backend.submitJob(submission, done);
    backend.cancelJob(job, done);
    backend.switchPlannedWork(planned, done);
};

} // namespace firefly
