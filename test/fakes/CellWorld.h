#pragma once

#include "Cell/CellScheduler.h"
#include "fakes/CellAudit.h"
#include "fakes/FakeCellWorker.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace firefly {

/// Simulation of one cell: its owner, workers and record store, in simulated time.
///
/// Every message has a random delay; public fields inject faults.
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
            workers[id]->endpoint.address = "10.0.0." + std::to_string(i + 1);
        }
        replaceOwner(now);
    }

    /// Replaces the owner by one with the next epoch, without notice to the earlier one.
    void replaceOwner(TimePoint locateUntil)
    {
        owner = std::make_unique<CellScheduler>(bounds);
        ++m_generation;
        owner->setEvacuatedZones(evacuatedZones);
        owner->beginOwnership(++epoch, now, locateUntil);
        for (const auto &[key, value] : store) {
            owner->restore(key, value);
        }
        owner->finishRestore(now, unixMs());
        for (const auto &[id, worker] : workers) {
            if (worker->isRegistered) {
                owner->onWorkerListed(worker->describe(), now);
            }
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
        audit.specs[id.value()] = spec;
        owner->submit(id, spec, now, unixMs(), [this, id](CellScheduler::Verdict verdict) {
            if (verdict == CellScheduler::Verdict::Accepted) {
                accepted.insert(id.value());
            }
        });
    }

    /// Advances the simulated time by \a span.
    void run(Duration span)
    {
        const TimePoint end = now + span;
        while (now < end) {
            step();
        }
    }

    /// Advances the simulated time by one tick of 5 ms.
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
        timeOwner([this] { owner->tick(now, unixMs()); });
        for (CellAction &it : owner->takeActions()) {
            std::visit([this](const auto &order) { send(order); }, it);
        }
        append();
    }

    /// Tells the owner, and through it later ones, that \a zones are evacuated; from now on the
    /// audit fails starts there.
    void evacuate(const std::set<std::string> &zones)
    {
        evacuatedZones = zones;
        owner->setEvacuatedZones(zones);
    }

    /// Changes the capacity of the worker \a id; the owner reads of it after \a delay.
    void resizeWorker(const std::string &id, const ResourceVector &capacity, Duration delay)
    {
        workers.at(id)->resize(capacity, now);
        after(delay, [this, id] { owner->onWorkerListed(workers.at(id)->describe(), now); });
    }

    /// Crashes the worker \a id; it is back after \a downtime under another id at its address.
    void crashWorker(const std::string &id, Duration downtime)
    {
        FakeCellWorker &worker = *workers.at(id);
        if (worker.state != FakeCellWorker::State::Up) {
            return;
        }
        breakGangs(id);
        worker.crash(now);
        ++crashCount;
        after(downtime, [this, id] {
            FakeCellWorker &old = *workers.at(id);
            old.state = FakeCellWorker::State::Replaced;
            const std::string next = id.substr(0, id.find('.')) + "." + std::to_string(crashCount)
                                     + "-" + std::to_string(workers.size());
            auto &created = workers[next];
            created = std::make_unique<FakeCellWorker>(next, audit);
            created->workTime = old.workTime;
            created->capacity = old.capacity;
            created->rack = old.rack;
            created->zone = old.zone;
            created->endpoint = old.endpoint;
            created->incarnation = unixMs();
            owner->onWorkerListed(created->describe(), now);
        });
        after(downtime + ListingDelay, [this, id] {
            workers.at(id)->isRegistered = false;
            owner->onWorkerGone(WorkerId(id), now);
        });
    }

    /// Lets time pass while the owner's process is paused; messages to it wait.  Then it ticks
    /// before it reads any.
    void pauseOwner(Duration span)
    {
        constexpr Duration Step = std::chrono::milliseconds(5);
        for (const TimePoint end = now + span; now < end; now += Step) {
            for (auto &[id, worker] : workers) {
                worker->tick(now);
            }
        }
        owner->tick(now, unixMs());
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
    std::set<std::string> evacuatedZones;
    std::set<std::string> accepted; ///< Ids of the jobs whose submission was accepted.
    std::unique_ptr<CellScheduler> owner;
    std::vector<LogDecision> decisions; ///< Log lines of all owners.
    Epoch epoch = 0;
    double lateOrderFraction =
        0.0; ///< Fraction of orders that time out and are carried out seconds later.
    /// Orders in flight to a worker that restarts under its id reach it then; else they are
    /// dropped.
    bool keepsOrdersOverRestarts = false;
    bool isStoreDown = false;
    std::set<TaskName> crashingTasks; ///< Tasks that crash each worker that starts them.
    Duration crashDelay = std::chrono::milliseconds(10); ///< From such a start to the crash.
    Duration crashDowntime = std::chrono::milliseconds(3300);
    int crashCount = 0; ///< Crashes of workers.

    std::function<void(const DelegateTasks &)> onDelegate; ///< Empty to drop the requests.
    std::function<void(const RevokeDelegation &)> onRevoke;

    // Measurements for benchmarks

    std::uint64_t starts = 0;  ///< Start orders sent.
    std::uint64_t reports = 0; ///< Answers to renewals.
    double ownerSeconds = 0.0; ///< Wall time spent in the owner.

private:
    /// From the return of a crashed worker until the platform no longer lists its earlier id.
    static constexpr Duration ListingDelay = std::chrono::milliseconds(700);

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

    /// Runs \a work and adds its wall time to ownerSeconds.
    template <typename Work>
    void timeOwner(Work work)
    {
        const auto begin = std::chrono::steady_clock::now();
        work();
        ownerSeconds +=
            std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    }

    void after(Duration delay, std::function<void()> action)
    {
        m_events.push({now + delay, ++m_eventNumber, std::move(action)});
    }

    Duration randomDelay()
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(1, 15)(random));
    }

    /// True with probability \a p.
    bool chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random) < p; }

    /// What answers for the worker \a id at the address that the owner knows of it.
    FakeCellWorker::State stateAtKnownAddress(const WorkerId &id) const
    {
        const FakeCellWorker &worker = *workers.at(id.value());
        const auto known = owner->state().workers.find(id.value());
        if (known == owner->state().workers.end()
            || known->second->info.endpoint == worker.endpoint) {
            return worker.state;
        }
        const bool isTaken = std::ranges::any_of(workers, [&known](const auto &it) {
            return it.second->state == FakeCellWorker::State::Up
                   && it.second->endpoint == known->second->info.endpoint;
        });
        return isTaken ? FakeCellWorker::State::Replaced : FakeCellWorker::State::Down;
    }

    /// Delivers an order to its worker and the outcome to the owner that sent it.
    template <typename Execute, typename Done>
    void exchange(const WorkerId &id, Execute execute, Done done)
    {
        constexpr Duration Timeout = std::chrono::milliseconds(1000);
        FakeCellWorker &worker = *workers.at(id.value());
        const auto executeIfSame = [this, execute, &worker, incarnation = worker.incarnation] {
            const bool isSame =
                worker.incarnation == incarnation
                || (keepsOrdersOverRestarts && worker.state == FakeCellWorker::State::Up);
            return isSame ? execute() : OrderOutcome::Unknown;
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
        const FakeCellWorker::State state = stateAtKnownAddress(id);
        if (state != FakeCellWorker::State::Up) {
            const bool isReplaced = state == FakeCellWorker::State::Replaced;
            after(randomDelay(), [reply, isReplaced] {
                reply(isReplaced ? OrderOutcome::OtherIncarnation : OrderOutcome::NotSent);
            });
            return;
        }
        if (chance(lateOrderFraction)) {
            const auto late =
                std::chrono::milliseconds(std::uniform_int_distribution<int>(2000, 9000)(random));
            after(late, [executeIfSame] { executeIfSame(); });
            after(Timeout, [reply] { reply(OrderOutcome::Unknown); });
            return;
        }
        after(randomDelay(), [this, executeIfSame, reply] {
            const OrderOutcome outcome = executeIfSame();
            after(randomDelay(), [reply, outcome] { reply(outcome); });
        });
    }

    void send(const StartTask &order)
    {
        ++starts;
        if (evacuatedZones.contains(workers.at(order.worker.value())->zone)) {
            audit.addViolation("start order to an evacuated zone", order.task);
        }
        const auto clock = std::make_shared<std::optional<std::int64_t>>();
        exchange(
            order.worker,
            [this, order, clock, by = epoch] {
                FakeCellWorker &worker = *workers.at(order.worker.value());
                *clock = worker.clockMs(now);
                const OrderOutcome outcome = worker.start(order, by, now);
                if (outcome == OrderOutcome::Accepted && crashingTasks.contains(order.task)) {
                    crashAfterStart(order, worker.incarnation);
                }
                return outcome;
            },
            [this, order, clock](OrderOutcome outcome) {
                timeOwner([&] {
                    owner->onStartReply(order.worker, order.task, order.run, {outcome, *clock},
                                        now);
                });
            });
    }

    /// Ends the runs of all gangs with a member on the worker \a id.
    void breakGangs(const std::string &id)
    {
        for (const TaskName &lost : workers.at(id)->runningTasks()) {
            if (!audit.stepOf(lost)->isGang) {
                continue;
            }
            for (auto &[other, worker] : workers) {
                for (const TaskName &it : worker->runningTasks()) {
                    const bool isMember = it.job == lost.job && it.occurrence == lost.occurrence
                                          && it.step == lost.step;
                    if (isMember && other != id) {
                        worker->end(it, RunEndReason::Broken, now);
                    }
                }
            }
        }
    }

    /// Crashes the worker that has started the task of \a order, unless the run ends before.
    void crashAfterStart(const StartTask &order, std::int64_t incarnation)
    {
        after(crashDelay, [this, order, incarnation] {
            const std::string &id = order.worker.value();
            if (workers.at(id)->incarnation == incarnation
                && audit.runningOn[order.task].contains(id)) {
                ++audit.crashes[order.task];
                crashWorker(id, crashDowntime);
            }
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
    void send(const LogDecision &decision) { decisions.push_back(decision); }
    void send(const DelegateTasks &order)
    {
        if (onDelegate) {
            onDelegate(order);
        }
    }
    void send(const RevokeDelegation &order)
    {
        if (onRevoke) {
            onRevoke(order);
        }
    }

    void send(const RenewLease &order)
    {
        const auto report = std::make_shared<LeaseReport>();
        const auto execute = [this, order, report, by = epoch] {
            return workers.at(order.worker.value())->renew(order, by, now, *report);
        };
        exchange(order.worker, execute, [this, order, report, execute, sentAt = now](auto outcome) {
            const bool mayWait = outcome == OrderOutcome::Accepted && report->ended.empty();
            awaitEndedRun(mayWait ? sentAt + order.wait : now, order, report, execute, sentAt,
                          outcome);
        });
    }

    /// Long poll: reports once the worker lists an ended run, at \a until at the latest.
    void awaitEndedRun(TimePoint until, const RenewLease &order,
                       const std::shared_ptr<LeaseReport> &report,
                       const std::function<OrderOutcome()> &execute, TimePoint sentAt,
                       OrderOutcome outcome)
    {
        constexpr Duration EndCheckInterval = std::chrono::milliseconds(20);
        const FakeCellWorker &worker = *workers.at(order.worker.value());
        if (outcome == OrderOutcome::Accepted
            && worker.incarnation != report->incarnationStartUnixMs) {
            outcome = OrderOutcome::Unknown;
        }
        if (outcome != OrderOutcome::Accepted || worker.hasEndedRuns() || now >= until) {
            outcome = outcome == OrderOutcome::Accepted ? execute() : outcome;
            ++reports;
            timeOwner([&] {
                owner->onLeaseReport(order.worker, outcome, *report, sentAt, now, unixMs());
            });
            return;
        }
        after(EndCheckInterval,
              [this, until, order, report, execute, sentAt, outcome, sender = m_generation] {
                  if (sender == m_generation) {
                      awaitEndedRun(until, order, report, execute, sentAt, outcome);
                  }
              });
    }

    /// Appends the owner's next batch to the store.
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
        after(randomDelay(), [this, batch = *batch, sender = m_generation] {
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

/// A job of \a steps sequential steps with \a width tasks each.
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
