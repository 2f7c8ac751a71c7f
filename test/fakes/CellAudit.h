#pragma once

#include "Cell/CellMessages.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace firefly {

/// Invariants over all workers that no owner may violate, checked as runs start and end.
struct CellAudit
{
    /// A run that ended as `done` or `failed`.  It counts once an owner has acknowledged it, but
    /// not if the worker lost it before.
    struct End
    {
        std::string worker;
        std::uint64_t number = 0; ///< As EndedRun::number.
        bool isAcknowledged = false;
        bool isRestarted = false;           ///< Another run started after it.
        std::uint64_t acknowledgedUpTo = 0; ///< Of the acknowledgement.
        /// Latest end of the worker at that time; a higher acknowledgement is of an earlier
        /// incarnation.
        std::uint64_t latestNumber = 0;
    };
    /// A run that a worker has begun.
    struct Start
    {
        std::uint32_t run = 0;
        std::string worker;
        std::int64_t incarnation = 0; ///< Of the worker.
        TimePoint at{};
    };

    std::map<std::string, JobSpec> specs;                ///< Submitted jobs, by id.
    std::map<TaskName, std::set<std::string>> runningOn; ///< Ids of workers.
    std::map<TaskName, std::vector<std::uint32_t>> runs; ///< Numbers of the started runs, in order.
    std::map<TaskName, std::vector<std::string>> startedOn; ///< Ids of workers, of the same runs.
    std::map<TaskName, std::vector<Start>> starts;
    std::map<TaskName, std::vector<End>> done;
    std::map<TaskName, std::vector<End>> failed;
    std::map<TaskName, std::set<std::string>> checkpoints;
    std::map<std::string, ResourceVector> used; ///< By worker.
    std::set<TaskName> everDone;
    std::set<TaskName> everFailed;
    /// Numbers of the runs that a worker has listed as ended by a failure.  An owner may count
    /// these from then on, even if their worker restarts, or its lease lapses, before an
    /// acknowledgement.
    std::map<TaskName, std::set<std::uint32_t>> listedFailures;
    std::map<TaskName, int> lostRuns; ///< Number of runs that ended with their worker.
    std::map<TaskName, int> crashes;  ///< Workers that the task has crashed.
    /// Starts of the task since it crashed its MaxCrashes-th worker.
    std::map<TaskName, int> startsAfterCrashes;
    static constexpr int MaxCrashes = 3;
    /// Number of such starts that breaks the platform's budget.
    static constexpr int MaxStartsAfterCrashes = 3;
    std::set<std::string> everStarted; ///< Ids of jobs.
    std::vector<std::string> violations;

    const StepSpec *stepOf(const TaskName &task) const
    {
        const auto it = specs.find(task.job.value());
        return it == specs.end() ? nullptr : &it->second.steps.at(task.step);
    }

    /// Records and checks the start of a run at \a now on \a worker with the given total
    /// \a capacity.
    void recordStart(const std::string &worker, std::int64_t incarnation, TimePoint now,
                     const ResourceVector &capacity, const StartTask &order)
    {
        const TaskName &task = order.task;
        if (crashes[task] >= MaxCrashes && ++startsAfterCrashes[task] >= MaxStartsAfterCrashes) {
            addViolation("start after the budget of crashes", task);
        }
        const bool isRunning = !runningOn[task].empty();
        runningOn[task].insert(worker);
        runs[task].push_back(order.run);
        startedOn[task].push_back(worker);
        starts[task].push_back({order.run, worker, incarnation, now});
        if (isRunning) {
            addViolation("two runs of a task at the same time", task, describeStarts(task));
        }
        for (End &it : done[task]) {
            it.isRestarted = true;
            if (it.isAcknowledged) {
                addViolation("start after done", task, describeStarts(task) + describe(it));
            }
        }
        everStarted.insert(task.job.value());
        const StepSpec *step = stepOf(task);
        if (!step) {
            addViolation("start of a task of an unknown job", task);
            return;
        }
        checkStart(task, *step, order.checkpoint);
        used[worker].add(step->reservation());
        if (!capacity.fits(used[worker])) {
            addViolation("start exceeds the worker's capacity", task);
        }
    }

    /// Removes the run of \a task from \a worker, for whatever reason it ended.
    void removeRun(const std::string &worker, const TaskName &task)
    {
        runningOn[task].erase(worker);
        if (const StepSpec *step = stepOf(task)) {
            used[worker].subtract(step->reservation());
        }
    }

