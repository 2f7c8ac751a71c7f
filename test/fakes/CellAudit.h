#pragma once

#include "Cell/CellMessages.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace firefly {

/// What all workers agree on: the rules that no owner may break, checked as runs begin and end.
struct CellAudit
{
    /// An end `done` or `failed`; it counts once its worker may forget it, unless the worker lost
    /// it before.
    struct End
    {
        std::string worker;
        std::uint64_t number = 0;
        bool isNoted = false;
        bool isRepeated = false; ///< A run started after it.
    };

    std::map<std::string, JobSpec> specs; ///< By job: what clients have sent.
    std::map<TaskName, std::set<std::string>> runningOn;
    std::map<TaskName, std::vector<End>> done;
    std::map<TaskName, std::vector<End>> failed;
    std::map<TaskName, std::set<std::string>> checkpoints;
    std::map<std::string, Room> used; ///< By worker.
    std::set<TaskName> everDone;
    std::set<std::string> everStarted; ///< Jobs.
    std::vector<std::string> violations;

    const StepSpec *stepOf(const TaskName &task) const
    {
        const auto it = specs.find(task.job.value());
        return it == specs.end() ? nullptr : &it->second.steps.at(task.step);
    }

    /// A run begins on \a worker, which has room for \a capacity.
    void noteStart(const std::string &worker, const Room &capacity, const StartTask &order)
    {
        const TaskName &task = order.task;
        if (!runningOn[task].empty()) {
            violate("two runs at the same time", task);
        }
        for (End &it : done[task]) {
            it.isRepeated = true;
            if (it.isNoted) {
                violate("start after done", task);
            }
        }
        runningOn[task].insert(worker);
        everStarted.insert(task.job.value());
        const StepSpec *step = stepOf(task);
        if (!step) {
            violate("start that nobody asked for", task);
            return;
        }
        checkAsked(task, *step, order.checkpoint);
        used[worker].add(step->reservation());
        if (!capacity.fits(used[worker])) {
            violate("start beyond the worker's capacity", task);
        }
    }

    /// The run of \a task on \a worker is over, whatever its end.
    void noteGone(const std::string &worker, const TaskName &task)
    {
        runningOn[task].erase(worker);
        if (const StepSpec *step = stepOf(task)) {
            used[worker].subtract(step->reservation());
        }
    }

    void noteEnd(const std::string &worker, std::uint64_t number, const TaskName &task, RunEnd how)
    {
        noteGone(worker, task);
        if (how == RunEnd::Done) {
            done[task].push_back({worker, number});
            everDone.insert(task);
        }
        if (how == RunEnd::Failed) {
            failed[task].push_back({worker, number});
        }
    }

    /// \a worker may forget its ends up to \a lastSeen.
    void noteAcknowledged(const std::string &worker, std::uint64_t lastSeen)
    {
        for (auto &[task, ends] : done) {
            for (End &it : ends) {
                if (it.worker != worker || it.number > lastSeen || it.isNoted) {
                    continue;
                }
                it.isNoted = true;
                if (it.isRepeated) {
                    violate("start after done", task);
                }
            }
        }
        for (auto &[task, ends] : failed) {
            for (End &it : ends) {
                it.isNoted = it.isNoted || (it.worker == worker && it.number <= lastSeen);
            }
        }
    }

    /// The ends of \a worker that nobody took note of don't count any more.
    void forgetEnds(const std::string &worker)
    {
        for (auto *ends : {&done, &failed}) {
            for (auto &[task, list] : *ends) {
                std::erase_if(list,
                              [&](const End &it) { return it.worker == worker && !it.isNoted; });
            }
        }
    }

    void violate(const std::string &what, const TaskName &task)
    {
        violations.push_back(what + ": " + task.job.value() + "." + std::to_string(task.occurrence)
                             + "." + std::to_string(task.step) + "." + std::to_string(task.index));
    }

private:
    void checkAsked(const TaskName &task, const StepSpec &step, const std::string &checkpoint)
    {
        const JobSpec &spec = specs.at(task.job.value());
        for (const std::uint32_t before : step.after) {
            for (std::uint32_t i = 0; i < spec.steps[before].taskCount; ++i) {
                if (!everDone.contains({task.job, task.occurrence, before, i})) {
                    violate("start before an earlier step is done", task);
                }
            }
        }
        if (!step.isLongRunning && failed[task].size() >= spec.policy.maxAttempts) {
            violate("start beyond the attempts", task);
        }
        if (!checkpoint.empty() && !checkpoints[task].contains(checkpoint)) {
            violate("start with another task's checkpoint", task);
        }
    }
};

} // namespace firefly
