#pragma once

#include "Cell/CellScheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace firefly {

/// What all workers of a CellWorld agree on: the rules that no owner may break.
struct CellAudit
{
    /// An end `done`; it counts once its worker may forget it, unless the worker lost it before.
    struct Done
    {
        std::string worker;
        std::uint64_t number = 0;
        bool isNoted = false;
        bool isRepeated = false; ///< A run started after it.
    };

    std::map<TaskName, std::set<std::string>> runningOn;
    std::map<TaskName, std::vector<Done>> done;
    std::map<TaskName, std::vector<Done>> failed;
    std::vector<std::string> violations;

    void noteDone(const std::string &worker, std::uint64_t lastSeen)
    {
        for (auto &[task, ends] : done) {
            for (Done &it : ends) {
                if (it.worker != worker || it.number > lastSeen || it.isNoted) {
                    continue;
                }
                it.isNoted = true;
                if (it.isRepeated) {
                    violate("start after done", task);
                }
            }
        }
    }

    void noteFailed(const std::string &worker, std::uint64_t lastSeen)
    {
        for (auto &[task, ends] : failed) {
            for (Done &it : ends) {
                it.isNoted = it.isNoted || (it.worker == worker && it.number <= lastSeen);
            }
        }
    }

    /// The ends of \a worker that nobody took note of don't count any more.
    void forgetDone(const std::string &worker)
    {
        for (auto &[task, ends] : done) {
            std::erase_if(ends, [&](const Done &it) { return it.worker == worker && !it.isNoted; });
        }
        for (auto &[task, ends] : failed) {
            std::erase_if(ends, [&](const Done &it) { return it.worker == worker && !it.isNoted; });
        }
    }

    void noteStart(const TaskName &task)
    {
        for (Done &it : done[task]) {
            it.isRepeated = true;
            if (it.isNoted) {
                violate("start after done", task);
            }
        }
    }

    bool hasEverEnded(const TaskName &task) const { return everDone.contains(task); }

    std::set<TaskName> everDone;

    void violate(const std::string &what, const TaskName &task)
    {
        violations.push_back(what + ": " + task.job.value() + "." + std::to_string(task.occurrence)
                             + "." + std::to_string(task.step) + "." + std::to_string(task.index));
    }
};

/// A worker that behaves as the platform's do, at the level of typed messages.
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
        info.endpoint = {"10.0.0.1", 80};
        info.capacity = {8000, 64000, 0};
        info.bornUnixMs = born;
        return info;
    }

    OrderOutcome start(const StartTask &order, Epoch epoch, TimePoint now,
                       const std::function<void(const StartTask &)> &check)
    {
        tick(now);
        if (epoch < m_fence) {
            return OrderOutcome::FencedOff;
        }
        m_fence = epoch;
        if (order.deadlineMs <= clockMs(now)) {
            return OrderOutcome::Late;
        }
        m_deadlineMs = std::max(m_deadlineMs, order.deadlineMs);
        const auto it = m_running.find(order.task);
        if (it != m_running.end() && it->second.run == order.run) {
            return OrderOutcome::Accepted;
        }
        if (it != m_running.end() || m_highest[order.task] >= order.run) {
            return OrderOutcome::OldRun;
        }
        check(order);
        if (!m_audit.runningOn[order.task].empty()) {
            m_audit.violate("two runs at the same time", order.task);
        }
        m_audit.noteStart(order.task);
        m_audit.runningOn[order.task].insert(m_id);
        m_running[order.task] = {order.run, now + workTime, failsNext};
        return OrderOutcome::Accepted;
    }

    OrderOutcome stop(const StopTask &order, Epoch epoch, TimePoint now)
    {
        tick(now);
        if (epoch < m_fence) {
            return OrderOutcome::FencedOff;
        }
        m_fence = epoch;
        m_highest[order.task] = std::max(m_highest[order.task], order.run);
        const auto it = m_running.find(order.task);
        if (it != m_running.end() && it->second.run == order.run) {
            end(order.task, RunEnd::Stopped);
        }
        return OrderOutcome::Accepted;
    }

    OrderOutcome renew(const RenewLease &order, Epoch epoch, TimePoint now, LeaseReport &report)
    {
        tick(now);
        if (epoch < m_fence) {
            return OrderOutcome::FencedOff;
        }
        m_fence = epoch;
        if (order.deadlineMs) {
            m_deadlineMs = std::max(m_deadlineMs, *order.deadlineMs);
        }
        m_audit.noteDone(m_id, order.lastSeenEnd);
        m_audit.noteFailed(m_id, order.lastSeenEnd);
        std::erase_if(m_ended,
                      [&order](const EndedRun &it) { return it.number <= order.lastSeenEnd; });
        report.clockMs = clockMs(now);
        report.bornUnixMs = born;
        for (const auto &[task, run] : m_running) {
            RunningTask row;
            row.task = task;
            row.run = run.run;
            row.percent = static_cast<int>(++m_percent % 100);
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
            if (run.endsAt <= now) {
                over.emplace_back(task, run.fails ? RunEnd::Failed : RunEnd::Done);
            } else if (isLapsed) {
                over.emplace_back(task, RunEnd::Lapsed);
            }
        }
        if (isLapsed) {
            m_audit.forgetDone(m_id);
        }
        for (const auto &[task, how] : over) {
            end(task, how);
        }
    }

    /// Loses all state and comes back as a new incarnation.
    void reboot(TimePoint now)
    {
        for (const auto &[task, run] : m_running) {
            m_audit.runningOn[task].erase(m_id);
        }
        m_audit.forgetDone(m_id);
        m_running.clear();
        m_ended.clear();
        m_highest.clear();
        m_fence = 0;
        m_number = 0;
        m_deadlineMs = 0;
        m_bootAt = now;
        ++born;
    }

    std::int64_t clockMs(TimePoint now) const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - m_bootAt).count();
    }

    bool isIdle() const { return m_running.empty(); }

    std::int64_t born = 1;
    bool isReachable = true;
    Duration workTime = std::chrono::milliseconds(500);
    bool failsNext = false;

