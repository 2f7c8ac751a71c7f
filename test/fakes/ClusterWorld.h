#pragma once

#include "Entry.h"
#include "fakes/ClusterAudit.h"
#include "fakes/EventTimeline.h"
#include "fakes/FakeLog.h"
#include "fakes/SoakRunner.h"
#include "Platform.h"
#include "Records.h"
#include "StandinWorker.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace firefly::fakes {

/// Whole entries over a log, a VM list and workers, with faults of every kind at any time.
///
/// Time is simulated.  Messages may be late without bound on order, lost, or cut off one way.
class ClusterWorld
{
public:
    static constexpr std::size_t Entries = 3;
    static constexpr std::size_t Workers = 4;

    ClusterWorld()
    {
        m_profile.services["swap"].durationUs = 40'000;
        for (std::size_t i = 0; i < Workers; ++i) {
            m_infos.push_back({workerId(i),
                               ZoneId("z"),
                               "r" + std::to_string(i / 2),
                               {},
                               Capacity,
                               VmState::Live});
            m_workers.push_back(std::make_unique<standins::StandinWorker>(workerId(i), Capacity,
                                                                          m_profile, "boot", i));
        }
        for (std::size_t i = 0; i < Entries; ++i) {
            m_entries.emplace_back();
            m_entries[i].id = EntryId(std::string(1, static_cast<char>('a' + i)));
            boot(i);
        }
        advance(std::chrono::seconds(4));
        edit(0, 0);
        advance(std::chrono::seconds(3));
    }

    static std::vector<double> weights()
    {
        std::vector<double> weights;
        for (const Kind &kind : kinds()) {
            weights.push_back(kind.weight);
        }
        return weights;
    }

    void step(const SoakStep &step)
    {
        const Kind &kind = kinds()[step.kind];
        m_trace.push_back(std::to_string(m_time.now().time_since_epoch().count() / 1000) + " ms "
                          + kind.name + " " + std::to_string(step.value % 1000));
        (this->*kind.act)(step.value);
        checkLeaving();
        m_audit.checkRunning(m_workers, m_time.now());
    }

    /// Ends every fault, lets the cluster come to rest and checks what must hold then.
    void settle()
    {
        m_cuts.clear();
        m_silent.clear();
        m_logOut = false;
        m_lossy = 0;
        for (std::size_t i = 0; i < Entries; ++i) {
            m_entries[i].pausedUntil = TimePoint{};
            if (!m_entries[i].core) {
                boot(i);
            }
        }
        for (std::size_t i = 0; i < Workers; ++i) {
            m_workers[i]->setFailsEverything(false);
            m_infos[i].state = VmState::Live;
        }
        m_leftAt.clear();
        publish();
        advance(ListsInForceWithin);
        checkLists();
        for (int i = 0; i < 30 && !isAtRest(); ++i) {
            advance(std::chrono::seconds(5));
        }
        m_audit.checkRunning(m_workers, m_time.now());
        checkAtRest();
    }

    const std::vector<std::string> &trace() const { return m_trace; }
    /// How often each thing happened.
    std::map<std::string, std::uint64_t> counts() const
    {
        auto counts = m_audit.outcomes();
        for (const auto &worker : m_workers) {
            counts["calls executed"] += worker->records().calls.size();
            counts["attempts executed"] += worker->records().tasks.size();
        }
        counts["jobs accepted"] = m_accepted.size();
        return counts;
    }

private:
    using Act = void (ClusterWorld::*)(std::uint32_t);
    struct Kind
    {
        const char *name;
        double weight;
        Act act;
    };
    struct Entry
    {
        EntryId id;
        std::unique_ptr<EntryCore> core;
        std::uint64_t incarnation = 0;
        TimePoint pausedUntil{};
        std::vector<std::function<void(EntryCore &)>> inbox;
    };
    using Deliver = std::function<void(EntryCore &)>;

