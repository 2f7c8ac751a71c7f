#pragma once

#include "Cell/CellMessages.h"
#include "fakes/CellAudit.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace firefly {

/// A worker with the behaviour of the platform's workers, at the level of typed messages.
///
/// It doesn't enforce its capacity; CellAudit checks it.
class FakeCellWorker
{
public:
    FakeCellWorker(std::string id, CellAudit &audit)
        : m_id(std::move(id))
        , m_audit(audit)
    {}

    WorkerDescription describe() const
    {
        WorkerDescription info;
        info.id = WorkerId(m_id);
        info.service = "svc";
        info.endpoint = endpoint;
        info.capacity = capacity;
        info.rack = rack;
        info.zone = zone;
        info.labels = {"kind", rack};
        info.incarnationStartUnixMs = incarnation;
        info.isDraining = isDraining;
        return info;
    }

    OrderOutcome start(const StartTask &order, Epoch epoch, TimePoint now)
    {
        tick(now);
        if (!acceptEpoch(epoch)) {
            return OrderOutcome::FencedOff;
        }
        if (order.deadlineMs <= clockMs(now)) {
            return OrderOutcome::Late;
        }
        extendLease(order.deadlineMs, now);
        const auto it = m_running.find(order.task);
        if (it != m_running.end() && it->second.run == order.run) {
            return OrderOutcome::Accepted;
        }
        if (it != m_running.end() || m_highestRun[order.task] >= order.run) {
            return OrderOutcome::OldRun;
        }
        m_audit.recordStart(m_id, incarnation, now, countedCapacity(now), order);
        const StepSpec *step = m_audit.stepOf(order.task);
        const bool isWaiting = holdsGangMembers && step && step->isGang;
        isLateUntil = std::max(isLateUntil, now + lateAfterStart);
        Run &run = m_running[order.task];
        run.run = order.run;
        run.startedAt = now;
        run.endsAt = isWaiting ? TimePoint::max() : now + workTime;
        run.fails = hasFailingRuns || failingJobs.contains(order.task.job.value());
        run.checkpoint = order.checkpoint;
        return OrderOutcome::Accepted;
    }

    OrderOutcome stop(const StopTask &order, Epoch epoch, TimePoint now)
    {
        tick(now);
        if (!acceptEpoch(epoch)) {
            return OrderOutcome::FencedOff;
        }
        m_highestRun[order.task] = std::max(m_highestRun[order.task], order.run);
        const auto it = m_running.find(order.task);
        if (it != m_running.end() && it->second.run == order.run) {
            it->second.stopsAt = it->second.stopsAt.value_or(now + stopTime);
            tick(now);
        }
        return OrderOutcome::Accepted;
    }

    /// Pauses the run at a pace of 0, else lets it work.
    OrderOutcome pace(const PaceTask &order, Epoch epoch, TimePoint now)
    {
        tick(now);
        if (!acceptEpoch(epoch)) {
            return OrderOutcome::FencedOff;
        }
        const auto it = m_running.find(order.task);
        if (it == m_running.end() || it->second.run != order.run) {
            return OrderOutcome::OldRun;
        }
        Run &run = it->second;
        if (run.pausedAt) {
            run.endsAt += now - *run.pausedAt;
            run.pausedAt.reset();
        }
        if (order.percent == 0) {
            run.pausedAt = now;
        }
        return OrderOutcome::Accepted;
    }

    OrderOutcome renew(const RenewLease &order, Epoch epoch, TimePoint now, LeaseReport &report)
    {
        tick(now);
        if (!acceptEpoch(epoch)) {
            return OrderOutcome::FencedOff;
        }
        if (order.deadlineMs) {
            extendLease(*order.deadlineMs, now);
        }
        m_audit.recordAcknowledgement(m_id, order.acknowledgedEndNumber, m_lastEndNumber);
        std::erase_if(m_ended, [&order](const EndedRun &it) {
            return it.number <= order.acknowledgedEndNumber;
        });
        report = LeaseReport{};
        report.fence = epoch;
        report.clockMs = clockMs(now);
        report.incarnationStartUnixMs = incarnation;
        for (auto &[task, run] : m_running) {
            RunningTask row;
            row.task = task;
            row.run = run.run;
            if (!run.pausedAt) {
                m_percent += isProgressing ? 1 : 0;
                run.percent = static_cast<int>(m_percent % StartedPercent);
            }
            row.percent = isLongRunningTask(task) ? StartedPercent : run.percent;
            const StepSpec *step = m_audit.stepOf(task);
            row.usage = step && step->targetMs > 0 ? tailLatencyMs : 0.0;
            report.running.push_back(row);
        }
        const auto listed = std::min(m_ended.size(), MaxListedEnds);
        report.ended.assign(m_ended.begin(), m_ended.begin() + static_cast<std::ptrdiff_t>(listed));
        for (const EndedRun &it : report.ended) {
            m_audit.recordListed(it);
        }
        report.mayOmitEnds = listed == MaxListedEnds;
        return OrderOutcome::Accepted;
    }