private:
    struct Run
    {
        std::uint32_t run = 0;
        TimePoint endsAt{};
        bool fails = false;
    };

    void end(const TaskName &task, RunEnd how)
    {
        const std::uint32_t run = m_running.at(task).run;
        m_running.erase(task);
        m_highest[task] = std::max(m_highest[task], run);
        m_audit.runningOn[task].erase(m_id);
        m_ended.push_back({++m_number, task, run, how, {}});
        if (how == RunEnd::Done) {
            m_audit.done[task].push_back({m_id, m_number});
            m_audit.everDone.insert(task);
        }
        if (how == RunEnd::Failed) {
            m_audit.failed[task].push_back({m_id, m_number});
        }
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

/// A store of keyed records and workers around the owners of one cell, in simulated time.
///
/// Every message takes a random time; faults are switched on by the fields below.
class CellWorld
{
public:
    explicit CellWorld(std::uint32_t seed, int workerCount = 4)
        : random(seed)
    {
        bounds.maxLease = std::chrono::seconds(6);
        for (int i = 0; i < workerCount; ++i) {
            const std::string id = "w" + std::to_string(i);
            workers[id] = std::make_unique<FakeCellWorker>(id, audit);
        }
        newOwner(now);
    }

    /// Replaces the owner: the earlier one hears nothing and is gone.
    void newOwner(TimePoint locateUntil)
    {
        owner = std::make_unique<CellScheduler>(bounds);
        ++m_generation;
        owner->beginOwnership(++epoch, now, locateUntil);
        for (const auto &[key, value] : store) {
            owner->restore(key, value);
        }
        owner->restored(now, unixMs());
        for (const auto &[id, worker] : workers) {
            owner->onWorkerListed(worker->describe(), now);
        }
        m_isAppending = false;
    }

    std::int64_t unixMs() const
    {
        return 1'000'000
               + std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())
                     .count();
    }

    void submit(const JobId &id, const JobSpec &spec)
    {
        specs[id.value()] = spec;
        owner->submit(id, spec, now, unixMs(), [this, id](CellScheduler::Verdict verdict) {
            if (verdict == CellScheduler::Verdict::Accepted) {
                accepted.insert(id.value());
            }
        });
    }

    void run(Duration span)
    {
        const TimePoint end = now + span;
        while (now < end) {
            step();
        }
    }

    void step()
    {
        constexpr Duration Step = std::chrono::milliseconds(5);
        now += Step;
        while (!m_events.empty() && m_events.top().at <= now) {
            const auto action = m_events.top().action;
            m_events.pop();
            action();
        }
        for (auto &[id, worker] : workers) {
            worker->tick(now);
        }
        owner->setOrdersUntil(now + bounds.maxLease);
        owner->tick(now, unixMs());
        for (CellAction &it : owner->takeActions()) {
            std::visit([this](const auto &order) { send(order); }, it);
        }
        append();
    }

    bool isFinished(const JobId &id) const
    {
        const auto state = owner->stateOf(id);
        return state && isFinal(*state);
    }

    std::mt19937 random;
    CellBounds bounds;
    TimePoint now{std::chrono::seconds(100)};
    CellAudit audit;
    std::map<std::string, std::unique_ptr<FakeCellWorker>> workers;
    std::map<std::string, std::string> store;
    std::map<std::string, JobSpec> specs;
    std::set<std::string> accepted;
    std::unique_ptr<CellScheduler> owner;
    Epoch epoch = 0;
    double lateShare = 0.0; ///< Orders without an answer that are carried out seconds later.
    bool isStoreDown = false;

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    void after(Duration delay, std::function<void()> action)
    {
        m_events.push({now + delay, ++m_eventNumber, std::move(action)});
    }

    Duration anyDelay()
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(1, 15)(random));
    }

    bool chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random) < p; }

    void checkStart(const StartTask &order)
    {
        const auto it = specs.find(order.task.job.value());
        if (it == specs.end()) {
            audit.violate("start that nobody asked for", order.task);
            return;
        }
        for (const std::uint32_t before : it->second.steps[order.task.step].after) {
            for (std::uint32_t i = 0; i < it->second.steps[before].taskCount; ++i) {
                if (!audit.hasEverEnded({order.task.job, order.task.occurrence, before, i})) {
                    audit.violate("start before an earlier step is done", order.task);
                }
            }
        }
        if (audit.failed[order.task].size() >= it->second.policy.maxAttempts) {
            audit.violate("start beyond the attempts", order.task);
        }
    }

    /// Carries an order to its worker and the outcome back to the owner that sent it.
    template <typename Execute, typename Done>
    void exchange(const WorkerId &id, Execute execute, Done done)
    {
        constexpr Duration Timeout = std::chrono::milliseconds(1000);
        FakeCellWorker &worker = *workers.at(id.value());
        // What was under way to an incarnation ends with it.
        const auto executeIfSame = [execute, &worker, born = worker.born] {
            return worker.born == born ? execute() : OrderOutcome::Unknown;
        };
        const auto reply = [this, done, sender = m_generation](OrderOutcome outcome) {
            if (sender == m_generation) {
                done(outcome);
            }
        };
        if (!worker.isReachable) {
            after(Timeout, [reply] { reply(OrderOutcome::Unknown); });
            return;
        }
        if (chance(lateShare)) {
            const auto late =
                std::chrono::milliseconds(std::uniform_int_distribution<int>(2000, 9000)(random));
            after(late, [executeIfSame] { executeIfSame(); });
            after(Timeout, [reply] { reply(OrderOutcome::Unknown); });
            return;
        }
        after(anyDelay(), [this, executeIfSame, reply] {
            const OrderOutcome outcome = executeIfSame();
            after(anyDelay(), [reply, outcome] { reply(outcome); });
        });
    }

    void send(const StartTask &order)
    {
        const auto clock = std::make_shared<std::optional<std::int64_t>>();
        exchange(
            order.worker,
            [this, order, clock, by = epoch] {
                *clock = workers.at(order.worker.value())->clockMs(now);
                return workers.at(order.worker.value())
                    ->start(order, by, now, [this](const StartTask &it) { checkStart(it); });
            },
            [this, order, clock](OrderOutcome outcome) {
                owner->onStartReply(order.worker, order.task, order.run, {outcome, *clock}, now);
            });
    }

    void send(const StopTask &order)
    {
        exchange(
            order.worker,
            [this, order, by = epoch] {
                return workers.at(order.worker.value())->stop(order, by, now);
            },
            [this, order](OrderOutcome outcome) {
                owner->onStopOutcome(order.worker, order.task, order.run, outcome, now);
            });
    }

    void send(const PaceTask &) {}
    void send(const CellNote &) {}

    void send(const RenewLease &order)
    {
        const auto report = std::make_shared<LeaseReport>();
        exchange(
            order.worker,
            [this, order, report, by = epoch] {
                return workers.at(order.worker.value())->renew(order, by, now, *report);
            },
            [this, order, report, sentAt = now](OrderOutcome outcome) {
                owner->onLeaseReport(order.worker, outcome, *report, sentAt, now, unixMs());
            });
    }

    void append()
    {
        if (m_isAppending) {
            return;
        }
        const auto batch = owner->journal().next();
        if (!batch) {
            return;
        }
        m_isAppending = true;
        after(anyDelay(), [this, batch = *batch, sender = m_generation] {
            if (sender != m_generation) {
                return;
            }
            if (!isStoreDown) {
                for (const KeyedRecord &it : batch.records) {
                    if (it.value) {
                        store[it.key] = *it.value;
                    } else {
                        store.erase(it.key);
                    }
                }
            }
            m_isAppending = false;
            owner->journal().onOutcome(isStoreDown ? AppendOutcome::Rejected
                                                   : AppendOutcome::Stored);
        });
    }

    std::priority_queue<Event> m_events;
    std::uint64_t m_eventNumber = 0;
    std::uint64_t m_generation = 0;
    bool m_isAppending = false;
};

/// A job of \a steps steps of \a width tasks, each after the one before.
inline JobSpec makeChain(std::uint32_t steps, std::uint32_t width)
{
    JobSpec spec;
    spec.payload = "work";
    spec.policy = {QueueName("q"), "svc", 1, 4, 2.0, 1000};
    for (std::uint32_t i = 0; i < steps; ++i) {
        StepSpec step;
        step.taskCount = width;
        step.demand = {1000, 100, 0};
        step.estimateMs = 500;
        if (i > 0) {
            step.after = {i - 1};
        }
        spec.steps.push_back(step);
    }
    return spec;
}

} // namespace firefly