    /// Records the end of the run of \a task on \a worker.
    void recordEnd(const std::string &worker, std::uint64_t number, const TaskName &task,
                   RunEndReason reason)
    {
        removeRun(worker, task);
        if (reason == RunEndReason::Done) {
            done[task].push_back({worker, number});
            everDone.insert(task);
        }
        if (reason == RunEndReason::Failed) {
            failed[task].push_back({worker, number});
            everFailed.insert(task);
        }
    }

    /// A worker has listed \a end.
    void recordListed(const EndedRun &end)
    {
        if (end.reason == RunEndReason::Failed) {
            listedFailures[end.task].insert(end.run);
        }
    }

    /// True if a batch task of \a job has used up its attempts by failures that an owner may know.
    bool hasUsedUpAttempts(const JobId &job) const
    {
        const std::uint32_t maxAttempts = specs.at(job.value()).policy.maxAttempts;
        return std::ranges::any_of(listedFailures, [&](const auto &it) {
            const StepSpec *step = stepOf(it.first);
            return it.first.job == job && step && !step->isLongRunning
                   && it.second.size() >= maxAttempts;
        });
    }

    /// An owner has acknowledged the ended runs of \a worker, of which \a latest is the last one,
    /// up to number \a lastSeen.
    void recordAcknowledgement(const std::string &worker, std::uint64_t lastSeen,
                               std::uint64_t latest)
    {
        for (auto &[task, ends] : done) {
            for (End &it : ends) {
                if (it.worker != worker || it.number > lastSeen || it.isAcknowledged) {
                    continue;
                }
                it.isAcknowledged = true;
                it.acknowledgedUpTo = lastSeen;
                it.latestNumber = latest;
                if (it.isRestarted) {
                    addViolation("start after done", task, describeStarts(task) + describe(it));
                }
            }
        }
        for (auto &[task, ends] : failed) {
            for (End &it : ends) {
                it.isAcknowledged =
                    it.isAcknowledged || (it.worker == worker && it.number <= lastSeen);
            }
        }
    }

    /// \a worker has lost its ended runs; those that aren't acknowledged don't count any more.
    void discardUnacknowledgedEnds(const std::string &worker)
    {
        for (auto *ends : {&done, &failed}) {
            for (auto &[task, list] : *ends) {
                std::erase_if(
                    list, [&](const End &it) { return it.worker == worker && !it.isAcknowledged; });
            }
        }
    }

    void addViolation(const std::string &what, const TaskName &task,
                      const std::string &details = {})
    {
        violations.push_back(what + ": " + task.job.value() + "." + std::to_string(task.occurrence)
                             + "." + std::to_string(task.step) + "." + std::to_string(task.index)
                             + details);
    }

private:
    /// The latest starts of \a task in their order, with the time since its first one.
    std::string describeStarts(const TaskName &task) const
    {
        constexpr std::size_t MaxStarts = 5;
        const std::vector<Start> &list = starts.at(task);
        std::string text;
        for (std::size_t i = list.size() - std::min(list.size(), MaxStarts); i < list.size(); ++i) {
            const Start &it = list[i];
            const auto age =
                std::chrono::duration_cast<std::chrono::milliseconds>(it.at - list.front().at);
            text += "; run " + std::to_string(it.run) + " on " + it.worker + " incarnation "
                    + std::to_string(it.incarnation) + " at " + std::to_string(age.count()) + " ms"
                    + (runningOn.at(task).contains(it.worker) ? " (running)" : "");
        }
        return text;
    }

    static std::string describe(const End &end)
    {
        return "; end " + std::to_string(end.number) + " of " + end.worker
               + " acknowledged by last_seen " + std::to_string(end.acknowledgedUpTo)
               + " when the latest end was " + std::to_string(end.latestNumber);
    }

    void checkStart(const TaskName &task, const StepSpec &step, const std::string &checkpoint)
    {
        const JobSpec &spec = specs.at(task.job.value());
        for (const std::uint32_t before : step.after) {
            for (std::uint32_t i = 0; i < spec.steps[before].taskCount; ++i) {
                if (!everDone.contains({task.job, task.occurrence, before, i})) {
                    addViolation("start before an earlier step is done", task);
                }
            }
        }
        if (!step.isLongRunning && failed[task].size() >= spec.policy.maxAttempts) {
            addViolation("start after the last attempt has failed", task);
        }
        if (!checkpoint.empty() && !checkpoints[task].contains(checkpoint)) {
            addViolation("start with a checkpoint that the task never had", task);
        }
    }
};

} // namespace firefly
