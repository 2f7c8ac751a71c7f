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

/// Simulated cluster of complete entries with a log, a VM list and workers, into which each step
/// may inject a fault of any kind.
///
/// Time is simulated.  Messages may be delayed, reordered or lost, and links may be cut in one
/// direction.
class ClusterWorld
{
public:
    static constexpr std::size_t Entries = 3;
    static constexpr std::size_t Workers = 4;

    /// \a lease is what an entry grants to a worker with each sync.
    explicit ClusterWorld(Duration lease = std::chrono::milliseconds(1600))
        : m_lease(lease)
    {
        m_profile.services["swap"].durationUs = 40'000;
        for (std::size_t i = 0; i < Workers; ++i) {
            m_workerInfos.push_back({workerId(i),
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
        editLists(0, 0);
        advance(std::chrono::seconds(3));
    }

    static std::vector<double> weights()
    {
        std::vector<double> weights;
        for (const StepKind &kind : stepKinds()) {
            weights.push_back(kind.weight);
        }
        return weights;
    }

    void step(const SoakStep &step)
    {
        const StepKind &kind = stepKinds()[step.kind];
        m_trace.push_back(std::to_string(m_timeline.now().time_since_epoch().count() / 1000)
                          + " ms " + kind.name + " " + std::to_string(step.value % 1000));
        (this->*kind.run)(step.value);
        checkLeavingWorkers();
        m_audit.checkExecutions(m_workers, m_timeline.now());
    }

    /// Ends every fault, runs until the cluster is quiescent and checks what must hold then.
    void settle()
    {
        m_cutLinks.clear();
        m_silentWorkers.clear();
        m_isLogDown = false;
        m_unansweredAppendPercent = 0;
        m_hiddenWorkers.clear();
        m_lossPercent = 0;
        for (std::size_t i = 0; i < Entries; ++i) {
            m_entries[i].pausedUntil = TimePoint{};
            if (!m_entries[i].core) {
                boot(i);
            }
        }
        for (std::size_t i = 0; i < Workers; ++i) {
            m_workers[i]->setFailsEverything(false);
            m_workerInfos[i].state = VmState::Live;
        }
        m_leavingSince.clear();
        publishVmList();
        advance(ListsInForceWithin);
        checkLists();
        for (int i = 0; i < 30 && !isQuiescent(); ++i) {
            advance(std::chrono::seconds(5));
        }
        m_audit.checkExecutions(m_workers, m_timeline.now());
        checkQuiescentState();
    }

    const std::vector<std::string> &trace() const { return m_trace; }
    /// Number of events by name.
    std::map<std::string, std::uint64_t> counts() const
    {
        auto counts = m_audit.outcomes();
        for (const auto &worker : m_workers) {
            counts["calls executed"] += worker->records().calls.size();
            counts["attempts executed"] += worker->records().tasks.size();
        }
        counts["jobs accepted"] = m_acceptedJobs.size();
        return counts;
    }

protected:
    using StepHandler = void (ClusterWorld::*)(std::uint32_t);
    struct StepKind
    {
        const char *name;
        double weight;
        StepHandler run;
    };
    struct Entry
    {
        EntryId id;
        std::unique_ptr<EntryCore> core;
        std::uint64_t incarnation = 0;
        TimePoint pausedUntil{};
        std::vector<std::function<void(EntryCore &)>> inbox;
    };
    using EntryCallback = std::function<void(EntryCore &)>;

    static constexpr Resources Capacity{4000, 4096, 0, 3};
    /// Time within which a configuration change must be in force on every entry.
    static constexpr Duration ListsInForceWithin = std::chrono::seconds(6);
    /// Retention of the log, in records.
    static constexpr Offset RetainedRecords = 400;
    /// Time after which a leaving worker must get no new work.
    static constexpr Duration NoNewWorkAfter = std::chrono::seconds(3);
    static constexpr Duration LongestDelay = std::chrono::seconds(8);
    static constexpr Duration Tick = std::chrono::milliseconds(25);
    static constexpr Duration VmListLag = std::chrono::milliseconds(400);

    static const std::vector<StepKind> &stepKinds()
    {
        static const std::vector<StepKind> StepKinds = {
            {"advance", 40, &ClusterWorld::advanceRandomly},
            {"legality check", 12, &ClusterWorld::callIdempotent},
            {"swap", 12, &ClusterWorld::callSwap},
            {"submit job", 8, &ClusterWorld::submitJob},
            {"cancel job", 3, &ClusterWorld::cancelJob},
            {"edit limits", 2, &ClusterWorld::editListsOnTwoEntries},
            {"planned work", 1, &ClusterWorld::switchPlannedWork},
            {"kill entry", 2, &ClusterWorld::killEntry},
            {"boot entry", 4, &ClusterWorld::bootEntry},
            {"pause entry", 2, &ClusterWorld::pauseEntry},
            {"cut link", 3, &ClusterWorld::cutLink},
            {"heal links", 3, &ClusterWorld::healLinks},
            {"log outage", 1, &ClusterWorld::beginLogOutage},
            {"log back", 3, &ClusterWorld::endLogOutage},
            {"loss", 2, &ClusterWorld::setMessageLoss},
            {"reboot worker", 1, &ClusterWorld::rebootWorker},
            {"silent worker", 1, &ClusterWorld::toggleSilentWorker},
            {"failing worker", 1, &ClusterWorld::setWorkerFailing},
            {"leaving worker", 1, &ClusterWorld::toggleLeavingWorker},
        };
        return StepKinds;
    }

    static WorkerId workerId(std::size_t i) { return WorkerId("w" + std::to_string(i)); }
    std::string entryNode(std::size_t entry) const { return m_entries[entry].id.value(); }

    Settings settingsOf(std::size_t i) const
    {
        Settings settings;
        settings.entry = {m_entries[i].id, ZoneId("z")};
        settings.services[ServiceId("check")].idempotent = true;
        settings.services[ServiceId("check")].hedge = true;
        settings.services[ServiceId("check")].perCall = {0, 0, 0, 1};
        settings.services[ServiceId("swap")].perCall = {0, 0, 0, 1};
        settings.ownership = {std::chrono::milliseconds(1500),
                              std::chrono::milliseconds(2000),
                              m_lease,
                              std::chrono::milliseconds(100),
                              std::chrono::milliseconds(250),
                              std::chrono::milliseconds(1000)};
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
        entry.core =
            std::make_unique<EntryCore>(settingsOf(i), writer, m_random(), m_timeline.now());
        m_audit.forgetVersions(entry.id);
        publishVmList();
        scheduleTick(i, entry.incarnation);
    }

    void scheduleTick(std::size_t i, std::uint64_t incarnation)
    {
        m_timeline.after(Tick, [this, i, incarnation] {
            Entry &entry = m_entries[i];
            if (!entry.core || entry.incarnation != incarnation) {
                return;
            }
            if (m_timeline.now() >= entry.pausedUntil) {
                auto inbox = std::exchange(entry.inbox, {});
                for (const EntryCallback &callback : inbox) {
                    runOn(i, callback);
                }
                runOn(i, [this](EntryCore &core) { core.tick(m_timeline.now()); });
                m_audit.recordVersion(entry.id, entry.core->lists());
            }
            scheduleTick(i, incarnation);
        });
    }

    /// Runs \a callback on a live entry, then sends the actions that it queued.
    void runOn(std::size_t i, const EntryCallback &callback)
    {
        Entry &entry = m_entries[i];
        callback(*entry.core);
        for (EntryAction &action : entry.core->takeActions()) {
            std::visit([this, i](const auto &it) { send(i, it); }, action);
        }
    }

    /// Delivers to the given incarnation only; a paused entry gets it when it resumes.
    void deliverTo(std::size_t i, std::uint64_t incarnation, const EntryCallback &callback)
    {
        Entry &entry = m_entries[i];
        if (!entry.core || entry.incarnation != incarnation) {
            return;
        }
        if (m_timeline.now() < entry.pausedUntil) {
            entry.inbox.push_back(callback);
            return;
        }
        runOn(i, callback);
    }

    Duration delay()
    {
        if (m_lossPercent > 0 && m_random() % 16 == 0) {
            return Duration(m_random() % LongestDelay.count());
        }
        return std::chrono::milliseconds(1 + m_random() % 8);
    }

    bool isCut(const std::string &from, const std::string &to)
    {
        return m_cutLinks.contains({from, to}) || m_silentWorkers.contains(to)
               || (m_lossPercent > 0 && m_random() % 100 < m_lossPercent);
    }

    /// Sends a request to \a node; the entry gets either the reply of \a serve or, after \a
    /// timeout, \a fail.
    void sendRequest(std::size_t i, const std::string &node, Duration timeout,
                     const std::function<EntryCallback()> &serve, const EntryCallback &fail)
    {
        const auto incarnation = m_entries[i].incarnation;
        auto isCompleted = std::make_shared<bool>(false);
        const auto completeOnce = [this, i, incarnation,
                                   isCompleted](const EntryCallback &callback) {
            if (!std::exchange(*isCompleted, true)) {
                deliverTo(i, incarnation, callback);
            }
        };
        m_timeline.after(delay(), [this, i, node, serve, completeOnce] {
            if (isCut(entryNode(i), node)) {
                return;
            }
            const EntryCallback reply = serve();
            if (!reply || isCut(node, entryNode(i))) {
                return;
            }
            m_timeline.after(delay(), [completeOnce, reply] { completeOnce(reply); });
        });
        m_timeline.after(timeout, [completeOnce, fail] { completeOnce(fail); });
    }

    void send(std::size_t i, const SendAppend &action)
    {
        std::vector<Envelope> batch;
        for (const Envelope &envelope : action.append.envelopes) {
            batch.push_back(decode(encode(envelope)));
        }
        const auto reply = [this](AppendResult result) {
            return
                [this, result](EntryCore &core) { core.onAppendReply(m_timeline.now(), result); };
        };
        sendRequest(
            i, "log", std::chrono::milliseconds(500),
            [this, batch, reply]() -> EntryCallback {
                if (m_isLogDown) {
                    return nullptr;
                }
                if (isAppendUnanswered()) {
                    m_timeline.after(Duration(m_random() % m_longestAppendDelay.count()),
                                     [this, batch] { appendToLog(batch); });
                    return nullptr;
                }
                appendToLog(batch);
                return reply(AppendResult::Done);
            },
            reply(AppendResult::Uncertain));
    }

    bool isAppendUnanswered()
    {
        return m_unansweredAppendPercent > 0 && m_random() % 100 < m_unansweredAppendPercent;
    }

    void appendToLog(const std::vector<Envelope> &batch)
    {
        m_log.append(batch);
        m_log.trim(m_log.tail() < RetainedRecords ? 1 : m_log.tail() - RetainedRecords);
    }

    void send(std::size_t i, const SendLogRead &action)
    {
        const auto fail = [this](EntryCore &core) { core.onLogReadFailed(m_timeline.now()); };
        // Models the long poll: the log holds a read that finds no new record.
        m_timeline.after(Tick, [this, i, action, fail, incarnation = m_entries[i].incarnation] {
            if (m_entries[i].incarnation != incarnation) {
                return;
            }
            sendRequest(
                i, "log", std::chrono::milliseconds(500),
                [this, action]() -> EntryCallback {
                    if (m_isLogDown) {
                        return nullptr;
                    }
                    return [this, read = m_log.read(action.from, action.maxRecords)](
                               EntryCore &core) { core.onLogRead(m_timeline.now(), read); };
                },
                fail);
        });
    }

    void send(std::size_t i, const SendVmListRead & /*action*/)
    {
        sendRequest(
            i, "vms", std::chrono::milliseconds(500),
            [this, i]() -> EntryCallback {
                while (m_vmLists.size() > 1 && m_vmLists[1].first + VmListLag <= m_timeline.now()) {
                    m_vmLists.pop_front();
                }
                VmList list = m_vmLists.front().second;
                std::erase_if(list.workers, [&](const WorkerInfo &it) {
                    return m_hiddenWorkers.contains({entryNode(i), it.id});
                });
                return [this, list = std::move(list)](EntryCore &core) {
                    core.onVmList(m_timeline.now(), list);
                };
            },
            [this](EntryCore &core) { core.onVmListFailed(m_timeline.now()); });
    }

    standins::StandinWorker &worker(const WorkerId &id)
    {
        return *m_workers[static_cast<std::size_t>(id.value()[1] - '0')];
    }

    void send(std::size_t i, const SendSync &action)
    {
        sendRequest(
            i, action.worker.id.value(), std::chrono::milliseconds(500),
            [this, action]() -> EntryCallback {
                const auto reply = worker(action.worker.id).sync(action.sync, m_timeline.now());
                return [this, action, reply](EntryCore &core) {
                    core.onSyncReply(m_timeline.now(), action, WorkerResult::Done, reply);
                };
            },
            [this, action](EntryCore &core) {
                core.onSyncReply(m_timeline.now(), action, WorkerResult::Uncertain, {});
            });
    }

    void send(std::size_t i, const SendStart &action)
    {
        const auto reply = [this, task = action.task](WorkerResult result) {
            return [this, task, result](EntryCore &core) {
                core.onStartReply(m_timeline.now(), task, result);
            };
        };
        sendRequest(
            i, action.worker.id.value(), std::chrono::milliseconds(500),
            [this, action, reply]() -> EntryCallback {
                const auto verdict = worker(action.worker.id).start(action.task, m_timeline.now());
                const bool isDone = verdict == standins::MessageResult::Done
                                    || verdict == standins::MessageResult::Duplicate;
                return reply(isDone ? WorkerResult::Done : WorkerResult::Refused);
            },
            reply(WorkerResult::Uncertain));
    }

    void send(std::size_t i, const SendStop &action)
    {
        sendRequest(
            i, action.worker.id.value(), std::chrono::milliseconds(500),
            [this, action]() -> EntryCallback {
                worker(action.worker.id).stop(action.task, m_timeline.now());
                return nullptr;
            },
            [](EntryCore &) {});
    }

    void send(std::size_t i, const SendThrottle &action)
    {
        worker(action.worker.id).throttle(action.task, m_timeline.now());
        static_cast<void>(i);
    }

    void send(std::size_t i, const SendCall &action)
    {
        const auto incarnation = m_entries[i].incarnation;
        auto isCompleted = std::make_shared<bool>(false);
        const auto completeOnce = [this, i, incarnation, isCompleted,
                                   dispatch = action.dispatch](const WorkerCallReply &reply) {
            if (!std::exchange(*isCompleted, true)) {
                deliverTo(i, incarnation, [this, dispatch, reply](EntryCore &core) {
                    core.onCallReply(m_timeline.now(), dispatch, reply);
                });
            }
        };
        const std::string node = action.worker.id.value();
        m_timeline.after(delay(), [this, i, node, action, completeOnce] {
            if (isCut(entryNode(i), node)) {
                return;
            }
            auto &target = worker(action.worker.id);
            const auto ticket = target.beginCall(action.call, m_timeline.now());
            if (ticket.result != standins::MessageResult::Done) {
                completeOnce({action.call.request, WorkerResult::Refused, {}});
                return;
            }
            m_timeline.after(ticket.duration, [this, i, node, action, completeOnce, ticket,
                                               &target] {
                const bool isAnswered = target.endCall(ticket.call, m_timeline.now()) == "answered";
                if (isCut(node, entryNode(i))) {
                    return;
                }
                const auto result = isAnswered ? WorkerResult::Done : WorkerResult::ServiceError;
                m_timeline.after(delay(), [completeOnce, action, result] {
                    completeOnce({action.call.request, result, action.call.body});
                });
            });
        });
        m_timeline.after(action.call.timeout, [completeOnce, request = action.call.request] {
            completeOnce({request, WorkerResult::Uncertain, {}});
        });
    }

    std::size_t indexOf(const EntryId &id) const
    {
        return static_cast<std::size_t>(id.value()[0] - 'a');
    }

    bool isRunning(std::size_t i) const
    {
        return m_entries[i].core && m_timeline.now() >= m_entries[i].pausedUntil;
    }

    void send(std::size_t i, const SendHeartbeat &action)
    {
        const std::size_t peer = indexOf(action.peer.id);
        sendRequest(
            i, action.peer.id.value(), std::chrono::milliseconds(500),
            [this, peer, action]() -> EntryCallback {
                if (!isRunning(peer)) {
                    return nullptr;
                }
                HeartbeatReplyWithLists answer;
                runOn(peer, [&](EntryCore &core) {
                    answer = core.onHeartbeat(m_timeline.now(), action.heartbeat);
                });
                return [this, answer, id = action.peer.id](EntryCore &core) {
                    core.onHeartbeatReply(m_timeline.now(), id, answer);
                };
            },
            [this, id = action.peer.id](EntryCore &core) {
                core.onHeartbeatFailed(m_timeline.now(), id);
            });
    }

    void send(std::size_t i, const SendForward &action)
    {
        const std::size_t peer = indexOf(action.peer.id);
        const auto incarnation = m_entries[i].incarnation;
        auto isCompleted = std::make_shared<bool>(false);
        const auto completeOnce = [this, i, incarnation, isCompleted,
                                   dispatch = action.dispatch](const ForwardedResult &result) {
            if (!std::exchange(*isCompleted, true)) {
                deliverTo(i, incarnation, [this, dispatch, result](EntryCore &core) {
                    core.onForwardReply(m_timeline.now(), dispatch, result);
                });
            }
        };
        m_timeline.after(delay(), [this, i, peer, action, completeOnce] {
            if (isCut(entryNode(i), entryNode(peer)) || !m_entries[peer].core) {
                return;
            }
            const auto reply = [this, i, peer, completeOnce](const ForwardedResult &result) {
                if (!isCut(entryNode(peer), entryNode(i))) {
                    m_timeline.after(delay(), [completeOnce, result] { completeOnce(result); });
                }
            };
            deliverTo(peer, m_entries[peer].incarnation, [this, action, reply](EntryCore &core) {
                core.onForwardedCall(m_timeline.now(), action.call, reply);
            });
        });
        m_timeline.after(action.call.remaining, [completeOnce, request = action.call.request] {
            completeOnce({request, WorkerResult::Uncertain, {}, {}});
        });
    }

    void send(std::size_t /*i*/, const WriteEvent & /*action*/) {}

    /// Publishes a VM list with the current state; entries see it after VmListLag.
    void publishVmList()
    {
        VmList list;
        list.workers = m_workerInfos;
        for (const Entry &entry : m_entries) {
            if (entry.core) {
                list.entries.push_back({entry.id, ZoneId("z"), {}, VmState::Live});
            }
        }
        m_vmLists.emplace_back(m_timeline.now(), std::move(list));
    }

    void advance(Duration by) { m_timeline.runUntil(m_timeline.now() + by); }

    void advanceRandomly(std::uint32_t value)
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
        runOn(i, [&](EntryCore &core) {
            core.onCallerRequest(m_timeline.now(), std::move(request),
                                 [this, caller, body](const CallReply &reply) {
                                     m_audit.endCall(caller, reply, body);
                                 });
        });
    }

    void callIdempotent(std::uint32_t value) { call(value, "check", ""); }

    void callSwap(std::uint32_t value)
    {
        // One call in three repeats a recent key, possibly through another entry.
        const bool isRepeat = m_lastKeyNumber > 0 && value / 4 % 3 == 0;
        const std::uint64_t key =
            isRepeat ? m_lastKeyNumber - value / 16 % std::min<std::uint64_t>(m_lastKeyNumber, 4)
                     : ++m_lastKeyNumber;
        call(value, "swap", "key-" + std::to_string(key));
    }

    void submitJob(std::uint32_t value)
    {
        const std::size_t i = value % Entries;
        if (!isRunning(i)) {
            return;
        }
        JobSubmission submission;
        submission.job = JobId("j" + std::to_string(++m_lastJobNumber));
        submission.spec = {CustomerId("c"), value % 2 == 0 ? "rebuild" : "run",
                           Resources{1500, 1000, 0, 0}, 500 + value / 8 % 4000, ""};
        runOn(i, [&](EntryCore &core) {
            core.submitJob(submission, [this, id = submission.job](const CommandResult &result) {
                if (std::holds_alternative<CommandDone>(result)) {
                    m_acceptedJobs.insert(id);
                }
            });
        });
    }

    void cancelJob(std::uint32_t value)
    {
        const std::size_t i = value % Entries;
        if (!isRunning(i) || m_lastJobNumber == 0) {
            return;
        }
        const JobId job("j" + std::to_string(1 + value / 4 % m_lastJobNumber));
        runOn(i, [&](EntryCore &core) { core.cancelJob(job, [](const CommandResult &) {}); });
    }

    void switchPlannedWork(std::uint32_t value)
    {
        const std::size_t i = value % Entries;
        if (!isRunning(i)) {
            return;
        }
        runOn(i, [&](EntryCore &core) {
            core.switchPlannedWork({"op", CustomerId("c"), "run", value / 4 % 3 != 0},
                                   [](const CommandResult &) {});
        });
    }

    void editLists(std::size_t i, std::uint32_t value)
    {
        const OperatorLists base = m_entries[i].core->lists();
        LimitsEdited limits{"op", base.limits.version, {}};
        limits.list.limitsOfPlan["p"] = {Resources{100000, 100000, 0, 50 + value % 50}, {}, 0, 1};
        PlansEdited plans{"op", base.plans.version, {{{"c", "p"}}}};
        runOn(i, [&](EntryCore &core) {
            core.proposeLimits(limits, [this](const EditResult<LimitsList> &result) {
                if (const auto *accepted = std::get_if<EditAccepted>(&result)) {
                    checkStored(accepted->version);
                    m_audit.recordAcceptedVersion(accepted->version);
                }
            });
            if (base.plans.version == 0) {
                core.proposePlans(plans, [](const EditResult<PlansList> &) {});
            }
        });
    }

    /// Checks that the log holds an edit of the limits at \a version, unless it was trimmed.
    void checkStored(Offset version) const
    {
        if (version < m_log.head()) {
            return;
        }
        const LogRead read = m_log.read(version, 1);
        FIREFLY_ASSERT(
            !read.envelopes.empty()
                && std::holds_alternative<LimitsEdited>(read.envelopes.front().envelope.record),
            "an edit must be stored before it is reported as accepted");
    }

    void editListsOnTwoEntries(std::uint32_t value)
    {
        for (const std::size_t i : {value % Entries, value / 4 % Entries}) {
            if (isRunning(i)) {
                editLists(i, value);
            }
        }
    }

    void killEntry(std::uint32_t value)
    {
        Entry &entry = m_entries[value % Entries];
        if (entry.core) {
            m_audit.abandonCalls(entry.id, entry.incarnation);
            entry.core.reset();
            publishVmList();
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
            m_timeline.now() + std::chrono::milliseconds(value / 4 % 7000);
    }

    std::string chooseNode(std::uint32_t value) const
    {
        const std::size_t i = value % (Entries + Workers + 1);
        if (i < Entries) {
            return entryNode(i);
        }
        return i < Entries + Workers ? workerId(i - Entries).value() : "log";
    }

    void cutLink(std::uint32_t value)
    {
        const std::string entry = entryNode(value % Entries);
        const std::string node = chooseNode(value / 4);
        m_cutLinks.insert(value / 64 % 2 == 0 ? std::pair(entry, node) : std::pair(node, entry));
    }

    void healLinks(std::uint32_t /*value*/) { m_cutLinks.clear(); }
    void beginLogOutage(std::uint32_t /*value*/) { m_isLogDown = true; }
    void endLogOutage(std::uint32_t /*value*/) { m_isLogDown = false; }
    void setMessageLoss(std::uint32_t value) { m_lossPercent = value % 2 == 0 ? 0 : 10; }
    void rebootWorker(std::uint32_t value) { m_workers[value % Workers]->reboot(m_timeline.now()); }

    void toggleSilentWorker(std::uint32_t value)
    {
        const std::string node = workerId(value % Workers).value();
        if (m_silentWorkers.erase(node) == 0) {
            m_silentWorkers.insert(node);
        }
    }

    void setWorkerFailing(std::uint32_t value)
    {
        m_workers[value % Workers]->setFailsEverything(value / 4 % 2 == 0);
    }

    void toggleLeavingWorker(std::uint32_t value)
    {
        const std::size_t i = value % Workers;
        VmState &state = m_workerInfos[i].state;
        state = state == VmState::Live ? VmState::Leaving : VmState::Live;
        m_leavingSince.erase(i);
        if (state == VmState::Leaving) {
            m_leavingSince[i] = m_timeline.now();
        }
        publishVmList();
    }

    /// Checks that a worker gets no new work once it has been leaving for NoNewWorkAfter.  Exempts
    /// a worker if messages were delayed at any time from LongestDelay before it began to leave.
    void checkLeavingWorkers()
    {
        if (m_lossPercent > 0) {
            m_lastLossAt = m_timeline.now();
        }
        for (const auto &[i, leavingSince] : m_leavingSince) {
            if (leavingSince - m_lastLossAt <= LongestDelay) {
                continue;
            }
            const auto end = (leavingSince + NoNewWorkAfter).time_since_epoch().count();
            for (const auto &call : m_workers[i]->records().calls) {
                FIREFLY_ASSERT(call.beginUs <= end, "a leaving worker must not get a new call");
            }
            for (const auto &task : m_workers[i]->records().tasks) {
                FIREFLY_ASSERT(task.beginUs <= end, "a leaving worker must not get a new task");
            }
        }
    }

    bool isQuiescent() const
    {
        const bool isCaughtUp = std::all_of(m_entries.begin(), m_entries.end(),
                                            [](const Entry &it) { return it.core->isHealthy(); });
        if (m_audit.openCalls() > 0 || !isCaughtUp) {
            return false;
        }
        return std::all_of(m_acceptedJobs.begin(), m_acceptedJobs.end(), [this](const JobId &id) {
            const auto *job = m_entries[0].core->log().state().get<JobLedger>().find(id);
            return job != nullptr && (job->isEnded() || isHeldByPlannedStop(*job));
        });
    }

    bool isHeldByPlannedStop(const Job &job) const
    {
        const auto &planned = m_entries[0].core->log().state().get<PlannedWorkFold>();
        return job.state == BatchJobState::Pending
               && !planned.isRunning(job.spec.customer, job.spec.kind);
    }

    void checkQuiescentState()
    {
        m_audit.checkOutcomes(m_workers);
        const auto &reference = m_entries[0].core->log().state();
        for (const JobId &id : m_acceptedJobs) {
            const Job *job = reference.get<JobLedger>().find(id);
            FIREFLY_ASSERT(job != nullptr, "an accepted job must not be lost");
            FIREFLY_ASSERT(job->isEnded() || isHeldByPlannedStop(*job),
                           "every accepted job must end");
        }
        for (const Entry &entry : m_entries) {
            FIREFLY_ASSERT(entry.core->isHealthy(),
                           "every entry must be healthy once the faults have ended");
        }
        checkLists();
    }

    void checkLists() const
    {
        for (const Entry &entry : m_entries) {
            FIREFLY_ASSERT(entry.core->lists().limits.version >= m_audit.newestAcceptedVersion(),
                           "an accepted list must be in force on every entry");
        }
    }

    Duration m_lease;
    EventTimeline m_timeline;
    FakeLog m_log;
    standins::WorkerProfile m_profile;
    std::vector<WorkerInfo> m_workerInfos;
    std::vector<std::unique_ptr<standins::StandinWorker>> m_workers;
    std::vector<Entry> m_entries;
    std::deque<std::pair<TimePoint, VmList>> m_vmLists;
    std::set<std::pair<std::string, std::string>> m_cutLinks;
    std::set<std::string> m_silentWorkers;
    /// Workers missing from one entry's VM list, as entry and worker.
    std::set<std::pair<std::string, WorkerId>> m_hiddenWorkers;
    bool m_isLogDown = false;
    /// Percentage of appends that are carried out later and never answered.
    std::uint64_t m_unansweredAppendPercent = 0;
    Duration m_longestAppendDelay = std::chrono::seconds(1);
    /// Percentage of messages lost; if positive, some are also delayed by up to LongestDelay.
    std::uint64_t m_lossPercent = 0;
    std::mt19937_64 m_random{20261203};
    std::map<std::size_t, TimePoint> m_leavingSince; ///< Leaving workers, by index.
    TimePoint m_lastLossAt{-LongestDelay};           ///< When m_lossPercent was last positive.
    ClusterAudit m_audit;
    std::set<JobId> m_acceptedJobs;
    std::uint64_t m_lastJobNumber = 0;
    std::uint64_t m_lastKeyNumber = 0;
    std::vector<std::string> m_trace;
};

} // namespace firefly::fakes