    static constexpr Resources Capacity{4000, 4096, 0, 3};
    /// Target for a change of configuration to be in force everywhere.
    static constexpr Duration ListsInForceWithin = std::chrono::seconds(6);
    /// Records that the log keeps: its retention.
    static constexpr Offset KeptRecords = 400;
    /// Target for a leaving worker to get no new work.
    static constexpr Duration NoWorkAfter = std::chrono::seconds(3);
    static constexpr Duration LongestDelay = std::chrono::seconds(8);
    static constexpr Duration Tick = std::chrono::milliseconds(25);
    static constexpr Duration VmListLag = std::chrono::milliseconds(400);

    static const std::vector<Kind> &kinds()
    {
        static const std::vector<Kind> Kinds = {
            {"advance", 40, &ClusterWorld::advanceSome},
            {"legality check", 12, &ClusterWorld::callIdempotent},
            {"swap", 12, &ClusterWorld::callSwap},
            {"submit job", 8, &ClusterWorld::submitJob},
            {"cancel job", 3, &ClusterWorld::cancelJob},
            {"edit limits", 2, &ClusterWorld::editSome},
            {"planned work", 1, &ClusterWorld::switchPlanned},
            {"kill entry", 2, &ClusterWorld::killEntry},
            {"boot entry", 4, &ClusterWorld::bootEntry},
            {"pause entry", 2, &ClusterWorld::pauseEntry},
            {"cut link", 3, &ClusterWorld::cutLink},
            {"heal links", 3, &ClusterWorld::healLinks},
            {"log outage", 1, &ClusterWorld::logOutage},
            {"log back", 3, &ClusterWorld::logBack},
            {"loss", 2, &ClusterWorld::setLoss},
            {"reboot worker", 1, &ClusterWorld::rebootWorker},
            {"silent worker", 1, &ClusterWorld::silenceWorker},
            {"failing worker", 1, &ClusterWorld::failWorker},
            {"leaving worker", 1, &ClusterWorld::leaveWorker},
        };
        return Kinds;
    }

    static WorkerId workerId(std::size_t i) { return WorkerId("w" + std::to_string(i)); }
    std::string nodeOf(std::size_t entry) const { return m_entries[entry].id.value(); }

    Settings settingsOf(std::size_t i) const
    {
        Settings settings;
        settings.entry = {m_entries[i].id, ZoneId("z")};
        settings.services[ServiceId("check")].idempotent = true;
        settings.services[ServiceId("check")].hedge = true;
        settings.services[ServiceId("check")].perCall = {0, 0, 0, 1};
        settings.services[ServiceId("swap")].perCall = {0, 0, 0, 1};
        settings.ownership = {std::chrono::milliseconds(1500), std::chrono::milliseconds(2000),
                              std::chrono::milliseconds(1600), std::chrono::milliseconds(100),
                              std::chrono::milliseconds(250),  std::chrono::milliseconds(1000)};
        settings.snapshot.everyRecords = 60;
        return settings;
    }

    void boot(std::size_t i)
    {
        Entry &entry = m_entries[i];
        ++entry.incarnation;
        entry.inbox.clear();
        entry.pausedUntil = TimePoint{};
        const WriterId writer(entry.id.value() + "." + std::to_string(entry.incarnation));
        entry.core = std::make_unique<EntryCore>(settingsOf(i), writer, m_random(), m_time.now());
        m_audit.forgetVersions(entry.id);
        publish();
        scheduleTick(i, entry.incarnation);
    }

    void scheduleTick(std::size_t i, std::uint64_t incarnation)
    {
        m_time.after(Tick, [this, i, incarnation] {
            Entry &entry = m_entries[i];
            if (!entry.core || entry.incarnation != incarnation) {
                return;
            }
            if (m_time.now() >= entry.pausedUntil) {
                auto inbox = std::exchange(entry.inbox, {});
                for (const Deliver &deliver : inbox) {
                    give(i, deliver);
                }
                give(i, [this](EntryCore &core) { core.tick(m_time.now()); });
                m_audit.noteVersion(entry.id, entry.core->lists());
            }
            scheduleTick(i, incarnation);
        });
    }

