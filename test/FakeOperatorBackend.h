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

/// An entry whose log answers when the test says so.
struct FakeOperatorBackend
{
    ListsFold fold;
    PlannedWorkFold planned;
    Offset tail = 0;
    bool isLogUp = true;
    bool hasSilentPeer = false; ///< A peer that was cut off before the first edit.
    int drains = 0;
    bool isImmediate = false; ///< The log answers without readLog().
    std::optional<JobSubmission> submitted;
    std::vector<std::function<void()>> pending;

    const ListsVersion &lists() const { return fold.inForce(); }
    std::vector<EntryInForce> inForce() const
    {
        std::vector<EntryInForce> entries = {
            {EntryId("kochi-1"), fold.plansVersion(), fold.limitsVersion(), 0}};
        if (hasSilentPeer) {
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

    void proposePlans(const PlansEdited &edit, const EditDone<PlansList> &done)
    {
        propose<PlansList>(edit, done);
    }
    void proposeLimits(const LimitsEdited &edit, const EditDone<LimitsList> &done)
    {
        propose<LimitsList>(edit, done);
    }
    void drain() { ++drains; }
    void submitJob(const JobSubmission &submission, const CommandDoneCallback &done)
    {
        submitted = submission;
        done(CommandDone{JobId("j1")});
    }
    void cancelJob(const JobId &job, const CommandDoneCallback &done)
    {
        done(job == JobId("j1") ? CommandResult(CommandDone{job}) : CommandNotFound{});
    }
    void switchPlannedWork(const PlannedWorkSwitched &record, const CommandDoneCallback &done)
    {
        planned.apply(++tail, record);
        done(CommandDone{});
    }

    void readLog()
    {
        for (const auto &it : std::exchange(pending, {})) {
            it();
        }
    }

private:
    template <typename List, typename Edit>
    void propose(const Edit &edit, const EditDone<List> &done)
    {
        if (!isLogUp) {
            done(LogNotReached{std::chrono::seconds(7), true});
            return;
        }
        pending.push_back([this, edit, done] {
            const Offset offset = ++tail;
            switch (fold.apply(offset, edit)) {
            case FoldVerdict::Accepted:
                return done(EditAccepted{offset});
            case FoldVerdict::Invalid:
                return done(EditInvalid{});
            default:
                return done(fold.conflict(edit));
            }
        });
        if (isImmediate) {
            readLog();
        }
    }
};

} // namespace firefly
