#pragma once

#include "Config.h"
#include "Ops/OperatorMessages.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace firefly {

/// An OperatorBackend that reads appended edits back only when the test calls readLog().
struct FakeOperatorBackend
{
    ListsFold fold;
    PlannedWorkFold plannedWork;
    Offset tail = 0;
    bool isLogUp = true;
    bool hasUnreachablePeer = false; ///< inForce() has a peer disconnected before the first edit.
    int drainCount = 0;
    bool hasImmediateReadBack = false; ///< Reads edits back without readLog().
    std::optional<JobSubmission> submitted;
    std::vector<std::function<void()>> pendingEdits;

    const OperatorLists &lists() const { return fold.inForce(); }
    std::vector<EntryListVersions> inForce() const
    {
        std::vector<EntryListVersions> entries = {
            {EntryId("kochi-1"), fold.plansVersion(), fold.limitsVersion(), 0}};
        if (hasUnreachablePeer) {
            entries.push_back({EntryId("kochi-2"), 0, 0, 12'000});
        }
        return entries;
    }
    std::string metrics() const { return "firefly_up 1\n"; }
    nlohmann::json dump() const { return {{"lists", fold.dump()}}; }
    nlohmann::json jobStatus(const JobId &job) const
    {
        return job == JobId("j1") ? nlohmann::json{{"state", "placed"}} : nlohmann::json();
    }
    nlohmann::json explainJob(const JobId &job) const { return jobStatus(job); }
    nlohmann::json explainWorker(const WorkerId &worker) const { return {{"id", worker.value()}}; }

    void proposePlans(const PlansEdited &edit, const EditCallback<PlansList> &done)
    {
        propose<PlansList>(edit, done);
    }
    void proposeLimits(const LimitsEdited &edit, const EditCallback<LimitsList> &done)
    {
        propose<LimitsList>(edit, done);
    }
    void drain() { ++drainCount; }
    void submitJob(const JobSubmission &submission, const CommandCallback &done)
    {
        submitted = submission;
        done(CommandDone{JobId("j1")});
    }
    void cancelJob(const JobId &job, const CommandCallback &done)
    {
        done(job == JobId("j1") ? CommandResult(CommandDone{job}) : CommandNotFound{});
    }
    void switchPlannedWork(const PlannedWorkSwitched &record, const CommandCallback &done)
    {
        plannedWork.apply(++tail, record);
        done(CommandDone{});
    }

    void readLog()
    {
        for (const auto &it : std::exchange(pendingEdits, {})) {
            it();
        }
    }

private:
    template <typename List, typename Edit>
    void propose(const Edit &edit, const EditCallback<List> &done)
    {
        if (!isLogUp) {
            done(LogUnreachable{std::chrono::seconds(7), true});
            return;
        }
        pendingEdits.push_back([this, edit, done] {
            const Offset offset = ++tail;
            switch (fold.apply(offset, edit)) {
            case FoldResult::Accepted:
                return done(EditAccepted{offset});
            case FoldResult::Invalid:
                return done(EditInvalid{});
            default:
                return done(fold.conflict(edit));
            }
        });
        if (hasImmediateReadBack) {
            readLog();
        }
    }
};

} // namespace firefly
