#pragma once

#include "Cell/CellScheduler.h"
#include "fakes/CellAudit.h"
#include "fakes/FakeCellWorker.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace firefly {

/// How the record store treats appends while it is up.  Without an answer the owner can't tell
/// whether an append was carried out.
struct StoreFaults
{
    /// Bounds of the time until an append is carried out and answered.
    Duration minDelay = std::chrono::milliseconds(1);
    Duration maxDelay = std::chrono::milliseconds(15);
    double lostAnswerFraction = 0.0; ///< Of the appends: carried out as usual, but not answered.
    double lateFraction = 0.0;       ///< Carried out seconds later, and not answered.
    double droppedFraction = 0.0;    ///< Neither carried out nor answered.
};

/// Fractions of the orders to workers that time out and are carried out seconds later.
struct LateFractions
{
    double starts = 0.0;
    double stops = 0.0;
    double renewals = 0.0;
};

/// Simulation of one cell: its owner, workers and record store, in simulated time.
///
/// Every message has a random delay; public fields inject faults.
class CellWorld
{
public:
    explicit CellWorld(std::uint32_t seed, int workerCount = 4, int cellIn = 0)
        : random(seed)
        , cell(cellIn)
    {
        bounds.maxLease = std::chrono::seconds(6);
        for (int i = 0; i < workerCount; ++i) {
            const std::string id = "w" + std::to_string(i);
            workers[id] = std::make_unique<FakeCellWorker>(id, audit);
            workers[id]->endpoint.address = "10.0.0." + std::to_string(i + 1);
        }
        replaceOwner(now);
    }

    /// Replaces the owner by one with the next epoch, without notice to the earlier one.  The store
    /// refuses what the earlier one still appends.
    void replaceOwner(TimePoint locateUntil)
    {
        isOwnerLost = false;
        owner = std::make_unique<CellScheduler>(bounds, cell);
        ++m_generation;
        owner->setEvacuatedZones(evacuatedZones);
        epoch += FencesPerEpoch;
        owner->beginOwnership(epoch, now, locateUntil);
        m_fencedEpoch = epoch;
        m_lastSequence = 0;
        for (const auto &[key, value] : store) {
            owner->restore(key, value);
        }
        owner->finishRestore(now, unixMs());
        m_listReadAt = now + listDelay;
        if (listDelay == Duration{}) {
            listWorkers();
        } else {
            after(listDelay, [this, reader = m_generation] {
                if (reader == m_generation) {
                    listWorkers();
                }
            });
        }
        m_isAppending = false;
        m_nextAppendAt = {};
        m_appendTimeout = MinAppendTimeout;
        m_failingSince.reset();
    }

    /// Ends the owner's process.  The next owner begins after \a gap, or once the store lets it
    /// fence the lost one.
    void loseOwner(Duration gap)
    {
        if (isOwnerLost) {
            return;
        }
        isOwnerLost = true;
        ++m_generation; // Nobody hears the answers to its orders and appends.
        const TimePoint lastLeaseEnd = now + bounds.grantedLease();
        after(gap, [this, lastLeaseEnd] { takeOver(lastLeaseEnd + ClaimTolerance); });
    }

    std::int64_t unixMs() const
    {
        return 1'000'000
               + std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()
                                                                       + wallClockError)
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

    /// Calls \a action once \a delay of simulated time has passed.
    void after(Duration delay, std::function<void()> action)
    {
        m_events.push({now + delay, ++m_eventNumber, std::move(action)});
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
            worker->holdsGangMembers = areGangsSynchronized;
            if (worker->state == FakeCellWorker::State::Up) {
                worker->tick(now);
            }
        }
        if (areGangsSynchronized) {
            synchronizeGangs();
        }
        if (isOwnerLost) {
            return;
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
        worker.isReachable = !areCrashesDark;
        ++crashCount;
        after(downtime, [this, id] {
            FakeCellWorker &old = *workers.at(id);
            old.isReachable = true;
            old.state = FakeCellWorker::State::Replaced;
            const std::string next = id.substr(0, id.find('.')) + "." + std::to_string(crashCount)
                                     + "-" + std::to_string(workers.size());
            auto &created = workers[next];
            created = std::make_unique<FakeCellWorker>(next, audit);
            created->workTime = old.workTime;
            created->lateAfterStart = old.lateAfterStart;
            created->capacity = old.capacity;
            created->rack = old.rack;
            created->zone = old.zone;
            created->endpoint = old.endpoint;
            created->incarnation = unixMs();
            announce(*created);
        });
        after(downtime + ListingDelay, [this, id] { unlist(id); });
    }