    /// Ends the runs that have finished their work or whose lease has expired.
    void tick(TimePoint now)
    {
        m_bootAt = m_bootAt == TimePoint{} ? now - std::chrono::seconds(1) : m_bootAt;
        const bool isLapsed = clockMs(now) > m_deadlineMs;
        std::vector<std::pair<TaskName, RunEndReason>> over;
        for (const auto &[task, run] : m_running) {
            if (run.stopsAt && *run.stopsAt <= now) {
                over.emplace_back(task, RunEndReason::Stopped);
            } else if (run.endsAt <= now && !run.pausedAt && !isLongRunningTask(task)) {
                over.emplace_back(task, run.fails ? RunEndReason::Failed : RunEndReason::Done);
            } else if (isLapsed) {
                over.emplace_back(task, RunEndReason::Lapsed);
            }
        }
        if (isLapsed) {
            m_audit.discardUnacknowledgedEnds(m_id);
        }
        for (const auto &[task, reason] : over) {
            end(task, reason, now);
        }
    }

    /// Drops all state and restarts as a new incarnation.
    void reboot(TimePoint now)
    {
        for (const auto &[task, run] : m_running) {
            m_audit.removeRun(m_id, task);
            ++m_audit.lostRuns[task];
        }
        m_audit.discardUnacknowledgedEnds(m_id);
        m_running.clear();
        m_ended.clear();
        m_highestRun.clear();
        m_highestEpoch = 0;
        m_lastEndNumber = 0;
        m_deadlineMs = 0;
        m_bootAt = now;
        isDraining = false;
        ++incarnation;
    }

    /// Ends the process: all state is lost, and nothing listens at its address.
    void crash(TimePoint now)
    {
        reboot(now);
        state = State::Down;
    }

    /// Changes the capacity while runs go on; describe() tells at once.
    void resize(const ResourceVector &to, TimePoint now)
    {
        m_earlierCapacity = countedCapacity(now);
        m_resizedAt = now;
        capacity = to;
    }

    /// What answers at the worker's address.
    enum class State {
        Up,
        Down,     ///< Nothing.
        Replaced, ///< Another incarnation, under another id.
    };

    /// Reading of the worker's steady clock, which may run slow or fast.
    std::int64_t clockMs(TimePoint now) const
    {
        const auto elapsed = std::chrono::duration<double, std::milli>(now - m_bootAt);
        return static_cast<std::int64_t>(elapsed.count() * clockRate);
    }

    /// Ends the run of \a task, and lists the end.
    void end(const TaskName &task, RunEndReason reason, TimePoint now)
    {
        const Run run = m_running.at(task);
        m_running.erase(task);
        m_highestRun[task] = std::max(m_highestRun[task], run.run);
        std::string checkpoint = run.checkpoint;
        const StepSpec *step = m_audit.stepOf(task);
        if (step && step->isCheckpointing && reason != RunEndReason::Done) {
            checkpoint = m_id + "-" + std::to_string((now - run.startedAt).count());
            m_audit.checkpoints[task].insert(checkpoint);
        }
        m_ended.push_back({++m_lastEndNumber, task, run.run, reason, checkpoint});
        m_audit.recordEnd(m_id, m_lastEndNumber, task, reason);
    }

    std::vector<TaskName> runningTasks() const
    {
        std::vector<TaskName> tasks;
        for (const auto &[task, run] : m_running) {
            tasks.push_back(task);
        }
        return tasks;
    }

    /// A run that is a member of a gang.
    struct GangMember
    {
        TaskName task;
        std::uint32_t run = 0;
        TimePoint startedAt{};
        bool isWaiting = false; ///< Until beginWork().
    };
    std::vector<GangMember> gangMembers() const
    {
        std::vector<GangMember> members;
        for (const auto &[task, run] : m_running) {
            const StepSpec *step = m_audit.stepOf(task);
            if (step && step->isGang) {
                members.push_back({task, run.run, run.startedAt, run.endsAt == TimePoint::max()});
            }
        }
        return members;
    }