    /// Runs a step of a live entry, then sends what it wants sent.
    void give(std::size_t i, const Deliver &deliver)
    {
        Entry &entry = m_entries[i];
        deliver(*entry.core);
        for (EntryAction &action : entry.core->takeActions()) {
            std::visit([this, i](const auto &it) { send(i, it); }, action);
        }
    }

    /// Delivers to the same incarnation only; a paused entry gets it when it goes on.
    void toEntry(std::size_t i, std::uint64_t incarnation, const Deliver &deliver)
    {
        Entry &entry = m_entries[i];
        if (!entry.core || entry.incarnation != incarnation) {
            return;
        }
        if (m_time.now() < entry.pausedUntil) {
            entry.inbox.push_back(deliver);
            return;
        }
        give(i, deliver);
    }

    Duration delay()
    {
        if (m_lossy > 0 && m_random() % 16 == 0) {
            return Duration(m_random() % LongestDelay.count());
        }
        return std::chrono::milliseconds(1 + m_random() % 8);
    }

    bool isCut(const std::string &from, const std::string &to)
    {
        return m_cuts.contains({from, to}) || m_silent.contains(to)
               || (m_lossy > 0 && m_random() % 100 < m_lossy);
    }

    /// One request and its reply; exactly one of the reply and \a fail reaches the entry.
    void exchange(std::size_t i, const std::string &node, Duration timeout,
                  const std::function<Deliver()> &serve, const Deliver &fail)
    {
        const auto incarnation = m_entries[i].incarnation;
        auto isSettled = std::make_shared<bool>(false);
        const auto settle = [this, i, incarnation, isSettled](const Deliver &deliver) {
            if (!std::exchange(*isSettled, true)) {
                toEntry(i, incarnation, deliver);
            }
        };
        m_time.after(delay(), [this, i, node, serve, settle] {
            if (isCut(nodeOf(i), node)) {
                return;
            }
            const Deliver reply = serve();
            if (!reply || isCut(node, nodeOf(i))) {
                return;
            }
            m_time.after(delay(), [settle, reply] { settle(reply); });
        });
        m_time.after(timeout, [settle, fail] { settle(fail); });
    }

    void send(std::size_t i, const SendAppend &action)
    {
        std::vector<Envelope> batch;
        for (const Envelope &envelope : action.append.envelopes) {
            batch.push_back(decode(encode(envelope)));
        }
        const auto reply = [this](AppendResult result) {
            return [this, result](EntryCore &core) { core.onAppendReply(m_time.now(), result); };
        };
        exchange(
            i, "log", std::chrono::milliseconds(500),
            [this, batch, reply]() -> Deliver {
                if (m_logOut) {
                    return nullptr;
                }
                m_log.append(batch);
                m_log.trim(m_log.tail() < KeptRecords ? 1 : m_log.tail() - KeptRecords);
                return reply(AppendResult::Done);
            },
            reply(AppendResult::Uncertain));
    }

    void send(std::size_t i, const SendLogRead &action)
    {
        const auto fail = [this](EntryCore &core) { core.onLogReadFailed(m_time.now()); };
        // The pause stands for the log holding a read that finds nothing.
        m_time.after(Tick, [this, i, action, fail, incarnation = m_entries[i].incarnation] {
            if (m_entries[i].incarnation != incarnation) {
                return;
            }
            exchange(
                i, "log", std::chrono::milliseconds(500),
                [this, action]() -> Deliver {
                    if (m_logOut) {
                        return nullptr;
                    }
                    return [this, read = m_log.read(action.from, action.maxRecords)](
                               EntryCore &core) { core.onLogRead(m_time.now(), read); };
                },
                fail);
        });
    }

    void send(std::size_t i, const SendVmListRead & /*action*/)
    {
        exchange(
            i, "vms", std::chrono::milliseconds(500),
            [this]() -> Deliver {
                while (m_lists.size() > 1 && m_lists[1].first + VmListLag <= m_time.now()) {
                    m_lists.pop_front();
                }
                return [this, list = m_lists.front().second](EntryCore &core) {
                    core.onVmList(m_time.now(), list);
                };
            },
            [this](EntryCore &core) { core.onVmListFailed(m_time.now()); });
    }