    /// Starts a worker under a new id, which it returns, at a new address; the platform lists it
    /// after \a listing.
    std::string joinWorker(Duration listing)
    {
        const std::string number = std::to_string(workers.size());
        std::string id = "n" + number;
        auto &created = workers[id];
        created = std::make_unique<FakeCellWorker>(id, audit);
        created->endpoint.address = "10.0.1." + number;
        created->incarnation = unixMs();
        created->isRegistered = false;
        after(listing, [this, id] {
            FakeCellWorker &worker = *workers.at(id);
            worker.isRegistered = worker.state == FakeCellWorker::State::Up;
            if (worker.isRegistered) {
                announce(worker);
            }
        });
        return id;
    }

    /// Ends the worker \a id for good.
    void removeWorker(const std::string &id)
    {
        FakeCellWorker &worker = *workers.at(id);
        if (worker.state != FakeCellWorker::State::Up) {
            return;
        }
        breakGangs(id);
        worker.crash(now);
        after(ListingDelay, [this, id] { unlist(id); });
    }

    /// Lets the worker \a id drain; it ends after \a span.
    void drainWorker(const std::string &id, Duration span)
    {
        FakeCellWorker &worker = *workers.at(id);
        worker.isDraining = true;
        if (worker.isRegistered) {
            announce(worker);
        }
        after(span, [this, id] { removeWorker(id); });
    }

    /// Lets the worker \a id drain for \a span and then take tasks again.
    void pauseWorker(const std::string &id, Duration span)
    {
        FakeCellWorker &worker = *workers.at(id);
        worker.isDraining = true;
        if (worker.isRegistered) {
            announce(worker);
        }
        after(span, [this, id] {
            FakeCellWorker &it = *workers.at(id);
            it.isDraining = false;
            if (it.state == FakeCellWorker::State::Up && it.isRegistered) {
                announce(it);
            }
        });
    }

    /// Restarts the worker \a id at once under its id; the platform lists it after \a listing.
    void restartWorker(const std::string &id, Duration listing = {})
    {
        FakeCellWorker &worker = *workers.at(id);
        if (worker.state != FakeCellWorker::State::Up) {
            return;
        }
        breakGangs(id);
        worker.reboot(now);
        if (listing > Duration{}) {
            after(listing, [this, &worker] { announceIfListed(worker); });
        } else {
            announceIfListed(worker);
        }
    }

    /// Lets the link to the worker \a id hold all orders from now on; renewals, which have a
    /// connection of their own, only if \a holdsRenewals.
    void holdOrders(const std::string &id, bool holdsRenewals)
    {
        m_heldOrders.try_emplace(id, HeldOrders{holdsRenewals, {}});
    }

    /// Lets the worker \a id carry out the orders that its link holds, within some milliseconds; in
    /// a random order unless \a isInOrder.
    void releaseOrders(const std::string &id, bool isInOrder)
    {
        const auto held = m_heldOrders.extract(id);
        if (!held) {
            return;
        }
        for (const auto &it : held.mapped().orders) {
            after(isInOrder ? Duration{} : randomDelay(), it);
        }
    }

