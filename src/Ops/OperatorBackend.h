#pragma once

#include "Ops/OperatorMessages.h"
#include "Ops/OperatorReplies.h"

#include <concepts>
#include <string>
#include <vector>

namespace firefly {

/// Interface to the entry that the operator API requires.
///
/// - `lists()`: the plans and limits in force.
/// - `proposePlans(edit, done)`, `proposeLimits(edit, done)`: append the edit to the log and report
///   its outcome when it has been read back and applied.
/// - `inForce()`: versions in force on each known entry, this one first.
/// - `drain()`: begins to drain the entry; returns at once.
/// - `dump()`, `jobStatus(id)`, `explainJob(id)`, `explainWorker(id)`: `nlohmann::json`; null if
///   the id is unknown.
/// - `metrics()`: text in the Prometheus exposition format.
/// - `submitJob`, `cancelJob`, `switchPlannedWork`: report when the record has been read back.
template <typename T>
concept OperatorBackend = requires(T &backend, const T &constBackend,
                                   EditCallback<PlansList> plansDone,
                                   EditCallback<LimitsList> limitsDone, CommandCallback done,
                                   PlansEdited plans, LimitsEdited limits, JobSubmission submission,
                                   PlannedWorkSwitched planned, JobId job, WorkerId worker)
{
    {
        constBackend.lists()
        } -> std::convertible_to<const OperatorLists &>;
    {
        constBackend.inForce()
        } -> std::same_as<std::vector<EntryListVersions>>;
    {
        constBackend.metrics()
        } -> std::same_as<std::string>;
    internal::jsonResponse(constBackend.dump());
    internal::jsonResponse(constBackend.jobStatus(job));
    internal::jsonResponse(constBackend.explainJob(job));
    internal::jsonResponse(constBackend.explainWorker(worker));
    backend.proposePlans(plans, plansDone);
    backend.proposeLimits(limits, limitsDone);
    backend.drain();
    backend.submitJob(submission, done);
    backend.cancelJob(job, done);
    backend.switchPlannedWork(planned, done);
};

} // namespace firefly