    standins::StandinWorker &worker(const WorkerId &id)
    {
        return *m_workers[static_cast<std::size_t>(id.value()[1] - '0')];
    }

    void send(std::size_t i, const SendSync &action)
    {
        exchange(
            i, action.worker.id.value(), std::chrono::milliseconds(500),
            [this, action]() -> Deliver {
                const auto reply = worker(action.worker.id).sync(action.sync, m_time.now());
                return [this, action, reply](EntryCore &core) {
                    core.onSyncReply(m_time.now(), action, WorkerResult::Done, reply);
                };
            },
            [this, action](EntryCore &core) {
                core.onSyncReply(m_time.now(), action, WorkerResult::Uncertain, {});
            });
    }

    void send(std::size_t i, const SendStart &action)
    {
        const auto reply = [this, task = action.task](WorkerResult result) {
            return [this, task, result](EntryCore &core) {
                core.onStartReply(m_time.now(), task, result);
            };
        };
        exchange(
            i, action.worker.id.value(), std::chrono::milliseconds(500),
            [this, action, reply]() -> Deliver {
                const auto verdict = worker(action.worker.id).start(action.task, m_time.now());
                const bool isDone =
                    verdict == standins::Verdict::Done || verdict == standins::Verdict::Repeated;
                return reply(isDone ? WorkerResult::Done : WorkerResult::Refused);
            },
            reply(WorkerResult::Uncertain));
    }

    void send(std::size_t i, const SendStop &action)
    {
        exchange(
            i, action.worker.id.value(), std::chrono::milliseconds(500),
            [this, action]() -> Deliver {
                worker(action.worker.id).stop(action.task, m_time.now());
                return nullptr;
            },
            [](EntryCore &) {});
    }

    void send(std::size_t i, const SendThrottle &action)
    {
        worker(action.worker.id).throttle(action.task, m_time.now());
        static_cast<void>(i);
    }

    void send(std::size_t i, const SendCall &action)
    {
        const auto incarnation = m_entries[i].incarnation;
        auto isSettled = std::make_shared<bool>(false);
        const auto settle = [this, i, incarnation, isSettled,
                             dispatch = action.dispatch](const WorkerCallReply &reply) {
            if (!std::exchange(*isSettled, true)) {
                toEntry(i, incarnation, [this, dispatch, reply](EntryCore &core) {
                    core.onCallReply(m_time.now(), dispatch, reply);
                });
            }
        };
        const std::string node = action.worker.id.value();
        m_time.after(delay(), [this, i, node, action, settle] {
            if (isCut(nodeOf(i), node)) {
                return;
            }
            auto &target = worker(action.worker.id);
            const auto ticket = target.beginCall(action.call, m_time.now());
            if (ticket.verdict != standins::Verdict::Done) {
                settle({action.call.request, WorkerResult::Refused, {}});
                return;
            }
            m_time.after(ticket.duration, [this, i, node, action, settle, ticket, &target] {
                const bool isGood = target.endCall(ticket.call, m_time.now()) == "answered";
                if (isCut(node, nodeOf(i))) {
                    return;
                }
                const auto result = isGood ? WorkerResult::Done : WorkerResult::ServiceError;
                m_time.after(delay(), [settle, action, result] {
                    settle({action.call.request, result, action.call.body});
                });
            });
        });
        m_time.after(action.call.timeout, [settle, request = action.call.request] {
            settle({request, WorkerResult::Uncertain, {}});
        });
    }

    std::size_t indexOf(const EntryId &id) const
    {
        return static_cast<std::size_t>(id.value()[0] - 'a');
    }

    bool isRunning(std::size_t i) const
    {
        return m_entries[i].core && m_time.now() >= m_entries[i].pausedUntil;
    }