    /// Lets the run of \a task, which waits for the other members of its gang, work until
    /// \a endsAt.
    void beginWork(const TaskName &task, TimePoint endsAt, bool fails)
    {
        Run &run = m_running.at(task);
        run.endsAt = endsAt;
        run.fails = fails;
    }

    std::size_t pausedCount() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            m_running, [](const auto &it) { return it.second.pausedAt.has_value(); }));
    }

    bool isIdle() const { return m_running.empty(); }
    /// True while the worker lists ended runs that no owner has acknowledged.
    bool hasEndedRuns() const { return !m_ended.empty(); }

    /// Longest list of ended runs in one report.
    static constexpr std::size_t MaxListedEnds = 500;

    std::string zone;
    std::int64_t incarnation = 1; ///< Increases with each reboot().
    State state = State::Up;
    bool isRegistered = true; ///< The platform lists it.
    bool isReachable = true;
    TimePoint isLateUntil{}; ///< It leaves orders unanswered and carries them out late until then.
    Duration lateAfterStart{}; ///< It does so for this long after each start.
    bool isDraining = false;
    bool isProgressing = true;  ///< The progress of tasks changes from report to report.
    double tailLatencyMs = 0.0; ///< Reported for serving tasks.
    Duration workTime = std::chrono::milliseconds(500); ///< Of runs started from now on.
    Duration stopTime{};                                ///< From a stop order until its run ends.
    bool holdsGangMembers = false; ///< Members of gangs started from now on wait for beginWork().
    bool hasFailingRuns = false;   ///< Runs started from now on end with a failure.
    std::set<std::string> failingJobs; ///< So do the runs of these jobs.
    double clockRate = 1.0;            ///< Relative to simulated time.
    Duration maxLease = std::chrono::seconds(6);
    ResourceVector capacity{8000, 64000, 0};
    Endpoint endpoint{"10.0.0.1", 80};
    std::string rack = "r1";

private:
    static constexpr int StartedPercent =
        100; ///< Progress of a long-running task that has started up.

    /// Time from a resize until starts that exceed a smaller capacity count against the owner.
    static constexpr Duration ResizeTolerance = std::chrono::milliseconds(4500);

    /// Limit of the starts at \a now: a smaller capacity counts only once an owner must know it.
    ResourceVector countedCapacity(TimePoint now) const
    {
        if (m_resizedAt == TimePoint{} || now - m_resizedAt >= ResizeTolerance) {
            return capacity;
        }
        return {std::max(capacity.milliCpu, m_earlierCapacity.milliCpu),
                std::max(capacity.memoryMb, m_earlierCapacity.memoryMb),
                std::max(capacity.gpus, m_earlierCapacity.gpus)};
    }

    struct Run
    {
        std::uint32_t run = 0;
        TimePoint startedAt{};
        TimePoint endsAt{};
        bool fails = false;
        std::string checkpoint;
        int percent = 0;                   ///< As listed last.
        std::optional<TimePoint> pausedAt; ///< Set while its pace is 0.
        std::optional<TimePoint> stopsAt;  ///< Set once it was told to stop.
    };

    bool isLongRunningTask(const TaskName &task) const
    {
        const StepSpec *step = m_audit.stepOf(task);
        return step && step->isLongRunning;
    }

    bool acceptEpoch(Epoch epoch)
    {
        if (epoch < m_highestEpoch) {
            return false;
        }
        m_highestEpoch = epoch;
        return true;
    }

    void extendLease(std::int64_t deadlineMs, TimePoint now)
    {
        const auto longest =
            std::chrono::duration_cast<std::chrono::milliseconds>(maxLease).count();
        m_deadlineMs = std::max(m_deadlineMs, std::min(deadlineMs, clockMs(now) + longest));
    }

    ResourceVector m_earlierCapacity; ///< Before the latest resize.
    TimePoint m_resizedAt{};
    std::string m_id;
    CellAudit &m_audit;
    TimePoint m_bootAt{};
    Epoch m_highestEpoch = 0;
    std::int64_t m_deadlineMs = 0;
    std::uint64_t m_lastEndNumber = 0;
    std::uint64_t m_percent = 0;
    std::map<TaskName, Run> m_running;
    std::map<TaskName, std::uint32_t> m_highestRun;
    std::vector<EndedRun> m_ended;
};

} // namespace firefly
