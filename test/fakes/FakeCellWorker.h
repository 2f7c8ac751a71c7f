#pragma once

#include "Cell/CellMessages.h"
#include "fakes/CellAudit.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace firefly {

/// A worker that behaves as the platform's do, at the level of typed messages.
///
/// It doesn't guard its capacity: the audit does.
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
        info.labels = {"kind", rack};
        info.bornUnixMs = born;
        info.isDraining = isDraining;
        return info;
    }

    OrderOutcome start(const StartTask &order, Epoch epoch, TimePoint now)
    {
        tick(now);
        if (!admit(epoch)) {
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
        if (it != m_running.end() || m_highest[order.task] >= order.run) {
            return OrderOutcome::OldRun;
        }
        m_audit.noteStart(m_id, capacity, order);
        m_running[order.task] = {order.run, now, now + workTime, failsNext, order.checkpoint};
        return OrderOutcome::Accepted;
    }

    OrderOutcome stop(const StopTask &order, Epoch epoch, TimePoint now)
    {
        tick(now);
        if (!admit(epoch)) {
            return OrderOutcome::FencedOff;
        }
        m_highest[order.task] = std::max(m_highest[order.task], order.run);
        const auto it = m_running.find(order.task);
        if (it != m_running.end() && it->second.run == order.run) {
            end(order.task, RunEnd::Stopped, now);
        }
        return OrderOutcome::Accepted;
    }

    OrderOutcome pace(const PaceTask & /*order*/, Epoch epoch, TimePoint now)
    {
        tick(now);
        return admit(epoch) ? OrderOutcome::Accepted : OrderOutcome::FencedOff;
    }

    OrderOutcome renew(const RenewLease &order, Epoch epoch, TimePoint now, LeaseReport &report)
    {
        tick(now);
        if (!admit(epoch)) {
            return OrderOutcome::FencedOff;
        }
        if (order.deadlineMs) {
            extendLease(*order.deadlineMs, now);
        }
        m_audit.noteAcknowledged(m_id, order.lastSeenEnd);
        std::erase_if(m_ended,
                      [&order](const EndedRun &it) { return it.number <= order.lastSeenEnd; });
        report = LeaseReport{};
        report.clockMs = clockMs(now);
        report.bornUnixMs = born;
        for (const auto &[task, run] : m_running) {
            RunningTask row;
            row.task = task;
            row.run = run.run;
            row.percent = isLasting(task) ? AtWork : static_cast<int>(++m_percent % AtWork);
            report.running.push_back(row);
        }
        report.ended = m_ended;
        return OrderOutcome::Accepted;
    }

    /// Ends what is over: leases and work.
    void tick(TimePoint now)
    {
        m_bootAt = m_bootAt == TimePoint{} ? now - std::chrono::seconds(1) : m_bootAt;
        const bool isLapsed = clockMs(now) > m_deadlineMs;
        std::vector<std::pair<TaskName, RunEnd>> over;
        for (const auto &[task, run] : m_running) {
            if (run.endsAt <= now && !isLasting(task)) {
                over.emplace_back(task, run.fails ? RunEnd::Failed : RunEnd::Done);
            } else if (isLapsed) {
                over.emplace_back(task, RunEnd::Lapsed);
            }
        }
        if (isLapsed) {
            m_audit.forgetEnds(m_id);
        }
        for (const auto &[task, how] : over) {
            end(task, how, now);
        }
    }

    /// Loses all state and comes back as a new incarnation.
    void reboot(TimePoint now)
    {
        for (const auto &[task, run] : m_running) {
            m_audit.noteGone(m_id, task);
        }
        m_audit.forgetEnds(m_id);
        m_running.clear();
        m_ended.clear();
        m_highest.clear();
        m_fence = 0;
        m_number = 0;
        m_deadlineMs = 0;
        m_bootAt = now;
        isDraining = false;
        ++born;
    }

    /// The worker's own clock, which may run slow or fast.
    std::int64_t clockMs(TimePoint now) const
    {
        const auto elapsed = std::chrono::duration<double, std::milli>(now - m_bootAt);
        return static_cast<std::int64_t>(elapsed.count() * clockRate);
    }

    bool isIdle() const { return m_running.empty(); }
    /// Ends that no owner has taken note of.
    bool hasEnds() const { return !m_ended.empty(); }

    std::int64_t born = 1;
    bool isReachable = true;
    bool isDraining = false;
    Duration workTime = std::chrono::milliseconds(500);
    bool failsNext = false;
    double clockRate = 1.0;
    Duration longestLease = std::chrono::seconds(6);
    Room capacity{8000, 64000, 0};
    Endpoint endpoint{"10.0.0.1", 80};
    std::string rack = "r1";

private:
    static constexpr int AtWork = 100; ///< Percent of a long-running task that has started up.

    struct Run
    {
        std::uint32_t run = 0;
        TimePoint startedAt{};
        TimePoint endsAt{};
        bool fails = false;
        std::string checkpoint;
    };

    bool isLasting(const TaskName &task) const
    {
        const StepSpec *step = m_audit.stepOf(task);
        return step && step->isLongRunning;
    }

    bool admit(Epoch epoch)
    {
        if (epoch < m_fence) {
            return false;
        }
        m_fence = epoch;
        return true;
    }

    void extendLease(std::int64_t deadlineMs, TimePoint now)
    {
        const auto longest =
            std::chrono::duration_cast<std::chrono::milliseconds>(longestLease).count();
        m_deadlineMs = std::max(m_deadlineMs, std::min(deadlineMs, clockMs(now) + longest));
    }

    void end(const TaskName &task, RunEnd how, TimePoint now)
    {
        const Run run = m_running.at(task);
        m_running.erase(task);
        m_highest[task] = std::max(m_highest[task], run.run);
        std::string checkpoint = run.checkpoint;
        const StepSpec *step = m_audit.stepOf(task);
        if (step && step->isCheckpointing && how != RunEnd::Done) {
            checkpoint = m_id + "-" + std::to_string((now - run.startedAt).count());
            m_audit.checkpoints[task].insert(checkpoint);
        }
        m_ended.push_back({++m_number, task, run.run, how, checkpoint});
        m_audit.noteEnd(m_id, m_number, task, how);
    }

    std::string m_id;
    CellAudit &m_audit;
    TimePoint m_bootAt{};
    Epoch m_fence = 0;
    std::int64_t m_deadlineMs = 0;
    std::uint64_t m_number = 0;
    std::uint64_t m_percent = 0;
    std::map<TaskName, Run> m_running;
    std::map<TaskName, std::uint32_t> m_highest;
    std::vector<EndedRun> m_ended;
};

} // namespace firefly