    void send(std::size_t i, const SendHeartbeat &action)
    {
        const std::size_t peer = indexOf(action.peer.id);
        exchange(
            i, action.peer.id.value(), std::chrono::milliseconds(500),
            [this, peer, action]() -> Deliver {
                if (!isRunning(peer)) {
                    return nullptr;
                }
                HeartbeatReplyWithLists answer;
                give(peer, [&](EntryCore &core) {
                    answer = core.onHeartbeat(m_time.now(), action.heartbeat);
                });
                return [this, answer, id = action.peer.id](EntryCore &core) {
                    core.onHeartbeatReply(m_time.now(), id, answer);
                };
            },
            [this, id = action.peer.id](EntryCore &core) {
                core.onHeartbeatFailed(m_time.now(), id);
            });
    }

    void send(std::size_t i, const SendForward &action)
    {
        const std::size_t peer = indexOf(action.peer.id);
        const auto incarnation = m_entries[i].incarnation;
        auto isSettled = std::make_shared<bool>(false);
        const auto settle = [this, i, incarnation, isSettled,
                             dispatch = action.dispatch](const ForwardedResult &result) {
            if (!std::exchange(*isSettled, true)) {
                toEntry(i, incarnation, [this, dispatch, result](EntryCore &core) {
                    core.onForwardReply(m_time.now(), dispatch, result);
                });
            }
        };
        m_time.after(delay(), [this, i, peer, action, settle] {
            if (isCut(nodeOf(i), nodeOf(peer)) || !m_entries[peer].core) {
                return;
            }
            const auto reply = [this, i, peer, settle](const ForwardedResult &result) {
                if (!isCut(nodeOf(peer), nodeOf(i))) {
                    m_time.after(delay(), [settle, result] { settle(result); });
                }
            };
            toEntry(peer, m_entries[peer].incarnation, [this, action, reply](EntryCore &core) {
                core.onForwarded(m_time.now(), action.call, reply);
            });
        });
        m_time.after(action.call.remaining, [settle, request = action.call.request] {
            settle({request, WorkerResult::Uncertain, {}, {}});
        });
    }

    void send(std::size_t /*i*/, const WriteNotice & /*action*/) {}

    /// Puts the present state into the VM list; entries see it after its lag.
    void publish()
    {
        VmList list;
        list.workers = m_infos;
        for (const Entry &entry : m_entries) {
            if (entry.core) {
                list.entries.push_back({entry.id, ZoneId("z"), {}, VmState::Live});
            }
        }
        m_lists.emplace_back(m_time.now(), std::move(list));
    }

    void advance(Duration by) { m_time.runUntil(m_time.now() + by); }

    void advanceSome(std::uint32_t value)
    {
        const bool isLong = value % 16 == 0;
        advance(std::chrono::milliseconds(value / 16 % (isLong ? 5000 : 200)));
    }

    void call(std::uint32_t value, const std::string &service, const std::string &key)
    {
        const std::size_t i = value % Entries;
        if (!isRunning(i)) {
            return;
        }
        const std::uint64_t caller = m_audit.beginCall(m_entries[i].id, m_entries[i].incarnation);
        CallerRequest request;
        request.customer = CustomerId("c");
        request.service = ServiceId(service);
        request.key = key;
        request.body = key.empty() ? "caller " + std::to_string(caller) : "body of " + key;
        const std::string body = request.body;
        give(i, [&](EntryCore &core) {
            core.onCallerRequest(m_time.now(), std::move(request),
                                 [this, caller, body](const CallReply &reply) {
                                     m_audit.endCall(caller, reply, body);
                                 });
        });
    }

    void callIdempotent(std::uint32_t value) { call(value, "check", ""); }

    void callSwap(std::uint32_t value)
    {
        // One in three repeats a recent key through whichever entry.
        const bool isRepeat = m_keys > 0 && value / 4 % 3 == 0;
        const std::uint64_t key =
            isRepeat ? m_keys - value / 16 % std::min<std::uint64_t>(m_keys, 4) : ++m_keys;
        call(value, "swap", "key-" + std::to_string(key));
    }