    /// Lets the worker \a id work on without a connection for \a span.
    void disconnectWorker(const std::string &id, Duration span)
    {
        workers.at(id)->isReachable = false;
        after(span, [this, id] { workers.at(id)->isReachable = true; });
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
    int cell; ///< Number of the cell.
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
    LateFractions lateFractions; ///< In addition, by the kind of order.
    Duration wallClockError{};   ///< Of the machine of the current owner.
    bool isStoreDown = false;    ///< The store rejects all appends.
    StoreFaults storeFaults;
    /// The owner pauses between attempts of an append and refuses jobs during an outage, as
    /// JobPartition does.
    bool hasAppendPauses = false;
    bool areGangsSynchronized = false; ///< The members of a gang begin to work, and end, together.
    Duration listDelay{};     ///< From the restore until a new owner reads the platform's list.
    bool isOwnerLost = false; ///< There is no owner; \a owner is the lost one.
    /// Orders in flight to a worker that restarts under its id reach it then; else they are
    /// dropped.
    bool keepsOrdersOverRestarts = false;
    std::set<TaskName> crashingTasks; ///< Tasks that crash each worker that starts them.
    Duration crashDelay = std::chrono::milliseconds(10); ///< From such a start to the crash.
    Duration crashDowntime = std::chrono::milliseconds(3300);
    bool areCrashesDark = false; ///< The machine of a crashed worker refuses no connections.
    int crashCount = 0;          ///< Crashes of workers.

    std::function<void(const DelegateTasks &)> onDelegate; ///< Empty to drop the requests.
    std::function<void(const RevokeDelegation &)> onRevoke;
    std::function<void(const ReturnTasks &)> onReturn;

    // Measurements for benchmarks

    std::uint64_t starts = 0;  ///< Start orders sent.
    std::uint64_t reports = 0; ///< Answers to renewals.
    double ownerSeconds = 0.0; ///< Wall time spent in the owner.

private:
    /// From the return of a crashed worker until the platform no longer lists its earlier id.
    static constexpr Duration ListingDelay = std::chrono::milliseconds(700);
    /// Least time by which a new owner overestimates the end of its predecessor's leases.
    static constexpr Duration ClaimTolerance = std::chrono::milliseconds(1500);
    // Retries of appends, as by JobPartition.
    static constexpr Duration MinAppendTimeout = std::chrono::milliseconds(400);
    static constexpr Duration MaxAppendTimeout = std::chrono::milliseconds(1600);
    static constexpr Duration AppendRetryPause = std::chrono::milliseconds(60);
    static constexpr Duration MaxToleratedOutage = std::chrono::milliseconds(400);

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

    Duration randomDelay(Duration from, Duration to)
    {
        const auto toMs = [](Duration it) {
            return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
        };
        return std::chrono::milliseconds(
            std::uniform_int_distribution<std::int64_t>(toMs(from), toMs(to))(random));
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

    enum class OrderKind { Start, Stop, Pace, Renewal };

    double lateFraction(OrderKind kind) const
    {
        switch (kind) {
        case OrderKind::Start:
            return lateFractions.starts;
        case OrderKind::Stop:
            return lateFractions.stops;
        case OrderKind::Renewal:
            return lateFractions.renewals;
        case OrderKind::Pace:
            break;
        }
        return 0.0;
    }

    /// Delivers an order to its worker and the outcome to the owner that sent it.
    template <typename Execute, typename Done>
    void exchange(const WorkerId &id, OrderKind kind, Execute execute, Done done)
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
                reply(isReplaced ? OrderOutcome::OtherIncarnation : OrderOutcome::Refused);
            });
            return;
        }
        const auto link = m_heldOrders.find(id.value());
        if (link != m_heldOrders.end()
            && (kind != OrderKind::Renewal || link->second.holdsRenewals)) {
            const auto replyOnce = [reply, isAnswered = std::make_shared<bool>(false)](auto it) {
                if (!std::exchange(*isAnswered, true)) {
                    reply(it);
                }
            };
            link->second.orders.push_back(
                [executeIfSame, replyOnce] { replyOnce(executeIfSame()); });
            after(Timeout, [replyOnce] { replyOnce(OrderOutcome::Unknown); });
            return;
        }
        const bool isLate = now < worker.isLateUntil;
        if (isLate || chance(lateOrderFraction + lateFraction(kind))) {
            const auto lateness = isLate
                                      ? std::chrono::milliseconds(2000)
                                      : std::chrono::milliseconds(
                                          std::uniform_int_distribution<int>(2000, 9000)(random));
            after(lateness, [executeIfSame] { executeIfSame(); });
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
            order.worker, OrderKind::Start,
            [this, order, clock] {
                FakeCellWorker &worker = *workers.at(order.worker.value());
                *clock = worker.clockMs(now);
                const OrderOutcome outcome = worker.start(order, order.fence, now);
                if (outcome == OrderOutcome::Accepted && crashingTasks.contains(order.task)) {
                    crashAfterStart(order, worker.incarnation);
                }
                return outcome;
            },
            [this, order, clock](OrderOutcome outcome) {
                timeOwner([&] {
                    owner->onStartReply(order.worker, order.task, order.run,
                                        {outcome, *clock, order.fence}, now);
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

    /// Lets gangs work once all members run, and ends those that are no longer complete.
    void synchronizeGangs()
    {
        struct Member
        {
            FakeCellWorker *worker;
            FakeCellWorker::GangMember run;
        };
        std::map<std::pair<TaskName, std::uint32_t>, std::vector<Member>> gangs; ///< By run.
        for (auto &[id, worker] : workers) {
            for (const FakeCellWorker::GangMember &it : worker->gangMembers()) {
                TaskName gang = it.task;
                gang.index = 0;
                gangs[{gang, it.run}].push_back({worker.get(), it});
            }
        }
        for (const auto &[gang, members] : gangs) {
            const Member &first = members.front();
            const bool isComplete = members.size() == audit.stepOf(gang.first)->taskCount;
            for (const Member &it : members) {
                if (isComplete && it.run.isWaiting) {
                    it.worker->beginWork(it.run.task, now + first.worker->workTime,
                                         first.worker->hasFailingRuns);
                } else if (!isComplete && !it.run.isWaiting) {
                    it.worker->end(it.run.task, RunEndReason::Broken, now);
                } else if (it.run.isWaiting && now - it.run.startedAt >= bounds.gangTimeout) {
                    it.worker->end(it.run.task, RunEndReason::Alone, now);
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
            order.worker, OrderKind::Stop,
            [this, order] {
                return workers.at(order.worker.value())->stop(order, order.fence, now);
            },
            [this, order](OrderOutcome outcome) { owner->onStopOutcome(order, outcome, now); });
    }

    void send(const PaceTask &order)
    {
        exchange(
            order.worker, OrderKind::Pace,
            [this, order] {
                return workers.at(order.worker.value())->pace(order, order.fence, now);
            },
            [this, order](OrderOutcome outcome) { owner->onPaceOutcome(order, outcome, now); });
    }
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

    void send(const ReturnTasks &order)
    {
        if (onReturn) {
            onReturn(order);
        }
    }

    void send(const RenewLease &order)
    {
        const auto report = std::make_shared<LeaseReport>();
        report->fence = order.fence;
        const auto execute = [this, order, report] {
            return workers.at(order.worker.value())->renew(order, order.fence, now, *report);
        };
        const auto onOutcome = [this, order, report, execute, sentAt = now](auto outcome) {
            const bool mayWait = outcome == OrderOutcome::Accepted && report->ended.empty();
            awaitEndedRun(mayWait ? sentAt + order.wait : now, order, report, execute, sentAt,
                          outcome);
        };
        exchange(order.worker, OrderKind::Renewal, execute, onOutcome);
    }

    /// Long poll: reports once the worker lists an ended run, at \a until at the latest.
    void awaitEndedRun(TimePoint until, const RenewLease &order,
                       const std::shared_ptr<LeaseReport> &report,
                       const std::function<OrderOutcome()> &execute, TimePoint sentAt,
                       OrderOutcome outcome)
    {
        constexpr Duration EndCheckInterval = std::chrono::milliseconds(20);
        const FakeCellWorker &worker = *workers.at(order.worker.value());
        const bool isSame = worker.incarnation == report->incarnationStartUnixMs;
        if (outcome == OrderOutcome::Accepted && (!isSame || now < worker.isLateUntil)) {
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

    // Platform's list

    void listWorkers()
    {
        for (const auto &[id, worker] : workers) {
            if (worker->isRegistered) {
                owner->onWorkerListed(worker->describe(), now);
            } else {
                owner->onWorkerGone(WorkerId(id), now);
            }
        }
    }

    /// Tells the owner of a listed worker, unless it has yet to read the list.
    void announce(const FakeCellWorker &worker)
    {
        if (now >= m_listReadAt) {
            owner->onWorkerListed(worker.describe(), now);
        }
    }

    void announceIfListed(const FakeCellWorker &worker)
    {
        if (worker.isRegistered) {
            announce(worker);
        }
    }

    void unlist(const std::string &id)
    {
        workers.at(id)->isRegistered = false;
        owner->onWorkerGone(WorkerId(id), now);
    }

    // Owner and store

    void takeOver(TimePoint locateUntil)
    {
        if (!isOwnerLost) {
            return;
        }
        const double unanswered =
            storeFaults.lostAnswerFraction + storeFaults.lateFraction + storeFaults.droppedFraction;
        if (isStoreDown || chance(unanswered)) {
            after(MinAppendTimeout, [this, locateUntil] { takeOver(locateUntil); });
            return;
        }
        replaceOwner(locateUntil);
    }

    /// Appends the owner's next batch to the store.
    void append()
    {
        if (m_isAppending || now < m_nextAppendAt) {
            return;
        }
        const auto batch = owner->journal().next();
        if (!batch) {
            return;
        }
        m_isAppending = true;
        const auto reply = [this, isAnswered = std::make_shared<bool>(false), sender = m_generation,
                            sentAt = now](AppendOutcome outcome) {
            if (!std::exchange(*isAnswered, true) && sender == m_generation) {
                onAppendOutcome(outcome, sentAt);
            }
        };
        const AppendFate fate = drawAppendFate();
        if (fate.delay) {
            after(*fate.delay, [this, batch = *batch, by = epoch, fate, reply] {
                const AppendOutcome outcome = write(batch, by);
                if (fate.isAnswered) {
                    reply(outcome);
                }
            });
        }
        if (!fate.isAnswered || *fate.delay > m_appendTimeout) {
            after(m_appendTimeout, [reply] { reply(AppendOutcome::Unknown); });
        }
    }

    /// What becomes of one attempt of an append.
    struct AppendFate
    {
        std::optional<Duration> delay; ///< Until it is carried out; unset if it never is.
        bool isAnswered = true;
    };

    AppendFate drawAppendFate()
    {
        const StoreFaults &faults = storeFaults;
        const Duration delay = randomDelay(faults.minDelay, faults.maxDelay);
        const double unanswered =
            faults.lostAnswerFraction + faults.lateFraction + faults.droppedFraction;
        if (unanswered == 0.0) {
            return {delay, true};
        }
        const double drawn = std::uniform_real_distribution<double>(0, 1)(random);
        if (drawn < faults.droppedFraction) {
            return {std::nullopt, false};
        }
        if (drawn < faults.droppedFraction + faults.lateFraction) {
            return {randomDelay(std::chrono::seconds(1), std::chrono::seconds(6)), false};
        }
        return {delay, drawn >= unanswered};
    }

    /// Carries out an append of the owner with the epoch \a by.
    AppendOutcome write(const JournalBatch &batch, Epoch by)
    {
        if (isStoreDown) {
            return AppendOutcome::Rejected;
        }
        if (by < m_fencedEpoch) {
            return AppendOutcome::Fenced;
        }
        if (batch.sequence <= m_lastSequence) {
            return AppendOutcome::Stored;
        }
        if (batch.sequence != m_lastSequence + 1) {
            audit.violations.emplace_back("append out of sequence");
            return AppendOutcome::Rejected;
        }
        m_lastSequence = batch.sequence;
        for (const KeyedRecord &it : batch.records) {
            if (it.value) {
                store[it.key] = *it.value;
            } else {
                store.erase(it.key);
            }
        }
        return AppendOutcome::Stored;
    }

    void onAppendOutcome(AppendOutcome outcome, TimePoint sentAt)
    {
        m_isAppending = false;
        owner->journal().onOutcome(outcome);
        if (outcome == AppendOutcome::Stored) {
            m_appendTimeout =
                std::clamp<Duration>(4 * (now - sentAt), MinAppendTimeout, MaxAppendTimeout);
            m_failingSince.reset();
            return;
        }
        if (outcome == AppendOutcome::Unknown) {
            m_appendTimeout = std::min(MaxAppendTimeout, 2 * m_appendTimeout);
        }
        if (!hasAppendPauses) {
            return;
        }
        m_nextAppendAt = now + AppendRetryPause;
        m_failingSince = m_failingSince.value_or(now);
        if (now - *m_failingSince >= MaxToleratedOutage) {
            owner->journal().refusePending();
        }
    }

    std::priority_queue<Event> m_events;
    std::uint64_t m_eventNumber = 0;
    std::uint64_t m_generation = 0;
    struct HeldOrders
    {
        bool holdsRenewals = true;
        std::vector<std::function<void()>> orders; ///< As they were sent.
    };
    std::map<std::string, HeldOrders> m_heldOrders; ///< By worker id.
    TimePoint m_listReadAt{};                       ///< When the owner reads the platform's list.
    // Store
    Epoch m_fencedEpoch = 0;          ///< Appends of lower epochs are refused.
    std::uint64_t m_lastSequence = 0; ///< Of the appends of that epoch.
    // Appends of the owner
    bool m_isAppending = false;
    TimePoint m_nextAppendAt{};
    Duration m_appendTimeout = MinAppendTimeout;
    std::optional<TimePoint> m_failingSince; ///< First failure since the last stored append.
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