    void submitJob(std::uint32_t value)
    {
        const std::size_t i = value % Entries;
        if (!isRunning(i)) {
            return;
        }
        JobSubmission submission;
        submission.job = JobId("j" + std::to_string(++m_jobs));
        submission.spec = {CustomerId("c"), value % 2 == 0 ? "rebuild" : "run",
                           Resources{1500, 1000, 0, 0}, 500 + value / 8 % 4000, ""};
        give(i, [&](EntryCore &core) {
            core.submitJob(submission, [this, id = submission.job](const CommandResult &result) {
                if (std::holds_alternative<CommandDone>(result)) {
                    m_accepted.insert(id);
                }
            });
        });
    }

    void cancelJob(std::uint32_t value)
    {
        const std::size_t i = value % Entries;
        if (!isRunning(i) || m_jobs == 0) {
            return;
        }
        const JobId job("j" + std::to_string(1 + value / 4 % m_jobs));
        give(i, [&](EntryCore &core) { core.cancelJob(job, [](const CommandResult &) {}); });
    }

    void switchPlanned(std::uint32_t value)
    {
        const std::size_t i = value % Entries;
        if (!isRunning(i)) {
            return;
        }
        give(i, [&](EntryCore &core) {
            core.switchPlannedWork({"op", CustomerId("c"), "run", value / 4 % 3 != 0},
                                   [](const CommandResult &) {});
        });
    }

    void edit(std::size_t i, std::uint32_t value)
    {
        const ListsVersion base = m_entries[i].core->lists();
        LimitsEdited limits{"op", base.limits.version, {}};
        limits.list.limitsOfPlan["p"] = {Resources{100000, 100000, 0, 50 + value % 50}, {}, 0, 1};
        PlansEdited plans{"op", base.plans.version, {{{"c", "p"}}}};
        give(i, [&](EntryCore &core) {
            core.proposeLimits(limits, [this](const EditResult<LimitsList> &result) {
                if (const auto *accepted = std::get_if<EditAccepted>(&result)) {
                    m_audit.noteAccepted(accepted->version);
                }
            });
            if (base.plans.version == 0) {
                core.proposePlans(plans, [](const EditResult<PlansList> &) {});
            }
        });
    }

    void editSome(std::uint32_t value)
    {
        for (const std::size_t i : {value % Entries, value / 4 % Entries}) {
            if (isRunning(i)) {
                edit(i, value);
            }
        }
    }

    void killEntry(std::uint32_t value)
    {
        Entry &entry = m_entries[value % Entries];
        if (entry.core) {
            m_audit.abandonCalls(entry.id, entry.incarnation);
            entry.core.reset();
            publish();
        }
    }

    void bootEntry(std::uint32_t value)
    {
        if (!m_entries[value % Entries].core) {
            boot(value % Entries);
        }
    }

    void pauseEntry(std::uint32_t value)
    {
        m_entries[value % Entries].pausedUntil =
            m_time.now() + std::chrono::milliseconds(value / 4 % 7000);
    }

    std::string nodeAt(std::uint32_t value) const
    {
        const std::size_t i = value % (Entries + Workers + 1);
        if (i < Entries) {
            return nodeOf(i);
        }
        return i < Entries + Workers ? workerId(i - Entries).value() : "log";
    }

    void cutLink(std::uint32_t value)
    {
        const std::string entry = nodeOf(value % Entries);
        const std::string node = nodeAt(value / 4);
        m_cuts.insert(value / 64 % 2 == 0 ? std::pair(entry, node) : std::pair(node, entry));
    }

    void healLinks(std::uint32_t /*value*/) { m_cuts.clear(); }
    void logOutage(std::uint32_t /*value*/) { m_logOut = true; }
    void logBack(std::uint32_t /*value*/) { m_logOut = false; }
    void setLoss(std::uint32_t value) { m_lossy = value % 2 == 0 ? 0 : 10; }
    void rebootWorker(std::uint32_t value) { m_workers[value % Workers]->reboot(m_time.now()); }

    void silenceWorker(std::uint32_t value)
    {
        const std::string node = workerId(value % Workers).value();
        if (m_silent.erase(node) == 0) {
            m_silent.insert(node);
        }
    }

    void failWorker(std::uint32_t value)
    {
        m_workers[value % Workers]->setFailsEverything(value / 4 % 2 == 0);
    }

    void leaveWorker(std::uint32_t value)
    {
        const std::size_t i = value % Workers;
        VmState &state = m_infos[i].state;
        state = state == VmState::Live ? VmState::Leaving : VmState::Live;
        m_leftAt.erase(i);
        if (state == VmState::Leaving) {
            m_leftAt[i] = m_time.now();
        }
        publish();
    }

    /// A leaving worker gets no new work after a few seconds, but for messages that were late.
    void checkLeaving()
    {
        if (m_lossy > 0) {
            m_lossyAt = m_time.now();
        }
        for (const auto &[i, leftAt] : m_leftAt) {
            if (leftAt - m_lossyAt <= LongestDelay) {
                continue;
            }
            const auto end = (leftAt + NoWorkAfter).time_since_epoch().count();
            for (const auto &call : m_workers[i]->records().calls) {
                FIREFLY_ASSERT(call.beginUs <= end, "a leaving worker gets no new call");
            }
            for (const auto &task : m_workers[i]->records().tasks) {
                FIREFLY_ASSERT(task.beginUs <= end, "a leaving worker gets no new task");
            }
        }
    }

    bool isAtRest() const
    {
        const bool isCaughtUp = std::all_of(m_entries.begin(), m_entries.end(),
                                            [](const Entry &it) { return it.core->isHealthy(); });
        if (m_audit.openCalls() > 0 || !isCaughtUp) {
            return false;
        }
        return std::all_of(m_accepted.begin(), m_accepted.end(), [this](const JobId &id) {
            const auto *job = m_entries[0].core->log().state().get<JobLedger>().find(id);
            return job != nullptr && (job->isEnded() || isStopped(*job));
        });
    }

    bool isStopped(const Job &job) const
    {
        const auto &planned = m_entries[0].core->log().state().get<PlannedWorkFold>();
        return job.state == JobState::Pending
               && !planned.isRunning(job.spec.customer, job.spec.kind);
    }

    void checkAtRest()
    {
        m_audit.checkCalls(m_workers);
        const auto &reference = m_entries[0].core->log().state();
        for (const JobId &id : m_accepted) {
            const Job *job = reference.get<JobLedger>().find(id);
            FIREFLY_ASSERT(job != nullptr, "an accepted job is never lost");
            FIREFLY_ASSERT(job->isEnded() || isStopped(*job), "every accepted job ends");
        }
        for (const Entry &entry : m_entries) {
            FIREFLY_ASSERT(entry.core->isHealthy(), "every entry is healthy once faults end");
        }
        checkLists();
    }

    void checkLists() const
    {
        for (const Entry &entry : m_entries) {
            FIREFLY_ASSERT(entry.core->lists().limits.version >= m_audit.newestAccepted(),
                           "an accepted list is in force everywhere");
        }
    }

    EventTimeline m_time;
    FakeLog m_log;
    standins::WorkerProfile m_profile;
    std::vector<WorkerInfo> m_infos;
    std::vector<std::unique_ptr<standins::StandinWorker>> m_workers;
    std::vector<Entry> m_entries;
    std::deque<std::pair<TimePoint, VmList>> m_lists;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::set<std::string> m_silent;
    bool m_logOut = false;
    std::uint64_t m_lossy = 0; ///< Percent of messages lost, when positive also some late.
    std::mt19937_64 m_random{20261203};
    std::map<std::size_t, TimePoint> m_leftAt; ///< Leaving workers.
    TimePoint m_lossyAt{-LongestDelay};        ///< When messages were last late.
    ClusterAudit m_audit;
    std::set<JobId> m_accepted;
    std::uint64_t m_jobs = 0;
    std::uint64_t m_keys = 0;
    std::vector<std::string> m_trace;
};

} // namespace firefly::fakes
